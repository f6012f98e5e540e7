"""Tests of the stand-in engine."""

import asyncio
import contextlib
import json

import aiohttp
import pytest
from aiohttp import test_utils

from poplarwick_standins import _batch
from poplarwick_standins import _engine_http
from poplarwick_standins import _prefix_cache
from poplarwick_standins import completions
from poplarwick_standins import engine_settings

PROMPT = "word " * 800


@contextlib.asynccontextmanager
async def open_engine(**settings):
    defaults = {
        "time_scale": 50.0,
        "starts_cold": False,
        "max_event_tokens": 1,
    }
    settings = defaults | settings
    batch = _batch.Batch(engine_settings.EngineSettings(**settings))
    tasks = [
        asyncio.create_task(batch.run()),
        asyncio.create_task(batch.run_reports()),
    ]
    app = _engine_http.make_application(batch)
    server = test_utils.TestServer(app)
    async with test_utils.TestClient(server) as client:
        yield client
    for task in tasks:
        task.cancel()


def make_body(**fields):
    return {"model": "m", "prompt": PROMPT, "max_tokens": 12} | fields


async def read_events(response):
    text = await response.text()
    return [
        json.loads(part.removeprefix("data: "))
        for part in text.split("\n\n")
        if part and part != "data: [DONE]"
    ]


def join_text(events):
    return "".join(event["choices"][0]["text"] for event in events)


def test_streamed_completion_is_complete_and_deterministic():
    async def run():
        async with open_engine() as engine:
            body = make_body(stream=True)
            response = await engine.post("/v1/completions", json=body)
            events = await read_events(response)
            assert [e["seq"] for e in events] == list(range(len(events)))
            assert sum(e["tokens"] for e in events) == 12
            assert join_text(events) == completions.make_completion(body, 12)
            assert events[-1]["choices"][0]["finish_reason"] == "length"

    asyncio.run(run())


def test_completion_without_streaming_has_same_text():
    async def run():
        async with open_engine() as engine:
            body = make_body()
            response = await engine.post("/v1/completions", json=body)
            text = (await response.json())["choices"][0]["text"]
            assert text == completions.make_completion(body, 12)

    asyncio.run(run())


def test_cut_stream_resumes_after_sequence_number():
    async def run():
        async with open_engine() as engine:
            faults = {"cut_after_events": 2, "cuts": 1}
            await engine.post("/control/faults", json=faults)
            response = await engine.post(
                "/v1/completions",
                json=make_body(stream=True),
                headers={"Endpoint-Stream": "s1"},
            )
            received = b""
            with pytest.raises(aiohttp.ClientPayloadError):
                async for part in response.content.iter_any():
                    received += part
            assert received.count(b"data: ") == 2
            rest = await engine.get("/control/streams/s1?after=1")
            events = await read_events(rest)
            assert events[0]["seq"] == 2
            first = [json.loads(p[6:]) for p in received.split(b"\n\n") if p]
            text = join_text(first) + join_text(events)
            assert text == completions.make_completion(make_body(), 12)

    asyncio.run(run())


def test_refuses_request_that_exceeds_memory():
    async def run():
        async with open_engine(memory_tokens=500) as engine:
            response = await engine.post("/v1/completions", json=make_body())
            assert response.status == 429
            assert (await response.json())["error"]["type"] == "overloaded"

    asyncio.run(run())


def test_cancel_releases_memory_and_is_idempotent():
    async def run():
        async with open_engine(decode_tokens_per_s=0.01) as engine:
            headers = {"Endpoint-Stream": "s1"}
            body = make_body(stream=True)
            request = engine.post("/v1/completions", json=body, headers=headers)
            response = await request
            for _ in range(2):
                cancel = await engine.post("/control/streams/s1/cancel")
                assert (await cancel.json())["state"] == "cancelled"
            state = await (await engine.get("/control/state")).json()
            assert state["memory_used_tokens"] == 0
            response.close()

    asyncio.run(run())


