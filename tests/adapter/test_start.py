"""An instance that starts loads only what its first placement needs.

A module more at the start is paid for by the callers of a whole fleet that
waits for its instances after a power loss.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys

import aiohttp
import platform_cluster

from poplarwick_standins import platform_replica
from poplarwick_standins import platform_store

LAUNCHER = pathlib.Path(__file__).parents[2] / "deploy" / "launch.py"

LIBRARIES = set(
    "aiohappyeyeballs aiohttp aiosignal attr frozenlist google grpclib h2 hpack"
    " hyperframe idna loguru msgspec multidict propcache typing_extensions"
    " yarl".split()
)
"""Libraries that the first placement needs."""

OWN_PACKAGES = set(
    "adapter catalogue coordination core forwarding node peers placement"
    " platform reach".split()
)

UNUSED_MODULES = {
    "aiohttp.web",
    "aiohttp.web_app",
    "argparse",
    "importlib.metadata",
    "poplarwick_core.cli",
    "poplarwick_core.tls",
    "poplarwick_node.builder",
    "zipfile",
}
"""Modules that take long or much memory, and that a placement does not need."""

MAX_MODULES = 560
"""Modules of a start without those that Python itself loads; 522 when this was
written. Raise it only with a measurement of the start."""

LISTING_LAUNCHER = """
import signal, sys
sys.path.insert(0, sys.argv.pop(1))
before = set(sys.modules)
def list_modules(*_):
    loaded = {
        name
        for name, module in sys.modules.items()
        if getattr(module, "__spec__", None) and module.__spec__.origin
    }
    print(*sorted(loaded - before), "end", file=sys.stderr, flush=True)
signal.signal(signal.SIGUSR1, list_modules)
import launch
sys.exit(launch.main())
"""
"""Runs the launcher; lists the modules that it has loaded on SIGUSR1."""

INSTANCE_IP = platform_cluster.choose_address()


@contextlib.asynccontextmanager
async def run_process(folder):
    """Runs an instance as a process; yields it and its errors' file."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(platform_store.Store())
        await store.put("op/config", platform_cluster.make_configuration())
        replica = await stack.enter_async_context(
            platform_replica.Replica("i-0", "pool", peers={})
        )
        await store.put(f"servers/{replica.name}", replica.make_entry())
        settings = folder / "front-0.json"
        settings.write_text(
            json.dumps(
                platform_cluster.make_settings(
                    "front-0",
                    platform_cluster.PORTS,
                    store.address,
                    ip=INSTANCE_IP,
                )
            )
        )
        errors = folder / "errors"
        with errors.open("wb") as errors_file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                LISTING_LAUNCHER,
                str(LAUNCHER.parent),
                str(settings),
                stdout=asyncio.subprocess.DEVNULL,
                stderr=errors_file,
                env={k: v for k, v in os.environ.items() if k != "PYTHONPATH"},
            )
        try:
            yield process, errors
        finally:
            process.kill()
            await process.wait()


async def wait_for_answer(session, method, url, **options):
    """Sends a request until the instance answers it with status 200."""
    async with asyncio.timeout(platform_cluster.TIMEOUT_S):
        while True:
            with contextlib.suppress(aiohttp.ClientConnectionError):
                async with session.request(method, url, **options) as response:
                    if response.status == 200:
                        return await response.text()
            await asyncio.sleep(0.02)


async def place_request(session):
    await wait_for_answer(
        session,
        "POST",
        f"http://{INSTANCE_IP}:{platform_cluster.PORTS[0]}/label/",
        headers={
            "Host": platform_cluster.HOST,
            "Request-Id": "r1",
            "Deadline-Ms": "5000",
            "X-Api-Key": platform_cluster.KEY,
            "Token-Counts": "5000,170",
            "Model": "m",
        },
    )


async def list_modules(process, errors):
    """Returns the modules that a process has loaded since its launch."""
    process.send_signal(signal.SIGUSR1)
    await platform_cluster.wait_until(
        lambda: errors.read_text().endswith(" end\n")
    )
    return errors.read_text().split()[:-1]


def test_first_placement_loads_only_listed_modules(tmp_path):
    async def run():
        async with (
            run_process(tmp_path) as (process, errors),
            aiohttp.ClientSession() as session,
        ):
            await place_request(session)
            return await list_modules(process, errors)

    names = asyncio.run(run())
    packages = {name.partition(".")[0] for name in names}
    own = {name for name in packages if name.startswith("poplarwick_")}
    others = {
        name
        for name in packages - own - sys.stdlib_module_names
        if not name.startswith("_sysconfigdata")
    } - {"bytecode", "launch"}
    assert {name.removeprefix("poplarwick_") for name in own} <= OWN_PACKAGES
    assert others <= LIBRARIES
    assert not UNUSED_MODULES & set(names)
    assert len(names) <= MAX_MODULES


def test_metrics_asked_for_after_a_start_count_since_the_start(tmp_path):
    async def run():
        async with (
            run_process(tmp_path),
            aiohttp.ClientSession() as session,
        ):
            await place_request(session)
            return await wait_for_answer(
                session, "GET", f"http://{INSTANCE_IP}:9464/metrics"
            )

    text = asyncio.run(run())
    ended = next(
        line
        for line in text.splitlines()
        if line.startswith("poplarwick_requests_ended_total{")
    )
    assert 'outcome="streamed"' in ended
    assert ended.endswith(" 1.0")
    assert "poplarwick_request_seconds_count{" in text
    assert "poplarwick_configuration_version" in text


def test_callers_that_wait_for_a_start_are_served_by_priority(tmp_path):
    # The first request released takes the only slot, whoever sent it.
    tenants = [
        {"name": "urgent", "api_keys": ["u"], "priority": 0},
        {"name": "other", "api_keys": ["o"], "priority": 2},
    ]
    names = ["o1", "o2", "u1", "o3", "u2"]
    # All are on time, so that none goes behind one that came later.
    route = platform_cluster.make_route(
        "stock", "idempotent", "orders", target_latency_ms=5_000
    )

    async def run():
        async with platform_cluster.run_cluster(
            tmp_path, pool=0, orders=1, instances=0
        ) as cluster:
            (replica,) = cluster.replicas
            replica.slots = 1
            replica.response_delay_s = 0.05
            await cluster.store.put(
                f"servers/{replica.name}", replica.make_entry()
            )
            await cluster.store.put(
                "op/config",
                platform_cluster.make_configuration(2, [route], tenants),
            )
            cluster.store.is_down = True
            instance = platform_cluster.Instance(
                "front-0", cluster.store.address, tmp_path
            )
            cluster.instances.append(instance)
            try:
                await platform_cluster.wait_until(
                    lambda: "/v1/kv-range" in cluster.store.calls
                )
                calls = []
                for name in names:
                    calls.append(asyncio.create_task(order(cluster, name)))
                    await asyncio.sleep(0.02)
                cluster.store.is_down = False
                assert await asyncio.gather(*calls) == [200] * len(names)
            finally:
                await instance.kill()
            return [arrival.request_id for arrival in replica.arrivals]

    assert asyncio.run(run()) == ["u1", "u2", "o1", "o2", "o3"]


async def order(cluster, name):
    """Returns the status of a request whose tenant has the name's letter."""
    async with cluster.call(
        "/stock/",
        headers={
            "X-Api-Key": name[0],
            "Request-Id": name,
            "Deadline-Ms": "8000",
        },
    ) as response:
        return response.status
