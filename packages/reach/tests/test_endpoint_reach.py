"""Connections to endpoints on real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
import types

import aiohttp
import pytest

from poplarwick_core import connection_attempt
from poplarwick_reach import endpoint_reach
from poplarwick_reach import frames
from poplarwick_reach import handshake
from poplarwick_reach import relay_server

HOST = "127.0.0.1"


def make_reach(addresses):
    deployment = types.SimpleNamespace(
        instance="i0",
        domain="a",
        region="r",
        regions_by_domain={"a": "r"},
        relay_address=f"{HOST}:1",
    )
    known = types.SimpleNamespace(
        members={},
        endpoints={
            address: types.SimpleNamespace(
                endpoint=types.SimpleNamespace(address=address)
            )
            for address in addresses
        },
    )
    return endpoint_reach.EndpointReach(deployment, known)


async def stay_open(reader, writer):
    await reader.read()
    writer.close()


async def reset(reader, writer):
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


async def close(reader, writer):
    writer.close()


async def answer(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nbegin")
    await stay_open(reader, writer)


@contextlib.asynccontextmanager
async def serve(handle):
    handlers = set()

    async def record(reader, writer):
        handlers.add(asyncio.current_task())
        await handle(reader, writer)

    server = await asyncio.start_server(record, HOST, 0)
    try:
        yield f"{HOST}:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()
        if handlers:
            await asyncio.wait(handlers, timeout=1.0)


# Guards against an instance that takes its own delay for a cut of its links.
def test_endpoint_is_reached_although_the_event_loop_was_late():
    async def run():
        async with serve(stay_open) as address:
            reach = make_reach([address])
            loop = asyncio.get_running_loop()
            probe = asyncio.create_task(reach.is_reachable(address))
            loop.call_soon(time.sleep, 2 * endpoint_reach.PROBE_TIMEOUT_S)
            assert await probe

    asyncio.run(run())


def make_listening_socket():
    """Returns a socket whose connections the kernel makes."""
    listening = socket.socket()
    listening.bind((HOST, 0))
    listening.listen()
    return listening


async def request_while_late(connector, address, *, timeout_s, is_cancelled):
    """Sends a request while the event loop stands still."""
    url = f"http://{address}/"
    limit = None if is_cancelled else timeout_s
    async with aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(sock_connect=limit),
    ) as session:
        loop = asyncio.get_running_loop()
        loop.call_soon(loop.call_soon, time.sleep, 2 * timeout_s)
        with contextlib.suppress(TimeoutError, aiohttp.ClientError):
            async with (
                asyncio.timeout(timeout_s if is_cancelled else None),
                session.get(url),
            ):
                pass


# Guards against an instance that takes itself for cut off as its own loop was
# late by the time limit of its attempts.
@pytest.mark.parametrize("is_cancelled", [False, True])
def test_attempts_that_the_own_delay_ends_are_no_unreachable_endpoints(
    is_cancelled,
):
    async def run():
        with contextlib.ExitStack() as stack:
            addresses = [
                "{}:{}".format(
                    *stack.enter_context(make_listening_socket()).getsockname()
                )
                for _ in range(3)
            ]
            reach = make_reach(addresses)
            await asyncio.gather(
                *(
                    request_while_late(
                        reach.make_connector(),
                        address,
                        timeout_s=0.3,
                        is_cancelled=is_cancelled,
                    )
                    for address in addresses
                )
            )
            assert not reach.is_cut_off

    asyncio.run(run())


# A proxy in front of an endpoint that has crashed accepts connections.
@pytest.mark.parametrize(
    ("handle", "expected"), [(stay_open, True), (reset, False), (close, False)]
)
def test_endpoint_is_reached_if_its_connection_stays_open(handle, expected):
    async def run():
        async with serve(handle) as address:
            return await make_reach([address]).is_reachable(address)

    assert asyncio.run(run()) is expected


# Guards against an instance that takes itself for connected again, as a reset
# came while its own loop was late.
def test_reset_during_a_standstill_is_no_open_connection(monkeypatch):
    async def run():
        async with serve(reset) as address:
            reach = make_reach([address])
            loop = asyncio.get_running_loop()
            connect = connection_attempt.connect

            async def connect_and_stand_still(*arguments):
                await connect(*arguments)
                loop.call_soon(time.sleep, 2 * endpoint_reach.PROBE_QUIET_S)

            monkeypatch.setattr(
                connection_attempt, "connect", connect_and_stand_still
            )
            return await reach.is_reachable(address)

    assert asyncio.run(run()) is False


# Guards against a draining engine that is taken for ended, as it resets
# connections beyond its limit, or as relays refuse addresses without an entry.
@pytest.mark.parametrize("is_cut_off", [False, True])
def test_endpoint_that_resets_connections_does_not_refuse_them(is_cut_off):
    async def run():
        async with serve(reset) as address:
            reach = make_reach([address])
            if is_cut_off:
                reach.record_failed(address)
            assert reach.is_cut_off is is_cut_off
            assert not await reach.refuses_connections(address)
        return await reach.refuses_connections(address)

    # Without a listener, an instance that is cut off knows nothing.
    assert asyncio.run(run()) is not is_cut_off


def test_endpoint_without_a_listener_is_not_reached():
    async def run():
        async with serve(stay_open) as address:
            pass
        return await make_reach([address]).is_reachable(address)

    assert asyncio.run(run()) is False


def test_cut_is_found_and_healed_without_traffic():
    """One failed connection is all that the instance is told."""

    async def run():
        async with contextlib.AsyncExitStack() as stack:
            addresses = [
                await stack.enter_async_context(serve(stay_open))
                for _ in range(4)
            ]
            reach = make_reach(addresses)
            is_cut = True

            async def connect(address):
                return not is_cut

            reach._connect_directly = connect
            task = asyncio.create_task(reach.run())
            reach.record_failed(addresses[0])
            async with asyncio.timeout(1.0):
                while not reach.is_cut_off:
                    await asyncio.sleep(0.01)
            is_cut = False
            async with asyncio.timeout(1.0):
                while reach.is_cut_off:
                    await asyncio.sleep(0.01)
            task.cancel()

    asyncio.run(run())


def test_crashed_endpoint_costs_one_round_of_probes():
    async def run():
        async with contextlib.AsyncExitStack() as stack:
            addresses = [
                await stack.enter_async_context(serve(stay_open))
                for _ in range(5)
            ]
            reach = make_reach(addresses)
            probed = []
            connect = reach._connect_directly

            async def count(address):
                probed.append(address)
                return await connect(address)

            reach._connect_directly = count
            task = asyncio.create_task(reach.run())
            for _ in range(20):
                reach.record_failed(addresses[0])
                await asyncio.sleep(0.01)
            assert len(probed) == endpoint_reach.PROBES
            assert addresses[0] not in probed
            assert not reach.is_cut_off
            task.cancel()

    asyncio.run(run())


def test_requests_to_endpoints_have_no_user_timeout_and_no_keep_alive():
    """A user timeout would decide when keep-alive probes give up."""

    async def run():
        async with serve(answer) as address:
            connector = make_reach([address]).make_connector()
            async with (
                aiohttp.ClientSession(connector=connector) as session,
                session.get(f"http://{address}/") as response,
            ):
                sock = response.connection.transport.get_extra_info("socket")
                return [
                    sock.getsockopt(level, option)
                    for level, option in (
                        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
                        (socket.SOL_SOCKET, socket.SO_KEEPALIVE),
                    )
                ]

    assert asyncio.run(run()) == [0, 0]


async def relay_request(known, reach, address):
    """Sends a request to an endpoint through a relay that asks `reach`."""
    with make_listening_socket() as free:
        port = free.getsockname()[1]
    async with relay_server.RelayServer(
        f"{HOST}:{port}",
        known,
        lambda: reach.is_cut_off,
        reach.record_failed,
        reach.record_reached,
        4_096,
    ):
        sock = await handshake.request_relay((HOST, port), HOST, address, "r")
        reader, writer = await asyncio.open_connection(sock=sock)
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            await reader.readexactly(frames.LENGTH_BYTES + 1)
        writer.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()


# Guards against a relay that takes itself for cut off, and declines, since some
# endpoints have crashed while those that it relays to answer.
@pytest.mark.parametrize(
    ("handle", "expected"), [(answer, False), (reset, True)]
)
def test_relay_that_passes_answers_on_is_not_cut_off(handle, expected):
    async def run():
        async with serve(handle) as address:
            crashed = [f"{HOST}:{port}" for port in (1, 2, 3)]
            reach = make_reach([address, *crashed])
            known = types.SimpleNamespace(
                members={"i1": types.SimpleNamespace(address=f"{HOST}:9")},
                endpoints=reach._catalogue.endpoints,
            )
            reach.record_failed(crashed[0])
            reach.record_failed(crashed[1])
            with contextlib.suppress(asyncio.IncompleteReadError):
                await relay_request(known, reach, address)
            reach.record_failed(crashed[2])
            return reach.is_cut_off

    assert asyncio.run(run()) is expected
