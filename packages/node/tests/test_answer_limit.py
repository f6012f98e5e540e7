"""Tests for requests without an answer at the end of their instance."""

from __future__ import annotations

import asyncio

import entry_fakes
import pytest
from aiohttp import web

from poplarwick_core import clock
from poplarwick_forwarding import graceful_stop
from poplarwick_node import _stopping

ENDS_S = 0.3
WAIT_S = 20.0
STOCK = "/services/shop/stock"


class Site:
    """An entry whose endpoint does not answer, and its stop."""

    def __init__(self):
        self.stop = graceful_stop.GracefulStop()
        self.received = asyncio.Event()

    async def handle(self, request):
        del request
        self.received.set()
        await asyncio.sleep(WAIT_S)
        return web.Response()

    def open(self):
        return entry_fakes.open_entry(
            self.handle, limit_answer=_stopping.AnswerLimit(self.stop).limit
        )

    def begin_stop(self):
        now_s = clock.now_s()
        self.stop.begin(now_s, now_s + ENDS_S, now_s + ENDS_S)


async def send_part():
    """Yields the beginning of a body."""
    yield b"x"
    await asyncio.sleep(WAIT_S)


def play(call, *, is_sent):
    """Returns how a call is answered whose instance stops."""

    async def main():
        site = Site()
        async with site.open() as entry:
            calling = asyncio.create_task(call(entry))
            if is_sent:
                await site.received.wait()
            else:
                await asyncio.sleep(0.1)
            site.begin_stop()
            async with asyncio.timeout(WAIT_S / 2):
                status, headers, _ = await calling
            return status, headers["Poplarwick-Outcome"]

    return entry_fakes.run(main)


# Guards against callers who see a closed connection in place of an answer.
@pytest.mark.parametrize(
    ("call", "is_sent", "expected"),
    [
        pytest.param(
            lambda entry: entry.call(STOCK, "GET"),
            True,
            (502, "failed"),
            id="idempotent",
        ),
        pytest.param(
            lambda entry: entry.call(key=entry_fakes.make_key(), data=b"x"),
            True,
            (502, "unknown"),
            id="non_idempotent",
        ),
        pytest.param(
            lambda entry: entry.call(
                key=entry_fakes.make_key(), data=send_part()
            ),
            False,
            (503, "not-run"),
            id="incomplete_body",
        ),
    ],
)
def test_request_without_an_answer_is_answered_before_the_end(
    call, is_sent, expected, lines
):
    assert play(call, is_sent=is_sent) == expected
    (line,) = [x for x in lines if "event=request_ended" in x]
    assert f"status={expected[0]}" in line
