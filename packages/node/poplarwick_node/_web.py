"""HTTP server that stops without losing requests on its open connections."""

from __future__ import annotations

import asyncio
import contextlib
import ssl
from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import web
from aiohttp import web_protocol

from poplarwick_core import ids
from poplarwick_core import waiting_connections
from poplarwick_forwarding import caller_connections
from poplarwick_peers import transport

SHUTDOWN_TIMEOUT_S = 5.0
KEEPALIVE_TIMEOUT_S = 75.0

CUT_TIMEOUT_S = 0.1
"""Time that handlers have to end once their connections are cut."""

_TRACKED_KEY = web.RequestKey("tracked", caller_connections.OpenRequest)


class WebServer:
    """Serves one application at one address.

    Args:
        address: Host and port to listen on.
        tls: TLS settings, or None for plain HTTP.

    Attributes:
        is_leaving: Whether connections are closed after their next response.
        is_closed: Whether the server has stopped listening.
        in_progress: Number of requests in progress.
    """

    def __init__(self, address: str, tls: ssl.SSLContext | None) -> None:
        self.is_leaving = False
        self.is_closed = False
        self.in_progress = 0
        self._host, self._port = transport.split_address(address)
        self._tls = tls
        self._runner: web.AppRunner | None = None
        self._listener: asyncio.Server | None = None
        self._connections = caller_connections.CallerConnections(
            self._list_connections
        )
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
        runner = self._runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
        )
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        assert runner.server is not None
        self._listener = await asyncio.get_running_loop().create_server(
            runner.server, self._host, self._port, ssl=self._tls
        )
        stack.callback(self._listener.close)

    async def stop_listening(self) -> None:
        """Stops accepting new connections; open connections stay open.

        Connections that wait to be accepted are accepted before. aiohttp
        discards what arrives on a connection once it is told to close it, so
        `close_connections` follows when no request is in progress.
        """
        self.is_closed = True
        if self._listener is not None:
            await waiting_connections.accept_all(self._listener)
            self._listener.close()
            self._listener = None

    async def wait_until_idle(self, timeout_s: float) -> bool:
        """Waits until no request is in progress and returns whether none is.

        Args:
            timeout_s: Longest wait; may be infinite.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        return not self.in_progress

    async def close_connections(self, until_s: float) -> None:
        """Closes all connections, and cuts off requests in progress.

        Args:
            until_s: Monotonic time until which callers that wait for no answer
                may close their sides.
        """
        await self._connections.close_idle(until_s)
        self._connections.log_open()
        if self._runner is not None and self._runner.server is not None:
            await self._runner.server.shutdown(CUT_TIMEOUT_S)

    def record_running(
        self, request: web.Request, request_id: ids.RequestId
    ) -> None:
        """Records that a request has been read whole and is run."""
        tracked = request[_TRACKED_KEY]
        tracked.id = request_id
        tracked.stage = caller_connections.Stage.RUNNING

    def _list_connections(self) -> list[web_protocol.RequestHandler]:
        if self._runner is None or self._runner.server is None:
            return []
        return self._runner.server.connections

    @web.middleware
    async def _track_request(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        self.in_progress += 1
        self._idle.clear()
        try:
            with self._connections.track(request, None) as tracked:
                request[_TRACKED_KEY] = tracked
                if self._connections.is_half_closed(request):
                    return caller_connections.drop(request, None)
                response = await handler(request)
                tracked.stage = caller_connections.Stage.ANSWERING
                await caller_connections.complete(
                    request, response, tracked.id, closes=self.is_leaving
                )
        finally:
            self.in_progress -= 1
            if not self.in_progress:
                self._idle.set()
        if not response.keep_alive and self._tls is None:
            # TLS connections cannot be closed on one side.
            await self._connections.finish(request)
        return response
