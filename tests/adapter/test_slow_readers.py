"""Callers that read slowly or not at all, and endpoints that notice it."""

from __future__ import annotations

import asyncio
import contextlib

import platform_cluster
import pytest
import slow_callers

from poplarwick_forwarding import buffer_budget
from poplarwick_forwarding import unread_callers
from poplarwick_placement import messages
from poplarwick_standins import platform_replica

EVENTS = 60
EVENT_BYTES = 20_000
UNREAD_LIMIT_S = 1.5
AMPLE_TIME_MS = 60_000


def run_scenario(tmp_path, scenario, **options):
    async def run():
        async with platform_cluster.run_cluster(tmp_path, **options) as cluster:
            for replica in cluster.replicas:
                replica.event_count = EVENTS
                replica.event_bytes = EVENT_BYTES
                replica.event_interval_s = 0.0
            await scenario(cluster)

    asyncio.run(run())


async def allow_time(cluster):
    """Lets streams last longer than a slow read takes on a busy machine."""
    routes = [
        platform_cluster.make_route(
            "label", "streaming", "pool", timeout_ms=AMPLE_TIME_MS
        )
    ]
    await cluster.store.put(
        "op/config", platform_cluster.make_configuration(2, routes)
    )
    node = cluster.instances[0].node
    await platform_cluster.wait_until(
        lambda: node.catalogue.routing.version == 2
    )


def record_results(node, monkeypatch):
    """Returns a list that receives the results of all attempts."""
    results = []
    record_end = node.placement_client.record_end

    def record(number, result, *details):
        results.append((result, *details))
        record_end(number, result, *details)

    monkeypatch.setattr(node.placement_client, "record_end", record)
    return results


def count_executions(cluster):
    return sum(len(replica.executions) for replica in cluster.replicas)


@pytest.mark.parametrize("resets", [True, False])
def test_endpoint_that_cuts_an_unread_stream_is_not_blamed(
    tmp_path, monkeypatch, resets
):
    """Nothing is sent elsewhere until the caller reads, and then it resumes."""

    async def scenario(cluster):
        node = cluster.instances[0].node
        results = record_results(node, monkeypatch)
        for replica in cluster.replicas:
            replica.unread_limit_s = UNREAD_LIMIT_S
            replica.resets_unread = resets
        with contextlib.closing(
            slow_callers.SlowCaller(cluster.instances[0].caller_address)
        ) as caller:
            await caller.send("/label/", "slow", tokens=5_000)
            await platform_cluster.wait_until(
                lambda: any(r.unread_cuts for r in cluster.replicas)
            )
            if resets:
                # The endpoint is known to be free although the caller waits.
                await platform_cluster.wait_until(lambda: results)
            await asyncio.sleep(0.5)
            assert count_executions(cluster) == 1
            received = await caller.read()
        await platform_cluster.wait_until(lambda: len(results) == 2)
        assert results[0] == (messages.Result.GIVEN_UP, None, None)
        assert results[1][0] is messages.Result.DONE
        assert slow_callers.find_event_ids(received) == list(
            range(1, EVENTS + 1)
        )
        assert received.endswith(b"0\r\n\r\n")
        assert count_executions(cluster) == 2

    run_scenario(tmp_path, scenario)


def test_endpoint_is_not_blamed_for_a_caller_that_reads_nothing(
    tmp_path, monkeypatch
):
    """The deadline passes while the endpoint waits for the caller."""

    async def scenario(cluster):
        node = cluster.instances[0].node
        results = record_results(node, monkeypatch)
        with contextlib.closing(
            slow_callers.SlowCaller(cluster.instances[0].caller_address)
        ) as caller:
            await caller.send(
                "/label/", "silent", tokens=5_000, deadline_ms=1_000
            )
            await platform_cluster.wait_until(lambda: results)
        assert results == [(messages.Result.GIVEN_UP, None, None)]

    run_scenario(tmp_path, scenario)


