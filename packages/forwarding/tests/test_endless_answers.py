"""Endpoints that send bytes that are no answer, without end."""

from __future__ import annotations

import asyncio
import resource

import direct_reach
import pytest

from poplarwick_adapter import dialect
from poplarwick_forwarding import buffer_budget
from poplarwick_forwarding import upstream

ENDPOINTS = 50
TIME_LEFT_S = 1.5
START_TIMEOUT_S = 60
MAX_GROWTH_KB = 100_000
"""Half of the memory of the smallest instance."""

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"

ANSWERS = {
    "status_line": (b"HTTP/1.1 200 ", b"O" * 16_384),
    "field": (OK + b"X-Long: ", b"x" * 16_384),
    "fields": (OK, b"X-Many: 1\r\n" * 1_000),
    "interim_answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500),
    "chunk_size": (CHUNKED, b"0" * 16_384),
    "chunk_extension": (CHUNKED + b"5;", b"x" * 16_384),
    "trailers": (CHUNKED + b"0\r\n", b"X-Trailer: 1\r\n" * 1_000),
    "body": (OK + b"\r\n", b"x" * 16_384),
    "chunked_body": (CHUNKED, b"4000\r\n" + b"x" * 0x4000 + b"\r\n"),
    "no_http": (b"", b"\x00\xff" * 8_192),
}


async def send_without_end(name, reader, writer, all_asked):
    begin, part = ANSWERS[name]
    await reader.readuntil(b"\r\n\r\n")
    await all_asked.wait()
    writer.write(begin)
    try:
        while True:
            writer.write(part)
            await writer.drain()
            # Without a pause one sender would keep the event loop.
            await asyncio.sleep(0)
    except ConnectionError:
        pass
    finally:
        writer.close()


async def request(client, address, timer, budget):
    """Returns whether the request failed as one that may have run."""
    message = upstream.Request("GET", "/", {"Request-Id": "r"}, b"")
    try:
        async with timer:
            async with client.send(address, message) as response:
                with budget.hold() as held:
                    await response.read_body(held)
    except upstream.SendError as error:
        return error.may_have_run
    except TimeoutError:
        return True
    return False


@pytest.mark.parametrize("name", sorted(ANSWERS))
def test_bytes_without_end_end_as_a_failure_in_bounded_memory(
    name, monkeypatch
):
    """All endpoints send at once, and the time limits start with them.

    A machine that pauses while they connect decides nothing.
    """
    monkeypatch.setattr(upstream, "CONNECT_TIMEOUT_S", START_TIMEOUT_S)

    async def run():
        budget = buffer_budget.BufferBudget(buffer_budget.make_limits(0))
        all_asked = asyncio.Barrier(ENDPOINTS + 1)
        server = await asyncio.start_server(
            lambda reader, writer: send_without_end(
                name, reader, writer, all_asked
            ),
            "127.0.0.1",
            0,
        )
        port = server.sockets[0].getsockname()[1]
        before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        async with upstream.Upstream(
            dialect.PlatformDialect(),
            direct_reach.DIRECT,
            budget.limits.buffer_bytes,
        ) as client:
            timers = [asyncio.timeout(None) for _ in range(ENDPOINTS)]
            requests = [
                asyncio.create_task(
                    request(client, f"127.0.0.1:{port}", timer, budget)
                )
                for timer in timers
            ]
            async with asyncio.timeout(START_TIMEOUT_S):
                await all_asked.wait()
            ends_at_s = asyncio.get_running_loop().time() + TIME_LEFT_S
            for timer in timers:
                timer.reschedule(ends_at_s)
            results = await asyncio.gather(*requests)
        server.close()
        grown_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        return results, grown_kb - before_kb

    results, grown_kb = asyncio.run(run())
    assert all(results)
    assert grown_kb < MAX_GROWTH_KB
