"""Tests of the fault-injecting proxy."""

import asyncio
import contextlib

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
    async with proxy.Proxy(f"{host}:{port}", seed=1) as between:
        yield between, received
    server.close()


async def connect(between):
    host, _, port = between.address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def send(writer, line):
    writer.write(line)
    await writer.drain()


def test_passes_bytes_both_ways_and_the_end():
    async def run():
        async with open_echo() as (between, _):
            reader, writer = await connect(between)
            await send(writer, b"one\n")
            assert await reader.readline() == b"one\n"
            writer.write_eof()
            assert await reader.read() == b""

    asyncio.run(run())


def test_delay_keeps_the_order():
    async def run():
        async with open_echo() as (between, _):
            between.apply(proxy.Rules(delay_s=0.01, jitter_s=0.01))
            reader, writer = await connect(between)
            for line in (b"one\n", b"two\n"):
                await send(writer, line)
            assert await reader.readline() == b"one\n"
            assert await reader.readline() == b"two\n"

    asyncio.run(run())


def test_answer_is_lost_after_the_request_has_passed():
    async def run():
        async with open_echo() as (between, received):
            between.apply(proxy.Rules(drops_responses=True))
            reader, writer = await connect(between)
            await send(writer, b"one\n")
            with contextlib.suppress(ConnectionError):
                assert await reader.read() == b""
            assert received == [b"one\n"]

    asyncio.run(run())


def test_request_is_lost_in_one_direction():
    async def run():
        async with open_echo() as (between, received):
            dropped_directions = frozenset({proxy.Direction.REQUEST})
            between.apply(proxy.Rules(dropped_directions=dropped_directions))
            reader, writer = await connect(between)
            await send(writer, b"one\n")
            writer.write_eof()
            assert await reader.read() == b""
            assert received == []

    asyncio.run(run())


def test_cuts_the_answer_after_some_bytes():
    async def run():
        async with open_echo() as (between, _):
            between.apply(proxy.Rules(cut_after_bytes=2))
            reader, writer = await connect(between)
            await send(writer, b"one\n")
            assert await reader.read() == b"on"

    asyncio.run(run())


def test_stalled_bytes_move_once_the_stall_ends():
    async def run():
        async with open_echo() as (between, received):
            between.apply(proxy.Rules(is_stalled=True))
            reader, writer = await connect(between)
            await send(writer, b"one\n")
            between.apply(proxy.Rules())
            assert await reader.readline() == b"one\n"
            assert received == [b"one\n"]

    asyncio.run(run())


def test_reset_breaks_open_connections_and_refusal_new_ones():
    async def run():
        async with open_echo() as (between, _):
            reader, writer = await connect(between)
            await send(writer, b"one\n")
            await reader.readline()
            between.reset()
            with pytest.raises(ConnectionError):
                await reader.readexactly(1)
            between.apply(proxy.Rules(refuses_connections=True))
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                reader, writer = await connect(between)
                await reader.readexactly(1)

    asyncio.run(run())
