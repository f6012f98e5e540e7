"""HTTP server with a single page for operators or the load balancer."""

from __future__ import annotations

import asyncio
import types
from collections.abc import Callable
from typing import Self

from aiohttp import web


class PageServer:
    """Serves one path over HTTP while its context is open.

    Args:
        address: Host and port to listen on.
        path: Path of the page; other paths are answered with 404.
        make_page: Returns the response.
    """

    def __init__(
        self, address: str, path: str, make_page: Callable[[], web.Response]
    ) -> None:
        self._path = path
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._make_page = make_page
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
        return self._make_page()
