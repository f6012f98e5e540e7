"""What an attempt releases and reports when it ends."""

from __future__ import annotations

import asyncio
import contextlib
import types

import exchanges
import pytest

from poplarwick_adapter import dialect as platform_dialect
from poplarwick_coordination import endpoint_notices
from poplarwick_core import ids
from poplarwick_forwarding import dialect
from poplarwick_forwarding import endpoint_attempt
from poplarwick_forwarding import request_progress
from poplarwick_forwarding import upstream
from poplarwick_placement import messages

RELAY = "front-3"
PLACEMENT = messages.Placement(ids.EndpointId("e"), "h:1", (), 0.1, "test")


class Endpoint:
    """Answers through a relay, and records what is open."""

    def __init__(self, *, is_signed=True):
        self.is_open = self.is_held = False
        self.is_signed = is_signed
        self.ends = []

    @contextlib.asynccontextmanager
    async def hold(self, helpers):
        self.is_held = True
        try:
            yield ()
        finally:
            self.is_held = False

    @contextlib.asynccontextmanager
    async def send(self, address, request):
        self.is_open = True
        head = dialect.ResponseHead(
            False, False, ids.RequestId(request.id), self.is_signed, None
        )
        try:
            yield types.SimpleNamespace(
                status=200,
                headers={},
                head=head,
                relay=RELAY,
                is_delimited=True,
            )
        except upstream.SendError as error:
            error.relay = RELAY
            raise
        finally:
            self.is_open = False

    def record_end(self, number, result, blamed=None, answer=None):
        self.ends.append((number, result))


def make_attempt(endpoint, progress):
    access = endpoint_attempt.EndpointAccess(
        endpoint,
        endpoint,
        platform_dialect.PlatformDialect(),
        endpoint,
        types.SimpleNamespace(
            record=lambda name, notice: endpoint_notices.Notice()
        ),
        None,
    )
    sink = types.SimpleNamespace(has_begun=False)
    return endpoint_attempt.Attempt(
        access, exchanges.make_exchange(), sink, progress, 7, PLACEMENT
    )


def make_error(result=messages.Result.BROKEN):
    return upstream.SendError("truncated", result, may_have_run=True)


@pytest.mark.parametrize("fails_in_body", [False, True])
def test_failed_attempt_names_its_relay_and_releases_everything(fails_in_body):
    endpoint = Endpoint(is_signed=fails_in_body)
    progress = request_progress.RequestProgress(None)

    async def run():
        async with make_attempt(endpoint, progress) as attempt:
            await attempt.open()
            assert endpoint.is_open and endpoint.is_held
            raise make_error()

    with pytest.raises(upstream.SendError) as caught:
        asyncio.run(run())
    assert caught.value.relay == RELAY
    assert not endpoint.is_open and not endpoint.is_held
    assert endpoint.ends == [(7, messages.Result.BROKEN)]
    assert (progress.attempts, progress.receipts) == (1, 1)


def test_attempt_that_is_opened_by_another_task_is_not_sent_again():
    endpoint = Endpoint()
    progress = request_progress.RequestProgress(None)

    async def run():
        attempt = make_attempt(endpoint, progress)
        response = await asyncio.create_task(attempt.open())
        async with attempt:
            assert await attempt.open() is response
        assert not endpoint.is_open and not endpoint.is_held

    asyncio.run(run())
    assert progress.attempts == 1
    assert endpoint.ends == [(7, messages.Result.GIVEN_UP)]
