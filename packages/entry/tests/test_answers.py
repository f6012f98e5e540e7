"""Tests of streamed answers to callers that leave or stop reading."""

import asyncio
import types

import aiohttp
import pytest

from poplarwick_core import ids
from poplarwick_entry import answers
from poplarwick_entry import request_errors
from poplarwick_outcomes import verdicts


class FakeResponse:
    """A response whose connection is lost or takes no bytes."""

    def __init__(self, *, is_lost):
        self.prepared = True
        self.is_lost = is_lost

    async def write(self, data):
        if self.is_lost:
            raise aiohttp.ClientConnectionResetError("closed")
        await asyncio.Event().wait()

    async def write_eof(self):
        await self.write(b"")


class FakeTransport:
    def __init__(self):
        self.is_aborted = False

    def abort(self):
        self.is_aborted = True


def make_answer(*, is_lost):
    transport = FakeTransport()
    request = types.SimpleNamespace(transport=transport)
    completion = types.SimpleNamespace(request_id=ids.RequestId("req-1"))
    own = ids.InstanceId("instance-0")
    answer = answers.StreamedAnswer(request, completion, own)
    answer._response = FakeResponse(is_lost=is_lost)
    return answer, transport


def make_verdict():
    return verdicts.decide_outcome(
        verdicts.DeadlineExceeded(), may_have_run=True, is_idempotent=True
    )


def test_lost_caller_is_told_apart_from_a_lost_engine():
    async def main():
        answer, _ = make_answer(is_lost=True)
        with pytest.raises(request_errors.RequestEndedError) as caught:
            await answer.write(b"data: {}\n\n")
        assert caught.value.ending == verdicts.CallerLeft()

    asyncio.run(main())


def test_verdict_to_a_lost_caller_ends_quietly():
    async def main():
        answer, transport = make_answer(is_lost=True)
        await answer.fail(make_verdict())
        assert not transport.is_aborted

    asyncio.run(main())


def test_caller_that_takes_no_bytes_is_cut_off():
    async def main():
        answer, transport = make_answer(is_lost=False)
        async with asyncio.timeout(20):
            await answer.fail(make_verdict())
        assert transport.is_aborted

    asyncio.run(main())