def test_caller_that_reads_slowly_keeps_its_stream(tmp_path):
    """It is slower than the limit of one that does not read at all."""

    async def scenario(cluster):
        await allow_time(cluster)
        with contextlib.closing(
            slow_callers.SlowCaller(cluster.instances[0].caller_address)
        ) as caller:
            await caller.send(
                "/label/", "slow", tokens=5_000, deadline_ms=AMPLE_TIME_MS
            )
            received = await caller.read(pause_s=0.02)
        assert slow_callers.find_event_ids(received) == list(
            range(1, EVENTS + 1)
        )
        assert count_executions(cluster) == 1

    run_scenario(tmp_path, scenario)


def test_answer_that_is_ready_is_delivered_long_after_the_deadline(tmp_path):
    async def scenario(cluster):
        body = "x" * 300_000
        for replica in cluster.replicas:
            replica.make_body = lambda request_id: body
        with contextlib.closing(
            slow_callers.SlowCaller(cluster.instances[0].caller_address)
        ) as caller:
            await caller.send("/order/", "late", deadline_ms=400)
            await asyncio.sleep(1.5)
            received = await caller.read()
        assert received.endswith(body.encode())

    run_scenario(tmp_path, scenario)


def test_caller_that_does_not_read_loses_only_its_own_answer(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(unread_callers, "UNREAD_LIMIT_S", 1.0)

    async def scenario(cluster):
        address = cluster.instances[0].caller_address
        for replica in cluster.replicas:
            replica.make_body = lambda request_id: "x" * 300_000
        with (
            contextlib.closing(slow_callers.SlowCaller(address)) as silent,
            contextlib.closing(slow_callers.SlowCaller(address)) as slow,
        ):
            await silent.send("/order/", "silent")
            await slow.send("/order/", "slow")
            received = await slow.read(pause_s=0.03, part_bytes=4_096)
            assert received.endswith(b"x" * 300_000)
            node = cluster.instances[0].node
            await platform_cluster.wait_until(
                lambda: not node.frontend.in_progress
            )
            with contextlib.suppress(ConnectionError):
                assert len(await silent.read()) < 300_000
        assert node.buffers.used_bytes == 0

    run_scenario(tmp_path, scenario)


def test_spent_budget_refuses_requests_before_their_bodies(tmp_path):
    async def scenario(cluster):
        budget = cluster.instances[0].node.buffers
        with budget.hold() as held:
            held.add_response(buffer_budget.MAX_GATHERED_BYTES)
            for path in ("/stock/", "/order/"):
                async with cluster.call(path, data=b"body") as response:
                    assert response.status == 503
                    assert "Retry-After" in response.headers
        assert not any(replica.arrivals for replica in cluster.replicas)
        async with cluster.call("/stock/", data=b"body") as response:
            assert response.status == 200
        assert budget.used_bytes == 0

    run_scenario(tmp_path, scenario)


def test_endpoint_that_does_not_read_the_body_holds_up_only_its_request(
    tmp_path,
):
    """A request that may be repeated goes elsewhere; the other fails once."""

    async def scenario(cluster):
        body = b"x" * 90_000
        stuck, *_ = [r for r in cluster.replicas if r.service == "orders"]
        stuck.fault = platform_replica.Fault.BODY_UNREAD
        budget = cluster.instances[0].node.buffers

        async def call(path):
            async with cluster.call(
                path, data=body, headers={"Deadline-Ms": "3000"}
            ) as response:
                return response.status

        repeatable = [call("/stock/") for _ in range(8)]
        once = [call("/order/") for _ in range(8)]
        assert set(await asyncio.gather(*repeatable)) == {200}
        assert set(await asyncio.gather(*once)) <= {200, 502, 504}
        arrivals = [
            arrival.request_id
            for replica in cluster.replicas
            for arrival in replica.arrivals
        ]
        orders = {f"r{number}" for number in range(9, 17)}
        sent_once = [r for r in arrivals if r in orders]
        assert len(sent_once) == len(set(sent_once))
        assert budget.used_bytes == 0

    run_scenario(tmp_path, scenario, orders=2)
