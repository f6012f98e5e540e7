"""Memory of a real instance whose callers do not read."""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import time

import aiohttp
import platform_cluster
import slow_callers

from poplarwick_bench import process
from poplarwick_bench.soak import fleet
from poplarwick_standins import platform_replica
from poplarwick_standins import platform_store

MEMORY_MB = 152
STREAMS = 150
PLAIN = 50
EVENTS = 100
EVENT_BYTES = 20_000
PLAIN_BYTES = 200_000
UNREAD_S = 6.0
PROBES = 40
MIN_SOCKET_BYTES = 10_000
SLOTS = 20
"""Streams that each of two engines runs at once; the others wait for them."""


def measure_socket_bytes(ip):
    """Returns the bytes in the kernel's queues of an address's connections."""
    raw = "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))
    total_bytes = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1].startswith(raw) and fields[3] != "0A":
            sent, _, received = fields[4].partition(":")
            total_bytes += int(sent, 16) + int(received, 16)
    return total_bytes


@contextlib.asynccontextmanager
async def run_instance(folder):
    """Runs one instance as a process of its own; endpoints in this one."""
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        store = await enter(platform_store.Store())
        session = await enter(aiohttp.ClientSession())
        configuration = platform_cluster.make_configuration()
        for service in configuration["services"]:
            if "engine" in service:
                service["engine"] = {**service["engine"], "slots": SLOTS}
        await store.put("op/config", configuration)
        for number in range(4):
            replica = await enter(
                platform_replica.Replica(
                    f"i-{number}", "pool" if number < 2 else "orders"
                )
            )
            replica.slots = STREAMS + PROBES
            replica.memory_tokens = 10_000_000
            replica.event_count = EVENTS
            replica.event_bytes = EVENT_BYTES
            replica.event_interval_s = 0.0
            body = "x" * PLAIN_BYTES
            replica.make_body = lambda request_id, body=body: (
                body if request_id.startswith("silent") else "short"
            )
            await store.put(f"servers/{replica.name}", replica.make_entry())
        ip = platform_cluster.choose_address()
        settings = platform_cluster.make_settings(
            "front", platform_cluster.PORTS, store.address, ip=ip
        )
        settings["limits"]["memory_mb"] = MEMORY_MB
        path = folder / "front.json"
        path.write_text(json.dumps(settings))
        node = await enter(
            process.Process(
                "front",
                fleet.LAUNCHER,
                [str(path)],
                folder,
                logs_output=True,
            )
        )
        url = f"http://{ip}:{platform_cluster.PORTS[1]}/v1/ready"
        async with asyncio.timeout(platform_cluster.TIMEOUT_S):
            while True:
                with contextlib.suppress(aiohttp.ClientConnectionError):
                    async with session.get(url) as response:
                        if response.status == 200:
                            break
                await asyncio.sleep(0.05)
        yield node, ip, session


async def call(session, ip, number):
    headers = {
        "Host": platform_cluster.HOST,
        "Request-Id": f"probe-{number}",
        "Deadline-Ms": "5000",
        "X-Api-Key": platform_cluster.KEY,
    }
    url = f"http://{ip}:{platform_cluster.PORTS[0]}/order/x"
    async with session.post(url, headers=headers, data=b"ask") as response:
        await response.read()
        return response.status


def test_two_hundred_callers_that_do_not_read_fit_into_small_memory(tmp_path):
    """The smallest instance of the users has 152 MB.

    Without bounds on socket buffers, the same callers took 375 MB.
    """

    async def run():
        async with run_instance(tmp_path) as (node, ip, session):
            callers = []
            for number in range(STREAMS + PLAIN):
                caller = slow_callers.SlowCaller(
                    f"{ip}:{platform_cluster.PORTS[0]}"
                )
                callers.append(caller)
                is_stream = number < STREAMS
                await caller.send(
                    "/label/" if is_stream else "/order/",
                    f"silent-{number}",
                    tokens=1_000 if is_stream else None,
                )
            peak_bytes = socket_bytes = 0
            statuses = []
            ends_at_s = time.monotonic() + UNREAD_S
            while time.monotonic() < ends_at_s:
                statuses.append(await call(session, ip, len(statuses)))
                queued_bytes = measure_socket_bytes(ip)
                socket_bytes = max(socket_bytes, queued_bytes)
                peak_bytes = max(
                    peak_bytes, node.read_memory_bytes() + queued_bytes
                )
                await asyncio.sleep(UNREAD_S / PROBES)
            for caller in callers:
                caller.close()
            return peak_bytes, socket_bytes, statuses

    peak_bytes, socket_bytes, statuses = asyncio.run(run())
    print(f"peak {peak_bytes} bytes, {socket_bytes} of them in sockets")
    # The callers have buffers that the instance fills.
    assert socket_bytes > (STREAMS + PLAIN) * MIN_SOCKET_BYTES
    assert peak_bytes < MEMORY_MB * 1_000_000
    assert set(statuses) == {200}
