"""Tests of calls that may not be repeated, through the caller API."""

import asyncio
import gzip
import json

import entry_fakes
import pytest
from aiohttp import web

from poplarwick_entry import services


class Shop:
    """A plain service that counts what it runs."""

    def __init__(self):
        self.runs = []
        self.gate = asyncio.Event()
        self.gate.set()
        self.has_begun = asyncio.Event()
        self.status = 201
        self.body = b"made"
        self.drops = False

    async def handle(self, request):
        self.runs.append((request.method, request.path, await request.read()))
        self.has_begun.set()
        await self.gate.wait()
        if self.drops:
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


def test_repeat_gets_the_same_answer_without_a_second_run():
    async def main():
        shop = Shop()
        key = entry_fakes.make_key()
        async with entry_fakes.open_entry(shop.handle) as entry:
            first = await entry.call(key=key, data=b"one")
            again = await entry.call(key=key, data=b"one")
        assert len(shop.runs) == 1
        for status, headers, body in (first, again):
            assert (status, body) == (201, b"made")
            assert headers["Poplarwick-Outcome"] == "complete"
            assert headers["Location"] == "/o/1"
        assert again[1]["Poplarwick-Replayed"] == "true"

    entry_fakes.run(main)


def test_same_key_with_other_content_is_refused():
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


def test_same_key_of_another_organisation_is_another_key():
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


def test_run_outlives_its_caller_and_answers_the_repeat():
    async def main():
        shop = Shop()
        shop.gate.clear()
        key = entry_fakes.make_key()
        async with entry_fakes.open_entry(shop.handle) as entry:
            first = asyncio.create_task(entry.call(key=key, data=b"one"))
            await shop.has_begun.wait()
            first.cancel()
            await asyncio.wait((first,))
            again = asyncio.create_task(entry.call(key=key, data=b"one"))
            shop.gate.set()
            status, _, body = await again
        assert (status, body) == (201, b"made")
        assert len(shop.runs) == 1

    entry_fakes.run(main)


@pytest.mark.parametrize("method", ["POST", "PUT"])
def test_lost_answer_is_unknown_and_never_run_again(method):
    async def main():
        shop = Shop()
        shop.drops = True
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


def test_no_room_is_not_run_and_can_be_repeated():
    async def main():
        shop = Shop()
        key = entry_fakes.make_key()
        async with entry_fakes.open_entry(shop.handle) as entry:
            entry.grant_client.has_room = False
            status, headers, _ = await entry.call(key=key, data=b"one")
            assert status == 503
            assert headers["Poplarwick-Outcome"] == "not-run"
            entry.grant_client.has_room = True
            status, _, _ = await entry.call(key=key, data=b"one")
            assert status == 201
        assert len(shop.runs) == 1

    entry_fakes.run(main)


def test_endpoint_that_refuses_has_not_run_the_call():
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


def test_answer_that_tells_of_a_failure_is_failed_and_replayed():
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


def test_outage_refuses_only_calls_that_may_not_be_repeated():
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
        packed = gzip.compress(b"made")

        async def endpoint(request):
            return web.Response(
                body=packed, headers={"Content-Encoding": "gzip"}
            )

        key = entry_fakes.make_key()
        async with entry_fakes.open_entry(endpoint) as entry:
            for _ in range(2):
                _, headers, body = await entry.call(key=key, data=b"one")
                assert headers["Content-Encoding"] == "gzip"
                assert body == packed

    entry_fakes.run(main)


def test_answer_beyond_the_limit_is_failed_and_not_run_again(monkeypatch):
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

    monkeypatch.setattr(services, "MAX_ANSWER_BYTES", 1_000)
    entry_fakes.run(main)
