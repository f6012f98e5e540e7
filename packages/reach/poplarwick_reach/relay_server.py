"""Relays connections of other instances to endpoints, byte by byte."""

from __future__ import annotations

import asyncio
import socket
import types
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Self

from poplarwick_catalogue import catalogue
from poplarwick_core import clock
from poplarwick_core import connection_attempt
from poplarwick_core import logs
from poplarwick_core import socket_buffers
from poplarwick_reach import frames
from poplarwick_reach import handshake
from poplarwick_reach import log_events
from poplarwick_reach import metrics
from poplarwick_reach import relay_choice

MAX_CONNECTIONS = 400
"""Connections that an instance relays at a time; each takes two descriptors and
one write buffer in each direction, besides those of its sockets."""

HELLO_TIMEOUT_S = 1.0
"""Time limit for the first line."""

IDLE_CHECK_S = 0.05
"""Interval between checks whether the last connection has ended."""


class RelayServer:
    """Relays connections while its context is open.

    Args:
        address: Host and port to listen on; endpoints are connected from this
            host.
        catalogue_: Known instances and endpoints.
        is_cut_off: Returns whether this instance reaches no endpoint.
        record_failed: Called with endpoints that could not be connected.
        record_reached: Called with endpoints that have answered, and the
            monotonic time at which they were connected.
        buffer_bytes: Size of each buffer of a connection; what one side does
            not read fills them, and then the other side is not read.
    """

    def __init__(
        self,
        address: str,
        catalogue_: catalogue.Catalogue,
        is_cut_off: Callable[[], bool],
        record_failed: Callable[[str], None],
        record_reached: Callable[[str, float], None],
        buffer_bytes: int,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._catalogue = catalogue_
        self._is_cut_off = is_cut_off
        self._record_failed = record_failed
        self._record_reached = record_reached
        self._buffer_bytes = buffer_bytes
        self._server: asyncio.Server | None = None
        self._connections: set[_InstanceSide] = set()
        self.is_leaving = False
        self.opened_count = 0

    async def __aenter__(self) -> Self:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _InstanceSide(
                self._connections, self._connect, self._buffer_bytes
            ),
            sock=socket_buffers.make_listening_socket(
                self._host, self._port, self._buffer_bytes
            ),
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            if connection.is_ending and connection.unsent_bytes:
                connection.log_cut()
            connection.abort()

    @property
    def connection_count(self) -> int:
        """Number of connections that are relayed."""
        return len(self._connections)

    async def wait_until_idle(self, timeout_s: float) -> bool:
        """Waits until no connection is relayed and returns whether none is.

        Args:
            timeout_s: Longest wait.
        """
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        while self._connections:
            if asyncio.get_running_loop().time() >= deadline_s:
                return False
            await asyncio.sleep(IDLE_CHECK_S)
        return True

    def list_unsent(self) -> list[asyncio.Transport]:
        """Returns the connections whose instances have not read all yet."""
        return socket_buffers.list_unsent(
            connection.transport for connection in self._connections
        )

    async def end_connections(
        self, hand_over_unsent: Callable[[], None], catch_up_s: float
    ) -> None:
        """Ends all connections behind what their endpoints have sent.

        The instances that they are relayed for are told.

        Args:
            hand_over_unsent: Lets the kernel take what `list_unsent` returns.
            catch_up_s: Time for reading what arrived while the process stood
                still, or while there was unsent data.
        """
        hand_over_unsent()
        await asyncio.sleep(catch_up_s)
        hand_over_unsent()
        for connection in list(self._connections):
            connection.cut()

    async def _connect(
        self, origin: str, line: bytes, instance_side: _InstanceSide
    ) -> handshake.Reply:
        """Connects an instance to the endpoint that it asks for."""
        try:
            address, label = handshake.decode_hello(line)
        except handshake.HandshakeError:
            return self._decline(handshake.Reply.REFUSED)
        obstacle = self._find_obstacle(origin, address)
        if obstacle is not None:
            return self._decline(obstacle)
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        opened_at_s = clock.now_s()
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            socket_buffers.limit_buffers(sock, self._buffer_bytes)
            await connection_attempt.connect(
                sock,
                self._host,
                (host, int(port)),
                handshake.ENDPOINT_TIMEOUT_S,
            )
            await loop.create_connection(
                lambda: _EndpointSide(
                    instance_side,
                    self._buffer_bytes,
                    lambda: self._record_reached(address, opened_at_s),
                ),
                sock=sock,
            )
        except (OSError, TimeoutError):
            self._record_failed(address)
            return self._decline(
                handshake.Reply.CUT_OFF
                if self._is_cut_off()
                else handshake.Reply.UNREACHABLE
            )
        self.opened_count += 1
        metrics.connections_relayed.add(1, {"role": "relay"})
        logs.log(
            log_events.ConnectionRelayed(
                origin=origin, address=address, request=label
            )
        )
        instance_side.label = label
        return handshake.Reply.CONNECTED

    def _find_obstacle(
        self, origin: str, address: str
    ) -> handshake.Reply | None:
        members = {
            member.address.rpartition(":")[0]
            for member in self._catalogue.members.values()
        }
        endpoints = {
            tracked.endpoint.address
            for tracked in self._catalogue.endpoints.values()
        }
        if not relay_choice.may_be_relayed(origin, members, address, endpoints):
            return handshake.Reply.REFUSED
        if self.is_leaving:
            return handshake.Reply.LEAVING
        if self._is_cut_off():
            return handshake.Reply.CUT_OFF
        if len(self._connections) > MAX_CONNECTIONS:
            return handshake.Reply.FULL
        return None

    def _decline(self, reply: handshake.Reply) -> handshake.Reply:
        metrics.relays_declined.add(1, {"reason": reply.name.lower()})
        return reply


class _Side(asyncio.Protocol):
    """One of the two connections of a relayed connection."""

    def __init__(self, buffer_bytes: int) -> None:
        self.transport: asyncio.Transport | None = None
        self._buffer_bytes = buffer_bytes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(self._buffer_bytes)

    def abort(self) -> None:
        """Closes the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def pause_reading(self) -> None:
        """Stops reading while the other side does not read."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Reads again."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()


class _InstanceSide(_Side):
    """Connection of the instance that asks for a relay."""

    def __init__(
        self,
        connections: set[_InstanceSide],
        connect: Callable[
            [str, bytes, _InstanceSide], Awaitable[handshake.Reply]
        ],
        buffer_bytes: int,
    ) -> None:
        super().__init__(buffer_bytes)
        self._connections = connections
        self._connect = connect
        self._line = b""
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.endpoint_side: _EndpointSide | None = None
        self.label: str | None = None
        self._is_cut_logged = False

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the kernel has not taken."""
        if self.transport is None:
            return 0
        return self.transport.get_write_buffer_size()

    @property
    def is_ending(self) -> bool:
        """Whether the endpoint has ended; only its last bytes are unsent."""
        return self.transport is not None and self.transport.is_closing()

    def log_cut(self) -> None:
        """Logs once that the connection ends with this instance."""
        if self._is_cut_logged:
            return
        self._is_cut_logged = True
        assert self.transport is not None
        logs.log(
            log_events.RelayedConnectionCut(
                origin=self.transport.get_extra_info("peername")[0],
                request=self.label,
                unsent_bytes=self.unsent_bytes,
            )
        )

    def cut(self) -> None:
        """Ends the connection behind what has been received."""
        if self.transport is None or self.is_ending:
            return
        self.log_cut()
        if self.endpoint_side is None:
            self.abort()
            return
        self.transport.write(frames.RELAY_END)
        self.transport.close()
        self.endpoint_side.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._connections.add(self)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(HELLO_TIMEOUT_S, self.abort)

    def data_received(self, data: bytes) -> None:
        if self.endpoint_side is not None:
            self.endpoint_side.write(data)
            return
        self._line += data
        if len(self._line) > handshake.MAX_LINE_BYTES or self._task is not None:
            self.abort()
        elif self._line.endswith(b"\n"):
            self._task = asyncio.create_task(self._open())

    async def _open(self) -> None:
        assert self.transport is not None
        origin = self.transport.get_extra_info("peername")[0]
        reply = await self._connect(origin, self._line.rstrip(b"\n"), self)
        if self._timer is not None:
            self._timer.cancel()
        # In front of everything that the endpoint sends.
        self.transport.write(reply.value)
        if reply is not handshake.Reply.CONNECTED:
            self.transport.close()
        elif self.endpoint_side is not None:
            self.endpoint_side.begin()

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self._connections.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()
        if self.endpoint_side is not None:
            self.endpoint_side.abort()

    def pause_writing(self) -> None:
        if self.endpoint_side is not None:
            self.endpoint_side.pause_reading()

    def resume_writing(self) -> None:
        if self.endpoint_side is not None:
            self.endpoint_side.resume_reading()

    def write(self, data: bytes) -> None:
        """Sends bytes of the endpoint."""
        if self.transport is not None:
            self.transport.write(frames.encode(data))

    def end(self, *, is_orderly: bool) -> None:
        """Ends the connection as the endpoint has ended its own."""
        if self.transport is None or self.transport.is_closing():
            return
        if is_orderly:
            self.transport.write(frames.END)
            self.transport.close()
        else:
            self.transport.abort()


class _EndpointSide(_Side):
    """Connection to the endpoint."""

    def __init__(
        self,
        instance_side: _InstanceSide,
        buffer_bytes: int,
        record_answer: Callable[[], None],
    ) -> None:
        super().__init__(buffer_bytes)
        self._instance_side = instance_side
        self._record_answer: Callable[[], None] | None = record_answer
        self._has_eof = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        # Until the instance has been told that it is connected.
        self.pause_reading()
        self._instance_side.endpoint_side = self

    def begin(self) -> None:
        """Begins to pass bytes on."""
        self.resume_reading()

    def data_received(self, data: bytes) -> None:
        if self._record_answer is not None:
            self._record_answer()
            self._record_answer = None
        self._instance_side.write(data)

    def eof_received(self) -> None:
        self._has_eof = True

    def connection_lost(self, exc: Exception | None) -> None:
        self._instance_side.end(is_orderly=exc is None and self._has_eof)

    def pause_writing(self) -> None:
        self._instance_side.pause_reading()

    def resume_writing(self) -> None:
        self._instance_side.resume_reading()

    def write(self, data: bytes) -> None:
        """Sends bytes of the instance."""
        if self.transport is not None:
            self.transport.write(data)
