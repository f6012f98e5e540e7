"""Tests for the fault-injecting proxy."""

import asyncio
import contextlib
import time

import pytest

from poplarwick_bench import proxy


@contextlib.asynccontextmanager
async def open_echo():
    received = []

    async def handle(reader, writer):
        while line := await reader.readline():
            received.append(line)
            writer.write(line)
            await writer.drain()
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    async with proxy.Proxy(f"{host}:{port}", seed=1) as proxy_:
        yield proxy_, received
    server.close()


async def connect(proxy_):
    host, _, port = proxy_.address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def send(writer, line):
    writer.write(line)
    await writer.drain()


def test_forwards_both_directions_and_eof():
    async def run():
        async with open_echo() as (proxy_, _):
            reader, writer = await connect(proxy_)
            await send(writer, b"one\n")
            assert await reader.readline() == b"one\n"
            writer.write_eof()
            assert await reader.read() == b""

    asyncio.run(run())


def test_rate_holds_up_what_all_connections_send():
    async def run():
        async with open_echo() as (proxy_, _):
            proxy_.apply(proxy.Rules(bytes_per_s=20_000.0))
            first, second = await connect(proxy_), await connect(proxy_)
            line = b"x" * 999 + b"\n"
            began_at_s = time.monotonic()
            await send(first[1], line)
            await send(second[1], line)
            assert await first[0].readline() == line
            assert await second[0].readline() == line
            return time.monotonic() - began_at_s

    # Two lines of 0.05 s each follow each other, in one direction at least.
    assert asyncio.run(run()) >= 0.099


def test_delay_preserves_order():
    async def run():
        async with open_echo() as (proxy_, _):
            proxy_.apply(proxy.Rules(delay_s=0.01, jitter_s=0.01))
            reader, writer = await connect(proxy_)
            for line in (b"one\n", b"two\n"):
                await send(writer, line)
            assert await reader.readline() == b"one\n"
            assert await reader.readline() == b"two\n"

    asyncio.run(run())


def test_response_is_dropped_after_the_request_is_forwarded():
    async def run():
        async with open_echo() as (proxy_, received):
            proxy_.apply(proxy.Rules(drops_responses=True))
            reader, writer = await connect(proxy_)
            await send(writer, b"one\n")
            with contextlib.suppress(ConnectionError):
                assert await reader.read() == b""
            assert received == [b"one\n"]

    asyncio.run(run())


def test_request_direction_is_dropped():
    async def run():
        async with open_echo() as (proxy_, received):
            dropped_directions = frozenset({proxy.Direction.REQUEST})
            proxy_.apply(proxy.Rules(dropped_directions=dropped_directions))
            reader, writer = await connect(proxy_)
            await send(writer, b"one\n")
            writer.write_eof()
            assert await reader.read() == b""
            assert received == []

    asyncio.run(run())


def test_response_is_cut_after_the_byte_limit():
    async def run():
        async with open_echo() as (proxy_, _):
            proxy_.apply(proxy.Rules(cut_after_bytes=2))
            reader, writer = await connect(proxy_)
            await send(writer, b"one\n")
            assert await reader.read() == b"on"

    asyncio.run(run())


def test_stalled_bytes_are_forwarded_after_the_stall():
    async def run():
        async with open_echo() as (proxy_, received):
            proxy_.apply(proxy.Rules(is_stalled=True))
            reader, writer = await connect(proxy_)
            await send(writer, b"one\n")
            proxy_.apply(proxy.Rules())
            assert await reader.readline() == b"one\n"
            assert received == [b"one\n"]

    asyncio.run(run())


def test_reset_breaks_open_connections_and_refusal_rejects_new_ones():
    async def run():
        async with open_echo() as (proxy_, _):
            reader, writer = await connect(proxy_)
            await send(writer, b"one\n")
            await reader.readline()
            proxy_.reset()
            with pytest.raises(ConnectionError):
                await reader.readexactly(1)
            proxy_.apply(proxy.Rules(refuses_connections=True))
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                reader, writer = await connect(proxy_)
                await reader.readexactly(1)

    asyncio.run(run())
