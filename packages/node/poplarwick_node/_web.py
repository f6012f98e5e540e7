"""HTTP server that can stop listening and finish the open requests."""

from __future__ import annotations

import asyncio
import contextlib
import ssl
from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import web

from poplarwick_peers import transport

SHUTDOWN_TIMEOUT_S = 5.0
KEEPALIVE_TIMEOUT_S = 75.0


class WebServer:
    """Serves one application at one address.

    Args:
        address: Host and port to listen on.
        tls: TLS settings, or None for plain HTTP.
    """

    def __init__(self, address: str, tls: ssl.SSLContext | None) -> None:
        self._host, self._port = transport.split_address(address)
        self._tls = tls
        self._site: web.TCPSite | None = None
        self._in_progress = 0
        self._idle = asyncio.Event()
        self._idle.set()

    async def start(
        self, application: web.Application, stack: contextlib.AsyncExitStack
    ) -> None:
        """Starts to listen; closing `stack` stops the server.

        Raises:
            OSError: The address cannot be listened on.
        """
        application.middlewares.insert(0, self._track_request)
        runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
        )
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        self._site = web.TCPSite(
            runner, self._host, self._port, ssl_context=self._tls
        )
        await self._site.start()

    async def stop_listening(self) -> None:
        """Stops accepting new connections; open connections stay open."""
        if self._site is not None:
            await self._site.stop()
            self._site = None

    async def wait_idle(self) -> None:
        """Waits until no request is in progress."""
        await self._idle.wait()

    @web.middleware
    async def _track_request(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        self._in_progress += 1
        self._idle.clear()
        try:
            return await handler(request)
        finally:
            self._in_progress -= 1
            if not self._in_progress:
                self._idle.set()
