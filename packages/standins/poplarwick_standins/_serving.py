"""Runs a stand-in's HTTP application until it is cancelled."""

from __future__ import annotations

import asyncio

from aiohttp import web

MAX_BODY_BYTES = 64 * 1024 * 1024
SHUTDOWN_TIMEOUT_S = 0.1


async def serve_application(app: web.Application, listen: str) -> None:
    """Listens, prints `listening HOST:PORT` and waits to be cancelled.

    Args:
        app: Application to serve.
        listen: Host and port; port 0 takes a free one.
    """
    host, _, port = listen.rpartition(":")
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    try:
        site = web.TCPSite(runner, host, int(port))
        await site.start()
        bound_host, bound_port = runner.addresses[0][:2]
        print(f"listening {bound_host}:{bound_port}", flush=True)
        await asyncio.Event().wait()
    finally:
        await runner.cleanup()