def test_cold_engine_restarts_when_overloaded():
    async def run():
        slow = {"prefill_tokens_per_s": 1.0, "time_scale": 1.0}
        cold = {"starts_cold": True, "cold_concurrent": 2}
        async with open_engine(**slow, **cold) as engine:
            before = await (await engine.get("/control/state")).json()
            headers = [{"Endpoint-Stream": f"s{i}"} for i in range(3)]
            body = make_body(stream=True)
            running = [
                await engine.post("/v1/completions", json=body, headers=h)
                for h in headers[:2]
            ]
            third = await engine.post(
                "/v1/completions", json=body, headers=headers[2]
            )
            assert third.status == 503
            assert (await third.json())["error"]["type"] == "cold_overload"
            after = await (await engine.get("/control/state")).json()
            assert after["restart_id"] != before["restart_id"]
            assert after["streams"] == []
            for response in running:
                with pytest.raises(aiohttp.ClientPayloadError):
                    await response.read()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("checks_epochs", "status"), [(True, 409), (False, 200)]
)
def test_outdated_epoch_is_refused_only_if_epochs_are_checked(
    checks_epochs, status
):
    async def run():
        async with open_engine(checks_epochs=checks_epochs) as engine:
            statuses = []
            for epoch in ("5", "4"):
                response = await engine.post(
                    "/v1/completions",
                    json=make_body(),
                    headers={"Endpoint-Epoch": epoch},
                )
                statuses.append(response.status)
            assert statuses == [200, status]

    asyncio.run(run())


def test_higher_priority_is_prefilled_first():
    async def run():
        async with open_engine(
            time_scale=1.0, prefill_tokens_per_s=2_000.0
        ) as engine:
            finished = []

            async def post(name, priority):
                headers = {
                    "Endpoint-Stream": name,
                    "Endpoint-Priority": str(priority),
                }
                body = make_body(max_tokens=1)
                response = await engine.post(
                    "/v1/completions", json=body, headers=headers
                )
                assert response.status == 200
                finished.append(name)

            async with asyncio.TaskGroup() as group:
                group.create_task(post("low", 0))
                group.create_task(post("high", 5))
            log = await (await engine.get("/control/log")).text()
            entries = [json.loads(line) for line in log.splitlines()]
            ended = [e["stream"] for e in entries if e["event"] == "finished"]
            assert ended == ["high", "low"]

    asyncio.run(run())


def test_injects_duplicate_foreign_and_missing_events():
    async def run():
        async with open_engine() as engine:
            other = make_body(prompt="other", stream=True)
            headers = {"Endpoint-Stream": "other"}
            response = await engine.post(
                "/v1/completions", json=other, headers=headers
            )
            await response.read()
            faults = {
                "duplicate_every": 3,
                "missing_every": 4,
                "crossed_every": 5,
            }
            await engine.post("/control/faults", json=faults)
            response = await engine.post(
                "/v1/completions",
                json=make_body(stream=True),
                headers={"Endpoint-Stream": "s1"},
            )
            events = await read_events(response)
            sequence_numbers = [e["seq"] for e in events if e["stream"] == "s1"]
            assert sequence_numbers.count(2) == 2
            assert 3 not in sequence_numbers
            assert "other" in [e["stream"] for e in events]

    asyncio.run(run())


def test_cached_prefix_is_not_prefilled_again_and_is_announced():
    async def run():
        async with open_engine(cache_event_lag_s=0.0) as engine:
            prompt = "shared " * 3_000
            for suffix in ("one", "two"):
                await engine.post(
                    "/v1/completions",
                    json=make_body(prompt=prompt + suffix, max_tokens=1),
                )
            events = await (
                await engine.get("/control/cache-events?after=0&wait_s=5")
            ).json()
            # The prompts have the same prefixes of 4 KiB and 16 KiB.
            assert [e["op"] for e in events["events"]] == ["stored"] * 2
            await engine.post("/control/restart")
            later = await (
                await engine.get("/control/cache-events?after=2&wait_s=5")
            ).json()
            assert [e["op"] for e in later["events"]] == ["cleared"]
            assert later["restart_id"] != events["restart_id"]

    asyncio.run(run())


def test_lost_cache_events_leave_gap_in_sequence_numbers():
    async def run():
        async with open_engine(
            cache_event_lag_s=0.0, cache_event_gap=2
        ) as engine:
            await engine.post(
                "/v1/completions",
                json=make_body(prompt="shared " * 12_000, max_tokens=1),
            )
            response = await engine.get(
                "/control/cache-events?after=0&wait_s=5"
            )
            events = (await response.json())["events"]
            assert [e["seq"] for e in events] == [1, 3]

    asyncio.run(run())


def test_eviction_limits_cache_size():
    settings = engine_settings.EngineSettings(
        cache_tokens=5_000, cache_event_lag_s=0.0
    )
    cache = _prefix_cache.PrefixCache(settings)
    first = _prefix_cache.make_prefixes("m", b"a" * 16_384)
    second = _prefix_cache.make_prefixes("m", b"b" * 16_384)
    cache.store(first)
    assert cache.find_cached_tokens(first) == 4_096
    cache.store(second)
    assert cache.find_cached_tokens(second) == 4_096
    assert cache.find_cached_tokens(first) == 0
