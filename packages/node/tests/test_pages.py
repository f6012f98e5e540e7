"""Tests for the servers of the readiness and metrics pages."""

from __future__ import annotations

import asyncio
import socket

import aiohttp
import pytest
from aiohttp import web

from poplarwick_node import metrics_server
from poplarwick_node import page_server


def find_free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


async def read(address, path):
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{address}{path}") as response,
    ):
        return response.status, await response.text()


@pytest.mark.parametrize(("path", "status"), [("/page", 503), ("/other", 404)])
def test_page_server_answers_only_its_path(path, status):
    async def run():
        address = find_free_address()
        async with page_server.PageServer(
            address, "/page", lambda: web.Response(status=503)
        ):
            assert (await read(address, path))[0] == status

    asyncio.run(run())


def test_metrics_server_returns_text():
    async def run():
        address = find_free_address()
        async with metrics_server.serve_metrics(address):
            status, text = await read(address, "/metrics")
            assert status == 200
            assert "# HELP" in text

    asyncio.run(run())


def test_occupied_metrics_address_does_not_prevent_start():
    async def run():
        with socket.socket() as occupied:
            occupied.bind(("127.0.0.1", 0))
            occupied.listen()
            port = occupied.getsockname()[1]
            async with metrics_server.serve_metrics(f"127.0.0.1:{port}"):
                pass

    asyncio.run(run())


def test_exporter_that_cannot_be_loaded_fails_only_the_page(monkeypatch):
    monkeypatch.setattr(metrics_server, "EXPORTER_MODULE", "poplarwick_none")

    async def run():
        address = find_free_address()
        async with metrics_server.serve_metrics(address):
            status, _ = await read(address, "/metrics")
            assert status == 500

    asyncio.run(run())
