"""Ends of connections that a stopping instance relays, on real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import types

from poplarwick_core import socket_buffers
from poplarwick_reach import frames
from poplarwick_reach import handshake
from poplarwick_reach import relay_server

HOST = "127.0.0.1"
WAIT_S = 20.0
BUFFER_BYTES = 16_384
HANDOVER_BYTES = 1 << 20
PART = b"x" * 4_096
PARTS = 64


class Recorder(asyncio.Protocol):
    """Keeps what a relay passes on."""

    def __init__(self):
        self.data = b""
        self.ended = asyncio.get_running_loop().create_future()

    def data_received(self, data):
        self.data += data

    def connection_lost(self, exc):
        self.ended.set_result(exc)


class Site:
    """An endpoint, a relay, and an instance that does not read yet."""

    def __init__(self, relay, origin):
        self.relay = relay
        self._origin = origin

    def hand_over(self, total_bytes=HANDOVER_BYTES):
        """Lets the kernel take what is unsent."""
        socket_buffers.hand_over_unsent(self.relay.list_unsent(), total_bytes)

    async def read(self):
        """Reads all; returns the content, the end and whether it is told."""
        told = []
        loop = asyncio.get_running_loop()
        _, reader = await loop.create_connection(
            lambda: frames.FrameReader(Recorder(), lambda: told.append(True)),
            sock=self._origin,
        )
        end = await reader.protocol.ended
        return reader.protocol.data, end, bool(told)


def run(scenario, parts, *, is_ended):
    """Runs a scenario once the endpoint has sent all that buffers take."""

    async def answer(reader, writer):
        with contextlib.closing(writer):
            for _ in range(parts):
                writer.write(PART)
            if not is_ended:
                await reader.read()

    async def run_with_site():
        async with (
            asyncio.timeout(WAIT_S),
            contextlib.AsyncExitStack() as stack,
        ):
            endpoint = await asyncio.start_server(answer, HOST, 0)
            stack.callback(endpoint.close)
            address = "{}:{}".format(*endpoint.sockets[0].getsockname())
            tracked = types.SimpleNamespace(
                endpoint=types.SimpleNamespace(address=address)
            )
            with socket.socket() as probe:
                probe.bind((HOST, 0))
                listening = probe.getsockname()
            relay = relay_server.RelayServer(
                "{}:{}".format(*listening),
                types.SimpleNamespace(
                    members={"i1": types.SimpleNamespace(address=f"{HOST}:1")},
                    endpoints={"e": tracked},
                ),
                lambda: False,
                lambda address: None,
                lambda address, opened_at_s: None,
                BUFFER_BYTES,
            )
            await stack.enter_async_context(relay)
            origin = await handshake.request_relay(
                listening, HOST, address, "r1"
            )
            stack.callback(origin.close)
            while not relay.connection_count:
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.1)
            await scenario(Site(relay, origin))

    asyncio.run(run_with_site())


# Guards against complete answers that end in a relay that stops.
def test_unsent_end_of_an_answer_is_sent_after_the_end_of_the_relay():
    async def scenario(site):
        site.hand_over()
        assert await site.relay.wait_until_idle(1.0)
        await site.relay.__aexit__(None, None, None)
        content, end, is_told = await site.read()
        assert content == PART * PARTS
        assert end is None
        assert not is_told

    run(scenario, PARTS, is_ended=True)


# Guards against stops that fail as the memory of the instance, divided among
# few connections, exceeds what the system takes for the size of a buffer.
def test_large_memory_for_a_single_connection_is_handed_over():
    async def scenario(site):
        await site.relay.end_connections(lambda: site.hand_over(1 << 40), 0.1)
        assert await site.relay.wait_until_idle(1.0)
        content, end, _ = await site.read()
        assert content == PART * PARTS
        assert end is None

    run(scenario, PARTS, is_ended=True)


# Guards against endpoints that are blamed for the end of a relay.
def test_relay_that_cuts_a_stream_says_so_after_all_that_it_has_received(
    lines,
):
    async def scenario(site):
        await site.relay.end_connections(site.hand_over, 0.1)
        assert await site.relay.wait_until_idle(1.0)
        content, end, is_told = await site.read()
        assert content == PART * PARTS
        assert isinstance(end, ConnectionError)
        assert is_told

    run(scenario, PARTS, is_ended=False)
    (line,) = [x for x in lines if "event=relayed_connection_cut" in x]
    assert "request=r1" in line


# Guards against complete answers that a relay cuts, as it did not read their
# ends while it had unsent data.
def test_complete_answer_that_is_unread_at_the_end_is_not_cut(lines):
    async def scenario(site):
        await site.relay.end_connections(site.hand_over, 0.1)
        assert await site.relay.wait_until_idle(1.0)
        content, end, is_told = await site.read()
        assert content == PART * PARTS
        assert end is None
        assert not is_told

    run(scenario, PARTS, is_ended=True)
    assert not [x for x in lines if "event=relayed_connection_cut" in x]


def test_relay_that_is_killed_says_nothing():
    async def scenario(site):
        await site.relay.__aexit__(None, None, None)
        _, end, is_told = await site.read()
        assert isinstance(end, ConnectionError)
        assert not is_told

    run(scenario, 1, is_ended=False)
