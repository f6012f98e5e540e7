"""Tests of streamed answers to callers that disconnect or stop reading."""

import asyncio
import types

import aiohttp
import pytest

from poplarwick_core import ids
from poplarwick_entry import answers
from poplarwick_entry import request_errors
from poplarwick_outcomes import verdicts


class FakeResponse:
    """A response whose connection is lost or accepts no bytes."""

    def __init__(self, *, is_disconnected):
        self.prepared = True
        self.is_disconnected = is_disconnected

    async def write(self, data):
        if self.is_disconnected:
            raise aiohttp.ClientConnectionResetError("closed")
        await asyncio.Event().wait()

    async def write_eof(self):
        await self.write(b"")


class FakeTransport:
    def __init__(self):
        self.is_aborted = False

    def abort(self):
        self.is_aborted = True


def make_answer(*, is_disconnected):
    transport = FakeTransport()
    request = types.SimpleNamespace(transport=transport)
    completion = types.SimpleNamespace(request_id=ids.RequestId("req-1"))
    instance = ids.InstanceId("instance-0")
    answer = answers.StreamedAnswer(request, completion, instance)
    answer._response = FakeResponse(is_disconnected=is_disconnected)
    return answer, transport


def make_verdict():
    return verdicts.decide_outcome(
        verdicts.DeadlineExceeded(), may_have_run=True, is_idempotent=True
    )


def test_write_to_a_disconnected_caller_ends_the_request_as_caller_left():
    async def main():
        answer, _ = make_answer(is_disconnected=True)
        with pytest.raises(request_errors.RequestEndedError) as caught:
            await answer.write(b"data: {}\n\n")
        assert caught.value.ending == verdicts.CallerLeft()

    asyncio.run(main())


def test_fail_ignores_a_disconnected_caller():
    async def main():
        answer, transport = make_answer(is_disconnected=True)
        await answer.fail(make_verdict())
        assert not transport.is_aborted

    asyncio.run(main())


def test_fail_aborts_the_connection_of_a_caller_that_does_not_read():
    async def main():
        answer, transport = make_answer(is_disconnected=False)
        async with asyncio.timeout(20):
            await answer.fail(make_verdict())
        assert transport.is_aborted

    asyncio.run(main())
