"""Each request has one ending in the log; its explanation names the fault."""

from __future__ import annotations

import asyncio

import platform_cluster
import pytest

from poplarwick_administration import explanation
from poplarwick_core import logs
from poplarwick_standins import platform_replica

Fault = platform_replica.Fault


class LineCollector:
    """Collects log lines instead of writing them."""

    def __init__(self):
        self.collected = []

    def write(self, line):
        """Collects a line."""
        self.collected.append(line)

    def write_through(self):
        """Lines are kept at once anyway."""


@pytest.fixture
def lines():
    collected = LineCollector()
    logs.configure_logs(writer=collected, instance="front-0")
    yield collected
    logs.configure_logs()


async def send(cluster, path, **options):
    name = "the-request"
    headers = {"Request-Id": name, **options.pop("headers", {})}
    try:
        async with cluster.call(path, headers=headers, **options) as response:
            await response.read()
    except (TimeoutError, OSError):
        pass
    return name


def inject_nothing(cluster):
    pass


def inject_lost_response(cluster):
    cluster.replicas[-1].fault = Fault.RESET_WITHOUT_LENGTH


def inject_full_replicas(cluster):
    for replica in cluster.replicas:
        replica.fault = Fault.FULL


def inject_hang(cluster):
    cluster.replicas[-1].fault = Fault.SILENT


def inject_error(cluster):
    cluster.replicas[-1].fault = Fault.ERROR


CASES = [
    ("/order/", inject_nothing, {}, "answered at the first attempt"),
    ("/order/", inject_lost_response, {}, "must not run twice"),
    ("/order/", inject_full_replicas, {}, "too many endpoints refused it"),
    ("/order/", inject_hang, {"Deadline-Ms": "500"}, "its deadline passed"),
    ("/order/", inject_error, {}, "answered at the first attempt"),
    (
        "/order/",
        inject_nothing,
        {"X-Api-Key": "revoked"},
        "rejects it with status 401",
    ),
    ("/none/", inject_nothing, {}, "rejects it with status 404"),
    ("/order/", inject_nothing, {"Deadline-Ms": "x"}, "cannot be read"),
]


@pytest.mark.parametrize(("path", "inject", "headers", "cause"), CASES)
def test_explanation_names_cause(tmp_path, lines, path, inject, headers, cause):
    async def scenario():
        async with platform_cluster.run_cluster(tmp_path) as cluster:
            inject(cluster)
            return await send(cluster, path, headers=headers)

    name = asyncio.run(scenario())
    timeline = explanation.explain(name, [lambda: lines.collected])
    assert timeline.endings == 1
    assert cause in timeline.cause


def test_request_ended_event_has_longest_pause(tmp_path, lines):
    pause_s = 0.2

    async def scenario():
        async with platform_cluster.run_cluster(tmp_path) as cluster:
            for replica in cluster.replicas:
                replica.event_interval_s = pause_s
            return await send(cluster, "/label/", tokens=5_000)

    name = asyncio.run(scenario())
    (ending,) = [
        line
        for line in lines.collected
        if f"request={name} " in line and "event=request_ended" in line
    ]
    logged_pause_s = float(ending.split("pause_s=")[1].split()[0])
    assert logged_pause_s >= pause_s / 2


def test_killed_instance_logs_no_ending(tmp_path, lines):
    async def scenario():
        async with platform_cluster.run_cluster(tmp_path) as cluster:
            inject_hang(cluster)
            sending = asyncio.create_task(send(cluster, "/order/"))
            await platform_cluster.wait_until(
                lambda: cluster.replicas[-1].executions
            )
            collected = list(lines.collected)
            sending.cancel()
            return collected

    collected = asyncio.run(scenario())
    timeline = explanation.explain("the-request", [lambda: collected])
    assert timeline.endings == 0
    assert "instance was killed or still processes it" in timeline.cause


def test_explanation_names_start_during_store_outage(tmp_path, lines):
    async def scenario():
        async with platform_cluster.run_cluster(tmp_path) as cluster:
            fresh = platform_cluster.Instance(
                "front-9", "127.0.0.1:1", tmp_path
            )
            cluster.instances.append(fresh)
            await asyncio.sleep(0.3)
            headers = {"Deadline-Ms": "800"}
            name = await send(cluster, "/order/", headers=headers, instance=1)
            await fresh.kill()
            return name

    name = asyncio.run(scenario())
    timeline = explanation.explain(name, [lambda: lines.collected])
    assert timeline.endings == 1
    assert "had not loaded a configuration" in timeline.cause


def test_cost_is_learned_from_complete_streams(tmp_path, lines):
    # Answers have five events of 34 tokens, a quarter of the hint.
    headers = {"Token-Counts": "5000,680", "Model": "m"}

    async def scenario():
        async with platform_cluster.run_cluster(
            tmp_path, contracts=["pressure"]
        ) as cluster:
            # The placer learns only from what it has placed.
            async with asyncio.timeout(platform_cluster.TIMEOUT_S):
                while not any("placer_followed" in x for x in lines.collected):
                    await asyncio.sleep(0.02)
            for number in range(10):
                options = {"data": b"%d" % number, "headers": headers}
                async with cluster.call("/label/", **options) as response:
                    await response.read()
            return await send(cluster, "/label/", headers=headers)

    name = asyncio.run(scenario())
    timeline = explanation.explain(name, [lambda: lines.collected])
    assert "10 earlier requests: 175 output tokens" in timeline.cost
    assert timeline.cost.endswith("it had 170")
