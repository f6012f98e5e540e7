"""Tests of non-idempotent calls, through the caller API."""

import asyncio
import gzip
import json

import entry_fakes
import pytest
from aiohttp import web

from poplarwick_entry import services

STORE_WATCH_PATH = "/v1/kv-watch"
"""Call that instances of other tests and plays repeat until they end."""


class Shop:
    """A plain service that records its calls.

    Attributes:
        runs: Method, path and body of each call.
        gate: Calls wait until it is set.
        has_started: Set when the first call is received.
        status: Status of the responses.
        body: Body of the responses.
        drops_connections: Whether connections are aborted before the response.
    """

    def __init__(self):
        self.runs = []
        self.gate = asyncio.Event()
        self.gate.set()
        self.has_started = asyncio.Event()
        self.status = 201
        self.body = b"made"
        self.drops_connections = False

    async def handle(self, request):
        if request.path == STORE_WATCH_PATH:
            # A client of another process, whose store had this port before.
            return web.Response(status=404)
        self.runs.append((request.method, request.path, await request.read()))
        self.has_started.set()
        await self.gate.wait()
        if self.drops_connections:
            request.transport.abort()
        return web.Response(
            status=self.status, body=self.body, headers={"Location": "/o/1"}
        )


def test_call_without_a_key_is_refused_with_the_reason():
    async def main():
        shop = Shop()
        async with entry_fakes.open_entry(shop.handle) as entry:
            status, headers, body = await entry.call(data=b"{}")
        assert status == 400
        assert headers["Poplarwick-Outcome"] == "not-run"
        error = json.loads(body)["error"]
        assert error["code"] == "idempotency_key_required"
        assert "version 7" in error["message"]
        assert shop.runs == []

    entry_fakes.run(main)


def test_retry_gets_the_same_answer_without_a_second_run():
    async def main():
        shop = Shop()
        key = entry_fakes.make_key()
        async with entry_fakes.open_entry(shop.handle) as entry:
            first = await entry.call(key=key, data=b"one")
            retry = await entry.call(key=key, data=b"one")
        assert len(shop.runs) == 1
        for status, headers, body in (first, retry):
            assert (status, body) == (201, b"made")
            assert headers["Poplarwick-Outcome"] == "complete"
            assert headers["Location"] == "/o/1"
        assert retry[1]["Poplarwick-Replayed"] == "true"

    entry_fakes.run(main)


def test_same_key_with_different_content_is_refused():
    async def main():
        shop = Shop()
        key = entry_fakes.make_key()
        async with entry_fakes.open_entry(shop.handle) as entry:
            await entry.call(key=key, data=b"one")
            for other in (
                entry.call(key=key, data=b"two"),
                entry.call(f"{entry_fakes.ORDERS}/2", key=key, data=b"one"),
                entry.call(method="PUT", key=key, data=b"one"),
            ):
                status, _, body = await other
                assert status == 422
                code = json.loads(body)["error"]["code"]
                assert code == "idempotency_key_conflict"
        assert len(shop.runs) == 1

    entry_fakes.run(main)


def test_organisations_have_separate_keys():
    async def main():
        shop = Shop()
        key = entry_fakes.make_key()
        other = {"Authorization": "Bearer secret-roads"}
        async with entry_fakes.open_entry(shop.handle) as entry:
            await entry.call(key=key, data=b"one")
            status, _, _ = await entry.call(key=key, data=b"1", headers=other)
        assert status == 201
        assert len(shop.runs) == 2

    entry_fakes.run(main)


def test_call_continues_after_its_caller_disconnects_and_answers_the_retry():
    async def main():
        shop = Shop()
        shop.gate.clear()
        key = entry_fakes.make_key()
        async with entry_fakes.open_entry(shop.handle) as entry:
            first = asyncio.create_task(entry.call(key=key, data=b"one"))
            await shop.has_started.wait()
            first.cancel()
            await asyncio.wait((first,))
            retry = asyncio.create_task(entry.call(key=key, data=b"one"))
            shop.gate.set()
            status, _, body = await retry
        assert (status, body) == (201, b"made")
        assert len(shop.runs) == 1

    entry_fakes.run(main)


