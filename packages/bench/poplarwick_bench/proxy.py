"""TCP proxy that injects faults between two processes."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import enum
import random
import socket
import struct
import time
import types
from collections.abc import Set as AbstractSet

from poplarwick_core import connection_attempt
from poplarwick_core import socket_buffers

CHUNK_BYTES = 65_536
LOOPBACK = "127.0.0.1"


class Direction(enum.Enum):
    """Direction of the forwarded bytes."""

    REQUEST = "request"
    ANSWER = "answer"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rules:
    """Faults applied to all connections of one proxy.

    Attributes:
        delay_s: Delay added to each chunk.
        jitter_s: Upper bound of a uniform random delay added to each chunk.
        bytes_per_s: Rate in each direction, which all connections share; None
            for no limit.
        dropped_directions: Directions whose bytes are dropped.
        is_stalled: Whether forwarding is suspended while connections stay
            open.
        refuses_connections: Whether new connections are reset.
        cut_after_bytes: Bytes of the response after which a connection is
            closed.
        drops_responses: Whether a connection is reset when its response
            begins, so that the request is delivered and its response lost.
    """

    delay_s: float = 0.0
    jitter_s: float = 0.0
    bytes_per_s: float | None = None
    dropped_directions: frozenset[Direction] = frozenset()
    is_stalled: bool = False
    refuses_connections: bool = False
    cut_after_bytes: int | None = None
    drops_responses: bool = False


class Proxy:
    """Forwards connections to a target and applies the faults of its rules.

    Attributes:
        target: Host and port that connections are forwarded to.
        address: Host and port that the proxy listens on.
        connection_count: Number of accepted connections.

    Args:
        target: Host and port that connections are forwarded to.
        seed: Seed of the random delays.
        refused_hosts: Hosts whose new connections are reset, whatever the
            rules; proxies may share one set.
        buffer_bytes: Size of each buffer of a connection, so that what one
            side does not read holds up the other; None for the usual sizes.
    """

    def __init__(
        self,
        target: str,
        seed: int = 0,
        refused_hosts: AbstractSet[str] = frozenset(),
        buffer_bytes: int | None = None,
    ) -> None:
        self._buffer_bytes = buffer_bytes
        self._refused_hosts = refused_hosts
        self.target = target
        self.address = ""
        self.connection_count = 0
        self._rules = Rules()
        self._rules_changed = asyncio.Event()
        self._rng = random.Random(seed)
        self._busy_until_s = dict.fromkeys(Direction, 0.0)
        self._connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Proxy:
        """Starts listening on a free port."""
        if self._buffer_bytes is None:
            self._server = await asyncio.start_server(self._handle, LOOPBACK, 0)
        else:
            self._server = await asyncio.start_server(
                self._handle,
                sock=socket_buffers.make_listening_socket(
                    LOOPBACK, 0, self._buffer_bytes
                ),
            )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    @property
    def rules(self) -> Rules:
        """Active rules."""
        return self._rules

    def apply(self, rules: Rules) -> None:
        """Replaces the rules, for open connections as well."""
        self._rules = rules
        self._rules_changed.set()
        self._rules_changed = asyncio.Event()

    def reset(self, hosts: AbstractSet[str] | None = None) -> None:
        """Resets open connections.

        Args:
            hosts: Hosts whose connections are reset; None for all.
        """
        for connection in list(self._connections):
            if hosts is None or connection.host in hosts:
                connection.abort()

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        host = writer.get_extra_info("peername")[0]
        if self._rules.refuses_connections or host in self._refused_hosts:
            _reset(writer)
            return
        host, _, port = self.target.rpartition(":")
        try:
            upstream = await self._connect(host, int(port))
        except OSError:
            _reset(writer)
            return
        connection = _Connection(writer, upstream[1])
        self._connections.add(connection)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._pump(
                        reader, upstream[1], connection, Direction.REQUEST
                    )
                )
                group.create_task(
                    self._pump(
                        upstream[0], writer, connection, Direction.ANSWER
                    )
                )
        finally:
            self._connections.discard(connection)
            connection.close()

    async def _connect(
        self, host: str, port: int
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._buffer_bytes is None:
            return await asyncio.open_connection(host, port)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        socket_buffers.limit_buffers(sock, self._buffer_bytes)
        await connection_attempt.connect(sock, LOOPBACK, (host, port))
        return await asyncio.open_connection(sock=sock)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: _Connection,
        direction: Direction,
    ) -> None:
        forwarded_bytes = 0
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                await self._apply_delay()
                await self._apply_rate(direction, len(chunk))
                rules = self._rules
                if direction in rules.dropped_directions:
                    continue
                if direction is Direction.ANSWER:
                    if rules.drops_responses:
                        connection.abort()
                        return
                    if _reaches_cut(rules, forwarded_bytes + len(chunk)):
                        assert rules.cut_after_bytes is not None
                        writer.write(
                            chunk[: rules.cut_after_bytes - forwarded_bytes]
                        )
                        connection.close()
                        return
                forwarded_bytes += len(chunk)
                writer.write(chunk)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
            return
        # One half was reset, and so is the other.
        connection.abort()

    async def _apply_delay(self) -> None:
        while self._rules.is_stalled:
            await self._rules_changed.wait()
        rules = self._rules
        delay_s = rules.delay_s + self._rng.uniform(0, rules.jitter_s)
        if delay_s > 0:
            await asyncio.sleep(delay_s)

    async def _apply_rate(self, direction: Direction, count: int) -> None:
        """Waits until the link has carried a number of bytes."""
        bytes_per_s = self._rules.bytes_per_s
        if bytes_per_s is None:
            return
        now_s = time.monotonic()
        begins_at_s = max(self._busy_until_s[direction], now_s)
        self._busy_until_s[direction] = begins_at_s + count / bytes_per_s
        await asyncio.sleep(self._busy_until_s[direction] - now_s)


@dataclasses.dataclass(eq=False, slots=True)
class _Connection:
    """Both halves of one proxied connection."""

    downstream: asyncio.StreamWriter
    upstream: asyncio.StreamWriter

    @property
    def host(self) -> str:
        """Host that made the connection."""
        peer = self.downstream.get_extra_info("peername")
        return "" if peer is None else str(peer[0])

    def abort(self) -> None:
        """Resets both halves."""
        _reset(self.downstream)
        _reset(self.upstream)

    def close(self) -> None:
        """Closes both halves after their buffers are flushed."""
        self.downstream.close()
        self.upstream.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    # Closing with a linger time of 0 sends RST instead of FIN.
    raw_socket = writer.get_extra_info("socket")
    if raw_socket is not None and raw_socket.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def _reaches_cut(rules: Rules, forwarded_bytes: int) -> bool:
    limit = rules.cut_after_bytes
    return limit is not None and forwarded_bytes >= limit
