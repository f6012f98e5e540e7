"""HTTP server with a single page for operators or the load balancer."""

from __future__ import annotations

import asyncio
import types
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Self

from aiohttp import web_request
from aiohttp import web_response
from aiohttp import web_server


class PageServer:
    """Serves one path over HTTP while its context is open.

    Args:
        address: Host and port to listen on.
        path: Path of the page; other paths are answered with 404.
        make_page: Returns the response, or an awaitable of it.
    """

    def __init__(
        self,
        address: str,
        path: str,
        make_page: Callable[
            [], web_response.Response | Awaitable[web_response.Response]
        ],
    ) -> None:
        self._path = path
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._make_page = make_page
        self._web: web_server.Server | None = None
        self._listener: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        self._web = web_server.Server(self._handle, access_log=None)
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

    async def _handle(
        self, request: web_request.BaseRequest
    ) -> web_response.StreamResponse:
        if request.path != self._path:
            return web_response.Response(status=404)
        page = self._make_page()
        if isinstance(page, web_response.Response):
            return page
        return await page
