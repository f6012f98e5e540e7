"""Tests for requests that queue while their instance stops."""

from __future__ import annotations

import asyncio

import pytest

from poplarwick_configuration import document
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_entry import grants
from poplarwick_entry import request_errors
from poplarwick_forwarding import graceful_stop
from poplarwick_node import _stopping
from poplarwick_outcomes import verdicts

GRACE_S = 60.0
TOKENS_PER_S = 100


def make_view():
    model = document.Model(
        "writer",
        8_000_000,
        8_000_000,
        prefill_tokens_per_s=TOKENS_PER_S,
        decode_tokens_per_s=TOKENS_PER_S,
    )
    return document.View(
        1,
        document.Document(
            environment="test",
            organisations=(),
            models=(model,),
            services=(),
            domains=(),
            endpoints=(),
        ),
    )


def make_request(duration_s, **fields):
    return grants.GrantRequest(
        request_id=ids.RequestId("r"),
        organisation=ids.OrganisationId("o"),
        deadline=clock.make_deadline(1_000.0),
        prompt_tokens=round(duration_s * TOKENS_PER_S / 2),
        output_tokens=round(duration_s * TOKENS_PER_S / 2),
        **fields,
    )


async def wait_during_stop(grant_request):
    """Returns whether a request still waits once its instance stops."""
    stop = graceful_stop.GracefulStop()
    limit = _stopping.WaitLimit(stop, make_view).limit
    entered = asyncio.Event()

    async def wait():
        async with limit(grant_request):
            entered.set()
            await asyncio.Event().wait()

    waiting = asyncio.create_task(wait())
    await entered.wait()
    ends_at_s = clock.now_s() + GRACE_S
    stop.begin(ends_at_s, ends_at_s, ends_at_s)
    done, _ = await asyncio.wait((waiting,), timeout=0.2)
    if done:
        await waiting
    waiting.cancel()
    return not done


# Guards against requests that are cut off by the end of the grace period
# although another instance could have served their callers.
def test_request_that_cannot_end_in_time_is_refused_at_the_stop():
    request = make_request(GRACE_S, model="writer")
    with pytest.raises(request_errors.RequestEndedError) as raised:
        asyncio.run(wait_during_stop(request))
    assert raised.value.ending.reason is verdicts.Reason.DRAINING
    assert raised.value.ending.retry_after_s


@pytest.mark.parametrize(
    "request_",
    [
        make_request(GRACE_S / 10, model="writer"),
        make_request(0.0, service="orders"),
    ],
)
def test_request_that_can_end_in_time_waits_on(request_):
    assert asyncio.run(wait_during_stop(request_))
