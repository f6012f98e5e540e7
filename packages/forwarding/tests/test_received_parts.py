"""Times at which parts of an answer were received."""

from __future__ import annotations

import asyncio
import contextlib

import direct_reach

from poplarwick_adapter import dialect
from poplarwick_core import clock
from poplarwick_forwarding import buffer_budget
from poplarwick_forwarding import upstream

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"
PAUSE_S = 0.2


async def answer_slowly(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.write(HEAD)
    await asyncio.sleep(PAUSE_S)
    writer.write(b"part")
    await reader.read()
    writer.close()


# Guards against an endpoint that counts as silent, and its answer as lost,
# while parts of an answer arrive that is passed on as a whole.
def test_part_of_a_body_ends_the_silence_of_its_endpoint():
    async def run():
        async with contextlib.AsyncExitStack() as stack:
            server = await asyncio.start_server(answer_slowly, "127.0.0.1", 0)
            stack.callback(server.close)
            port = server.sockets[0].getsockname()[1]
            sender = await stack.enter_async_context(
                upstream.Upstream(
                    dialect.PlatformDialect(), direct_reach.DIRECT, 65_536
                )
            )
            response = await stack.enter_async_context(
                sender.send(
                    f"127.0.0.1:{port}",
                    upstream.Request("GET", "/", {}, b""),
                )
            )
            head_at_s = clock.now_s()
            limits = buffer_budget.make_limits(0)
            held = stack.enter_context(
                buffer_budget.BufferBudget(limits).hold()
            )
            reading = asyncio.create_task(response.read_body(held))
            await asyncio.sleep(2 * PAUSE_S)
            reading.cancel()
            return response.received_at_s - head_at_s

    assert asyncio.run(run()) > 0.5 * PAUSE_S