@pytest.mark.parametrize("method", ["POST", "PUT"])
def test_lost_answer_has_outcome_unknown_and_is_never_run_again(method):
    async def main():
        shop = Shop()
        shop.drops_connections = True
        key = entry_fakes.make_key()
        async with entry_fakes.open_entry(shop.handle) as entry:
            for code in ("endpoint_lost", "outcome_unknown"):
                status, headers, body = await entry.call(
                    method=method, key=key, data=b"one"
                )
                assert status == 502
                assert headers["Poplarwick-Outcome"] == "unknown"
                assert headers["x-should-retry"] == "false"
                assert json.loads(body)["error"]["code"] == code
        assert len(shop.runs) == 1

    entry_fakes.run(main)


def test_call_refused_for_capacity_is_not_run_and_can_be_retried():
    async def main():
        shop = Shop()
        key = entry_fakes.make_key()
        async with entry_fakes.open_entry(shop.handle) as entry:
            entry.grant_client.has_capacity = False
            status, headers, _ = await entry.call(key=key, data=b"one")
            assert status == 503
            assert headers["Poplarwick-Outcome"] == "not-run"
            entry.grant_client.has_capacity = True
            status, _, _ = await entry.call(key=key, data=b"one")
            assert status == 201
        assert len(shop.runs) == 1

    entry_fakes.run(main)


def test_call_refused_by_its_endpoint_is_not_run():
    async def main():
        shop = Shop()
        shop.status = 409
        shop.body = b'{"error": {"type": "stale_epoch", "epoch": 9}}'
        key = entry_fakes.make_key()
        async with entry_fakes.open_entry(shop.handle) as entry:
            status, headers, _ = await entry.call(key=key, data=b"one")
            assert status == 503
            assert headers["Poplarwick-Outcome"] == "not-run"
            shop.status, shop.body = 201, b"made"
            status, _, _ = await entry.call(key=key, data=b"one")
            assert status == 201

    entry_fakes.run(main)


def test_server_error_has_outcome_failed_and_is_replayed():
    async def main():
        shop = Shop()
        shop.status = 500
        key = entry_fakes.make_key()
        async with entry_fakes.open_entry(shop.handle) as entry:
            for _ in range(2):
                status, headers, _ = await entry.call(key=key, data=b"one")
                assert status == 500
                assert headers["Poplarwick-Outcome"] == "failed"
                assert headers["x-should-retry"] == "false"
        assert len(shop.runs) == 1

    entry_fakes.run(main)


def test_store_outage_refuses_only_non_idempotent_calls():
    async def main():
        shop = Shop()
        key = entry_fakes.make_key()
        async with entry_fakes.open_entry(shop.handle) as entry:
            await entry.call(key=entry_fakes.make_key(), data=b"zero")
            entry.service.is_down = True
            status, headers, _ = await entry.call(key=key, data=b"one")
            assert status == 503
            assert headers["Poplarwick-Outcome"] == "not-run"
            assert "Retry-After" in headers
            path = "/services/shop/stock"
            status, headers, _ = await entry.call(path, "GET")
            assert headers["Poplarwick-Outcome"] == "complete"
            entry.service.is_down = False
        assert [run[0] for run in shop.runs] == ["POST", "GET"]

    entry_fakes.run(main)


def test_compressed_answer_is_replayed_with_its_encoding():
    async def main():
        compressed = gzip.compress(b"made")

        async def endpoint(request):
            return web.Response(
                body=compressed, headers={"Content-Encoding": "gzip"}
            )

        key = entry_fakes.make_key()
        async with entry_fakes.open_entry(endpoint) as entry:
            for _ in range(2):
                _, headers, body = await entry.call(key=key, data=b"one")
                assert headers["Content-Encoding"] == "gzip"
                assert body == compressed

    entry_fakes.run(main)


def test_oversized_answer_has_outcome_failed_and_is_not_run_again(monkeypatch):
    async def main():
        shop = Shop()
        shop.body = b"x" * 2_000
        key = entry_fakes.make_key()
        async with entry_fakes.open_entry(shop.handle) as entry:
            status, headers, _ = await entry.call(key=key, data=b"one")
            assert status == 502
            assert headers["Poplarwick-Outcome"] == "failed"
            assert headers["x-should-retry"] == "false"
            _, headers, _ = await entry.call(key=key, data=b"one")
            assert headers["Poplarwick-Outcome"] == "unknown"
        assert len(shop.runs) == 1

    monkeypatch.setattr(services, "MAX_RESPONSE_BYTES", 1_000)
    entry_fakes.run(main)
