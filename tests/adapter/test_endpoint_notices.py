"""Replicas that say that they leave or that they want a pause."""

from __future__ import annotations

import asyncio
import time
import types

import aiohttp
import platform_cluster
import pytest

from poplarwick_adapter import dialect
from poplarwick_adapter import engine_client
from poplarwick_coordination import endpoint_notices
from poplarwick_forwarding import dialect as forwarding_dialect
from poplarwick_standins import platform_replica

Fault = platform_replica.Fault
Notice = endpoint_notices.Notice
LEAVING = {"Server-Leaving": "1"}


def run_scenario(tmp_path, scenario, **options):
    async def run():
        async with platform_cluster.run_cluster(tmp_path, **options) as cluster:
            await scenario(cluster)

    asyncio.run(run())


async def call(cluster, path, instance=0, **options):
    async with cluster.call(path, instance, **options) as response:
        await response.read()
        return response


@pytest.mark.parametrize(
    ("status", "headers", "notice"),
    [
        (200, {}, Notice()),
        (200, LEAVING, Notice(is_leaving=True)),
        (404, LEAVING, Notice(is_leaving=True)),
        (200, {"Server-Leaving": "0"}, Notice()),
        (503, {"Retry-After": "1.5"}, Notice(pause_s=1.5)),
        (503, {"Retry-After": "-3"}, Notice(pause_s=0.0)),
        (503, {"Retry-After": "9" * 18}, Notice(False, 1e18)),
        (200, {"Retry-After": "2"}, Notice()),
        (200, {"Server-Limit": "1.3"}, Notice(limit_per_s=1.3)),
        (503, {"Server-Limit": " 7 "}, Notice(limit_per_s=7.0)),
        (200, {"Server-Limit": "0"}, Notice(limit_per_s=0.0)),
        (200, {"Server-Limit": "-2"}, Notice(limit_per_s=0.0)),
        (200, {"Server-Limit": "9" * 18}, Notice(limit_per_s=1e18)),
        (200, {"Server-Limit": "some"}, Notice(is_limit_unreadable=True)),
        (200, {"Server-Limit": ""}, Notice(is_limit_unreadable=True)),
        (503, {"Retry-After": "nan"}, Notice()),
        (503, {"Retry-After": "\u0663"}, Notice()),
        (
            503,
            {"Retry-After": "Fri, 04 Dec 2026 10:00:00 GMT"},
            Notice(),
        ),
    ],
)
def test_notice_is_parsed_from_any_answer(status, headers, notice):
    assert dialect.parse_notice(status, headers) == notice


def test_orders_and_reports_carry_notices_too():
    async def run():
        received = []
        direct = types.SimpleNamespace(make_connector=aiohttp.TCPConnector)

        def record(address, notice):
            received.append((address, notice))

        async with (
            platform_replica.Replica("i-0", "pool") as replica,
            engine_client.PlatformEngineClient(direct, record) as client,
            engine_client.ReportReader(direct, record) as reader,
        ):
            replica.notice_headers = LEAVING
            await reader.read_report(replica.address)
            with pytest.raises(forwarding_dialect.ReservationError):
                await client.reserve(replica.address, "r", 10**9, 1.0)
            await client.release(replica.address, "r")
        expected = Notice(is_leaving=True)
        assert received == [(replica.address, expected)] * 3

    asyncio.run(run())


def test_leaving_replica_gets_no_new_request_from_any_instance(tmp_path):
    async def scenario(cluster):
        await platform_cluster.wait_until(
            lambda: all(
                i.node.placement_client.connection for i in cluster.instances
            )
        )
        leaving, other = cluster.replicas[:2]
        other.fault = Fault.FULL
        leaving.notice_headers = LEAVING
        await call(cluster, "/label/", tokens=5_000)
        other.fault = Fault.NONE
        await platform_cluster.wait_until(
            lambda: all(
                leaving.name in i.node.catalogue.leaving
                for i in cluster.instances
            )
        )
        arrivals = len(leaving.arrivals)
        # Heartbeats that change the entry do not end the notice.
        await cluster.store.put(
            f"servers/{leaving.name}", leaving.make_entry(sequence=9)
        )
        for number in range(12):
            response = await call(cluster, "/label/", number % 2, tokens=5_000)
            assert response.status == 200
        assert len(leaving.arrivals) == arrivals
        await cluster.store.put(
            f"servers/{leaving.name}", leaving.make_entry(born=2)
        )
        await platform_cluster.wait_until(
            lambda: not any(i.node.catalogue.leaving for i in cluster.instances)
        )

    run_scenario(tmp_path, scenario, instances=2)


def test_replica_that_asks_for_a_pause_gets_one_from_this_instance(tmp_path):
    async def scenario(cluster):
        await platform_cluster.wait_until(
            lambda: all(
                i.node.placement_client.connection for i in cluster.instances
            )
        )
        (replica,) = cluster.replicas[2:]
        replica.fault = Fault.FULL
        replica.notice_headers = {"Retry-After": "0.9"}
        began_s = time.monotonic()
        response = await call(cluster, "/stock/")
        assert response.status == 503
        assert 0 < float(response.headers["Retry-After"]) <= 0.9
        replica.fault = Fault.NONE
        replica.notice_headers = {}
        assert len(replica.arrivals) == 1
        assert (await call(cluster, "/stock/")).status == 503
        assert len(replica.arrivals) == 1
        response = await call(cluster, "/stock/", instance=1)
        assert response.status == 200
        await asyncio.sleep(max(began_s + 1.0 - time.monotonic(), 0))
        assert (await call(cluster, "/stock/")).status == 200

    run_scenario(tmp_path, scenario, instances=2)


def test_request_that_waits_for_a_placement_does_not_reach_a_paused_replica(
    tmp_path,
):
    async def scenario(cluster):
        client = cluster.instances[0].node.placement_client
        await platform_cluster.wait_until(lambda: client.connection)
        original = client.place
        notices = cluster.instances[0].node.notices

        async def place_before_notice(request):
            outcome = await original(request)
            if not request.avoided:
                notices.record(
                    outcome.decision.endpoint,
                    Notice(pause_s=30.0),
                )
            return outcome

        client.place = place_before_notice
        response = await call(cluster, "/label/", tokens=5_000)
        assert response.status == 200
        (used,) = [r for r in cluster.replicas if r.arrivals]
        assert used.name not in notices.find_blocked()
        assert len(notices.find_blocked()) == 1

    run_scenario(tmp_path, scenario)
