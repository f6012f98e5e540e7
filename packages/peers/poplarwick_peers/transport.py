"""gRPC connections between instances."""

from __future__ import annotations

import types
from typing import Any
from typing import Protocol
from typing import Self
from typing import TYPE_CHECKING

from grpclib import client
from grpclib import exceptions
from grpclib import server

from poplarwick_core import errors

if TYPE_CHECKING:
    import ssl


class PeerError(errors.PoplarwickError):
    """A call to another instance failed.

    Attributes:
        may_have_run: Whether the other instance may have executed the call.
    """

    def __init__(self, message: str, *, may_have_run: bool) -> None:
        super().__init__(message)
        self.may_have_run = may_have_run


CALL_ERRORS = (
    exceptions.GRPCError,
    exceptions.StreamTerminatedError,
    OSError,
    TimeoutError,
)
"""Exceptions that a gRPC call raises if the peer or the network fails."""


class Service(Protocol):
    """A generated grpclib service."""

    def __mapping__(self) -> Any:
        """Returns the handlers by method path."""
        ...


class PeerServer:
    """Serves gRPC to other instances while its context is open.

    Args:
        address: Host and port to listen on.
        services: Generated services with their handlers.
        tls: TLS context that requires a client certificate, or None.
    """

    def __init__(
        self,
        address: str,
        services: tuple[Service, ...],
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._host, self._port = split_address(address)
        self._server = server.Server(list(services))
        self._tls = tls

    async def __aenter__(self) -> Self:
        await self._server.start(self._host, self._port, ssl=self._tls)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._server.close()
        await self._server.wait_closed()


class ChannelPool:
    """Keeps one channel per address while its context is open.

    Args:
        tls: TLS context with the certificate of this instance, or None.
    """

    def __init__(self, tls: ssl.SSLContext | None = None) -> None:
        self._tls = tls
        self._channels: dict[str, client.Channel] = {}

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def get(self, address: str) -> client.Channel:
        """Returns the channel to an address. It connects on first use."""
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = self.open(address)
        return channel

    def open(self, address: str) -> client.Channel:
        """Returns a new channel. The caller must close it."""
        host, port = split_address(address)
        return client.Channel(host, port, ssl=self._tls)


def split_address(address: str) -> tuple[str, int]:
    """Splits `host:port`; IPv6 hosts are enclosed in brackets.

    Raises:
        ValueError: The port is missing or not a number.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
