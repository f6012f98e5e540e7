"""Tests of the engine client against a local HTTP server."""

from __future__ import annotations

import asyncio
import contextlib

import pytest
from aiohttp import web

from poplarwick_endpoints import engine
from poplarwick_endpoints import errors
from poplarwick_endpoints import messages
from poplarwick_endpoints import session as sessions


@contextlib.asynccontextmanager
async def _serve(routes):
    app = web.Application()
    app.add_routes(routes)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    async with sessions.make_session() as session:
        yield engine.EngineClient(session, f"{host}:{port}")
    await runner.cleanup()


def test_client_decodes_the_state_and_cancels_with_its_epoch():
    received = {}

    async def state(request):
        return web.json_response(
            {
                "restart_id": "r",
                "epoch": 3,
                "memory_tokens": 100,
                "memory_used_tokens": 10,
                "streams": [
                    {
                        "stream": "s1",
                        "epoch": 3,
                        "state": "running",
                        "next_seq": 4,
                        "memory_tokens": 10,
                    }
                ],
                "handles": [],
                "models": {"m": {}},
                "role": "both",
            }
        )

    async def cancel(request):
        received["epoch"] = request.headers[engine.EPOCH_HEADER]
        received["id"] = request.match_info["id"]
        return web.json_response({"state": "cancelled"})

    async def main():
        routes = [
            web.get("/control/state", state),
            web.post("/control/streams/{id}/cancel", cancel),
        ]
        async with _serve(routes) as client:
            decoded = await client.read_state()
            assert decoded.streams[0].memory_tokens == 10
            assert not decoded.streams[0].is_finished
            answer = await client.cancel("s1", 3)
            assert answer is messages.CancelState.CANCELLED
            assert received == {"epoch": "3", "id": "s1"}

    asyncio.run(main())


def test_protocol_errors_are_mapped_to_exceptions():
    async def refuse(request):
        kind = request.match_info["id"]
        body = {"error": {"type": kind, "epoch": 9}}
        return web.json_response(body, status=409)

    async def main():
        routes = [web.post("/control/streams/{id}/cancel", refuse)]
        async with _serve(routes) as client:
            with pytest.raises(errors.StaleEpochError) as caught:
                await client.cancel("stale_epoch", 1)
            assert caught.value.epoch == 9
            with pytest.raises(errors.StreamExistsError):
                await client.cancel("stream_exists", 1)
            with pytest.raises(errors.OverloadedError):
                await client.cancel("overloaded", 1)
            with pytest.raises(errors.UnexpectedAnswerError):
                await client.cancel("other", 1)

    asyncio.run(main())


def test_unreachable_engine_and_malformed_response_raise_errors():
    async def state(request):
        return web.json_response([1])

    async def main():
        async with _serve([web.get("/control/state", state)]) as client:
            with pytest.raises(errors.UnexpectedAnswerError):
                await client.read_state()
            stopped = client
        async with sessions.make_session() as session:
            client = engine.EngineClient(session, stopped.address)
            with pytest.raises(errors.EndpointUnreachableError):
                await client.read_state()

    asyncio.run(main())
