"""Tests of the stand-in for a plain service."""

import asyncio
import json

import aiohttp
import pytest
from aiohttp import test_utils

from poplarwick_standins import service


def open_service(**settings):
    app = service.make_application(service.ServiceSettings(**settings))
    return test_utils.TestClient(test_utils.TestServer(app))


def test_counts_executions_per_idempotency_key():
    async def run():
        async with open_service() as client:
            for expected in (1, 2):
                response = await client.post(
                    "/orders", data="3 t", headers={"Idempotency-Key": "k"}
                )
                echo = await response.json()
                assert echo["execution"] == expected
                assert echo["body"] == "3 t"
            log = (await (await client.get("/control/log")).text()).split("\n")
            assert json.loads(log[1])["execution"] == 2

    asyncio.run(run())


def test_executes_request_whose_response_is_dropped():
    async def run():
        async with open_service() as client:
            await client.post("/control/faults", json={"drop_answers": 1})
            with pytest.raises(aiohttp.ClientError):
                await client.post("/orders", headers={"Idempotency-Key": "k"})
            log = await (await client.get("/control/log")).text()
            assert json.loads(log)["idempotency_key"] == "k"

    asyncio.run(run())
