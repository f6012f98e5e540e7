"""HTTP connector that reaches endpoints directly or through a relay."""

from __future__ import annotations

import asyncio
import contextvars
import dataclasses
from collections.abc import Callable
from typing import Any
from typing import Protocol

import aiohttp
from aiohttp import client_proto
from aiohttp import client_reqrep

from poplarwick_core import clock
from poplarwick_core import connection_attempt

HANG_S = 0.2
"""Time after which a connection attempt that is given up counts as failed."""


@dataclasses.dataclass(slots=True)
class ConnectionInfo:
    """What a task tells the connector of its connection, and learns of it.

    Attributes:
        label: Id of the request, for logs.
        relay: Instance that relays the connection; None if it is direct.
        has_relay_ended: Whether that instance has ended it by stopping.
        is_late: Whether a direct connection was made, but so late was this
            process that its time limit ended it.
    """

    label: str = ""
    relay: str | None = None
    has_relay_ended: bool = False
    is_late: bool = False

    def record_relay_end(self) -> None:
        """Records that the relay has ended the connection by stopping."""
        self.has_relay_ended = True


CONNECTION_INFO: contextvars.ContextVar[ConnectionInfo | None] = (
    contextvars.ContextVar("connection_info", default=None)
)
"""Set by tasks that want to know how their endpoint was reached."""


_SOCKET: contextvars.ContextVar[connection_attempt.AttemptSocket | None] = (
    contextvars.ContextVar("attempt_socket", default=None)
)
"""Socket of the connection attempt of a task."""

SocketFactory = Callable[
    [aiohttp.AddrInfoType], connection_attempt.AttemptSocket
]


class Reach(Protocol):
    """Knows whether endpoints are reached, and how else."""

    @property
    def is_cut_off(self) -> bool:
        """Whether this instance reaches no endpoint."""
        ...

    def record_failed(self, address: str) -> None:
        """Records an endpoint that could not be connected."""
        ...

    async def open_relayed(
        self, address: str, protocol: asyncio.Protocol, info: ConnectionInfo
    ) -> bool:
        """Connects a protocol to an endpoint through another instance.

        Returns:
            Whether an instance relays the connection.

        Raises:
            OSError: An instance that reaches endpoints does not reach this one.
        """
        ...


def make_socket(
    address: aiohttp.AddrInfoType,
) -> connection_attempt.AttemptSocket:
    """Returns a socket for connections to an address."""
    family, kind, protocol, *_ = address
    return connection_attempt.AttemptSocket(family, kind, protocol)


class ReachConnector(aiohttp.TCPConnector):
    """Connects to endpoints; uses a relay while this instance is cut off.

    Args:
        reach: Knows whether endpoints are reached.
        source_host: Own host, from which connections are made.
        socket_factory: Creates the socket of a connection.
        **options: Options of `aiohttp.TCPConnector`.
    """

    def __init__(
        self,
        reach: Reach,
        source_host: str,
        socket_factory: SocketFactory = make_socket,
        **options: Any,
    ) -> None:
        def make_attempt_socket(
            address: aiohttp.AddrInfoType,
        ) -> connection_attempt.AttemptSocket:
            sock = socket_factory(address)
            _SOCKET.set(sock)
            return sock

        super().__init__(
            local_addr=(source_host, 0),
            socket_factory=make_attempt_socket,
            **options,
        )
        self._reach = reach

    async def _create_connection(
        self,
        req: client_reqrep.ClientRequest,
        traces: list[Any],
        timeout: aiohttp.ClientTimeout,
    ) -> client_proto.ResponseHandler:
        address = f"{req.url.host}:{req.url.port}"
        if self._reach.is_cut_off:
            relayed = await self._open_relayed(address, req)
            if relayed is not None:
                return relayed
        began_at_s = clock.now_s()
        _SOCKET.set(None)
        try:
            return await super()._create_connection(req, traces, timeout)
        except (aiohttp.ClientConnectorError, OSError, TimeoutError):
            self._record_failed(address)
            if not self._reach.is_cut_off:
                raise
            relayed = await self._open_relayed(address, req)
            if relayed is None:
                raise
            return relayed
        except asyncio.CancelledError:
            if clock.now_s() - began_at_s >= HANG_S:
                self._record_failed(address)
            raise

    def _record_failed(self, address: str) -> None:
        sock = _SOCKET.get()
        if sock is None or not sock.was_connected:
            self._reach.record_failed(address)
        elif info := CONNECTION_INFO.get():
            info.is_late = True

    async def _open_relayed(
        self, address: str, req: client_reqrep.ClientRequest
    ) -> client_proto.ResponseHandler | None:
        info = CONNECTION_INFO.get() or ConnectionInfo()
        protocol = self._factory()
        try:
            if not await self._reach.open_relayed(address, protocol, info):
                return None
        except OSError as error:
            raise aiohttp.ClientConnectorError(
                req.connection_key, error
            ) from error
        # Not used again, so that connections are direct once that is possible.
        protocol.force_close()
        return protocol
