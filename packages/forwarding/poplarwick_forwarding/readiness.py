"""Tells the balancer whether this instance takes callers."""

from __future__ import annotations

import asyncio
import types
from collections.abc import Callable
from typing import Self

from aiohttp import web


class ReadinessServer:
    """Answers readiness checks while its context is open.

    Args:
        address: Host and port to listen on.
        path: Path of the check.
        is_ready: Tells whether the instance takes callers.
    """

    def __init__(
        self, address: str, path: str, is_ready: Callable[[], bool]
    ) -> None:
        self._path = path
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._is_ready = is_ready
        self._web: web.Server | None = None
        self._listener: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        self._web = web.Server(self._handle, access_log=None)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._web, self._host, self._port
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        if self._listener is not None:
            self._listener.close()
        if self._web is not None:
            await self._web.shutdown(0.1)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != self._path:
            return web.Response(status=404)
        return web.Response(status=200 if self._is_ready() else 503)
