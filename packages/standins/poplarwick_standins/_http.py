"""HTTP servers of the stand-ins."""

from __future__ import annotations

import asyncio

from aiohttp import web

MAX_BODY_BYTES = 64 * 1024 * 1024
SHUTDOWN_TIMEOUT_S = 0.1


async def serve_application(
    application: web.Application, listen: str, *, prints: bool = True
) -> None:
    """Serves an application until cancelled.

    Args:
        application: Application to serve.
        listen: Host and port; port 0 selects a free port.
        prints: Whether to print `listening HOST:PORT` once the server accepts
            connections.
    """
    runner = await start_application(application, listen)
    try:
        if prints:
            print(f"listening {find_address(runner)}", flush=True)
        await asyncio.Event().wait()
    finally:
        await runner.cleanup()


async def start_application(
    application: web.Application, listen: str
) -> web.AppRunner:
    """Starts serving an application.

    Returns:
        Runner of the application; the caller has to clean it up.
    """
    host, _, port = listen.rpartition(":")
    runner = web.AppRunner(
        application,
        access_log=None,
        # Cancels the handler when the client disconnects, so that an engine
        # stops working on the request.
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    await web.TCPSite(runner, host, int(port)).start()
    return runner


def find_address(runner: web.AppRunner) -> str:
    """Returns the host and port that a started application listens on."""
    host, port = runner.addresses[0][:2]
    return f"{host}:{port}"
