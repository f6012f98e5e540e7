"""TCP proxy that injects faults between two processes."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import enum
import random
import socket
import struct
import types

CHUNK_BYTES = 65_536
LOOPBACK = "127.0.0.1"


class Direction(enum.Enum):
    """Way that bytes travel."""

    REQUEST = "request"
    ANSWER = "answer"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rules:
    """Faults in force on all connections of one proxy.

    Attributes:
        delay_s: Time added to each chunk.
        jitter_s: Upper end of a random time added to each chunk.
        dropped_directions: Directions whose bytes disappear.
        is_stalled: Whether no byte moves, though connections stay open.
        refuses_connections: Whether new connections are reset.
        cut_after_bytes: Bytes of the answer after which a connection breaks.
        drops_responses: Whether a connection breaks when its answer begins, so
            that the request has passed and its answer is lost.
    """

    delay_s: float = 0.0
    jitter_s: float = 0.0
    dropped_directions: frozenset[Direction] = frozenset()
    is_stalled: bool = False
    refuses_connections: bool = False
    cut_after_bytes: int | None = None
    drops_responses: bool = False


class Proxy:
    """Passes connections on to a target, with the faults of its rules.

    Attributes:
        target: Host and port that connections are passed on to.
        address: Host and port that the proxy listens on.
        connections: Number of connections accepted so far.
    """

    def __init__(self, target: str, seed: int = 0) -> None:
        self.target = target
        self.address = ""
        self.connections = 0
        self._rules = Rules()
        self._changed = asyncio.Event()
        self._random = random.Random(seed)
        self._open: set[_Connection] = set()
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Proxy:
        """Starts to listen on a free port."""
        self._server = await asyncio.start_server(self._handle, LOOPBACK, 0)
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
        """Faults in force."""
        return self._rules

    def apply(self, rules: Rules) -> None:
        """Puts other faults in force, on open connections as well."""
        self._rules = rules
        self._changed.set()
        self._changed = asyncio.Event()

    def reset(self) -> None:
        """Resets all open connections."""
        for connection in list(self._open):
            connection.abort()

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        if self._rules.refuses_connections:
            _reset(writer)
            return
        host, _, port = self.target.rpartition(":")
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            _reset(writer)
            return
        connection = _Connection(writer, upstream[1])
        self._open.add(connection)
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
            self._open.discard(connection)
            connection.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: _Connection,
        direction: Direction,
    ) -> None:
        passed = 0
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                await self._wait()
                rules = self._rules
                if direction in rules.dropped_directions:
                    continue
                if direction is Direction.ANSWER:
                    if rules.drops_responses:
                        connection.abort()
                        return
                    if _is_cut(rules, passed + len(chunk)):
                        assert rules.cut_after_bytes is not None
                        writer.write(chunk[: rules.cut_after_bytes - passed])
                        connection.close()
                        return
                passed += len(chunk)
                writer.write(chunk)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()

    async def _wait(self) -> None:
        while self._rules.is_stalled:
            await self._changed.wait()
        rules = self._rules
        pause_s = rules.delay_s + self._random.uniform(0, rules.jitter_s)
        if pause_s > 0:
            await asyncio.sleep(pause_s)


@dataclasses.dataclass(eq=False, slots=True)
class _Connection:
    """Both halves of one proxied connection."""

    downstream: asyncio.StreamWriter
    upstream: asyncio.StreamWriter

    def abort(self) -> None:
        """Resets both halves."""
        _reset(self.downstream)
        _reset(self.upstream)

    def close(self) -> None:
        """Closes both halves once what was written has gone out."""
        self.downstream.close()
        self.upstream.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    # Closing with a linger time of 0 sends a reset instead of an end.
    own_socket = writer.get_extra_info("socket")
    if own_socket is not None and own_socket.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        own_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def _is_cut(rules: Rules, passed: int) -> bool:
    limit = rules.cut_after_bytes
    return limit is not None and passed >= limit
