"""Measures the cost of membership and ownership per instance.

Runs the membership and ownership of N instances in this process against a
key-value stand-in in a separate process. Prints one JSON object: CPU time,
bytes sent and memory per instance, calls to the key-value service, and the
time until all other instances have detected the failure of one.
"""

from __future__ import annotations

import argparse
import asyncio
import asyncio.selector_events
import contextlib
import json
import socket
import sys
import time
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import psutil
from loguru import logger

from poplarwick_core import ids
from poplarwick_ownership import confirmations
from poplarwick_ownership import leases
from poplarwick_ownership import tenure
from poplarwick_peers import heartbeats
from poplarwick_peers import transport
from poplarwick_platform import gateway
from poplarwick_platform import instances

REGION = ids.RegionId("r-1")
RESOURCES_PER_INSTANCE = 4
SETTLE_S = 20.0
DETECTION_LIMIT_S = 30.0


class SentBytes:
    """Counter of the bytes that this process writes to sockets."""

    def __init__(self) -> None:
        self.count = 0
        transport_type: Any = asyncio.selector_events._SelectorSocketTransport
        write = transport_type.write

        def count(transport: Any, data: bytes) -> None:
            self.count += len(data)
            write(transport, data)

        transport_type.write = count


class Listener:
    """A tenure listener that ignores all events."""

    async def begin_tenure(self, tenure: tenure.Tenure) -> None:
        """Does nothing."""

    async def end_tenure(
        self, tenure: tenure.Tenure, *, is_planned: bool
    ) -> None:
        """Does nothing."""


class InstanceList:
    """The platform's instance list, held in memory."""

    def __init__(self) -> None:
        self.listed: list[instances.ListedInstance] = []

    async def read(self) -> tuple[instances.ListedInstance, ...]:
        """Returns the listed instances."""
        return tuple(self.listed)


class Instance:
    """Membership and ownership of one instance.

    Args:
        name: Id of the instance.
        key_value: Address of the key-value service.
        listing: List of all instances.
        resources: Resources that need an owner.
    """

    def __init__(
        self,
        name: str,
        key_value: str,
        listing: InstanceList,
        resources: tuple[tenure.Resource, ...],
    ) -> None:
        self.name = name
        self.stack = contextlib.AsyncExitStack()
        self._key_value = key_value
        self._listing = listing
        self._resources = resources

    async def start(self, port: int) -> None:
        """Starts membership and ownership.

        Args:
            port: Port for other instances.
        """
        enter = self.stack.enter_async_context
        address = f"127.0.0.1:{port}"
        local_member = heartbeats.make_member(self.name, address, "d-1", REGION)
        pool = await enter(transport.ChannelPool())
        client = await enter(
            gateway.connect((self._key_value,), instance=self.name)
        )
        self.view = heartbeats.HeartbeatMembership(
            local_member, self._listing, open_channel=pool.open
        )
        self.ownership = leases.LeaseOwnership(
            client,
            self.view,
            Listener(),
            peers=confirmations.GrpcOwnershipClient(
                local_member.instance, pool.get
            ),
        )
        self.server = transport.PeerServer(
            address, (self.view.service, self.ownership.service)
        )
        await enter(self.server)
        self._listing.listed.append(
            instances.ListedInstance(
                local_member.instance,
                address,
                local_member.domain,
                local_member.region,
            )
        )
        await enter(self.view)
        await enter(self.ownership)
        self.ownership.set_resources(self._resources)


@contextlib.asynccontextmanager
async def run_key_value() -> AsyncIterator[str]:
    """Runs the key-value stand-in in a separate process.

    Yields:
        The address of the stand-in.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "poplarwick_standins.main",
        "kv",
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        assert process.stdout is not None
        line = await process.stdout.readline()
        yield line.decode().split()[1]
    finally:
        process.terminate()
        await process.wait()


async def read_statistics(address: str) -> dict[str, Any]:
    """Returns the call counts of the stand-in at an address."""
    async with aiohttp.ClientSession(f"http://{address}") as session:
        async with session.get("/control/stats") as response:
            return dict(await response.json())


def reject_ping(request: Any) -> Any:
    """Fails every ping with an application error."""
    raise ConnectionAbortedError


async def detect_death(fleet: list[Instance]) -> float:
    """Stops one instance and waits until all others have detected it.

    Args:
        fleet: The instances; the stopped one is removed from the list.

    Returns:
        The detection time in seconds.
    """
    victim = fleet.pop()
    started_s = time.monotonic()
    # A stopped grpclib server still answers on open connections.
    victim.view.answer_ping = reject_ping  # type: ignore[method-assign]
    await victim.stack.aclose()
    name = ids.InstanceId(victim.name)
    async with asyncio.timeout(DETECTION_LIMIT_S):
        while any(i.view.find(name) for i in fleet):  # noqa: ASYNC110
            await asyncio.sleep(0.01)
    return time.monotonic() - started_s


async def measure(count: int, seconds: float) -> dict[str, Any]:
    """Runs instances and returns the measured metrics.

    Args:
        count: Number of instances.
        seconds: Time over which the rates are measured.

    Returns:
        The metrics by name.
    """
    sent = SentBytes()
    process = psutil.Process()
    memory = process.memory_info().rss
    resources = tuple(
        tenure.Resource(tenure.ResourceKind.ENDPOINT, f"e-{n}", REGION, True)
        for n in range(count * RESOURCES_PER_INSTANCE)
    )
    listing = InstanceList()
    async with contextlib.AsyncExitStack() as stack:
        address = await stack.enter_async_context(run_key_value())
        fleet: list[Instance] = []
        for number in range(count):
            instance = Instance(f"i-{number}", address, listing, resources)
            await instance.start(find_free_port())
            stack.push_async_callback(instance.stack.aclose)
            fleet.append(instance)
        await asyncio.sleep(SETTLE_S)
        before = await read_statistics(address)
        sent.count = 0
        started_s, cpu_s = time.monotonic(), time.process_time()
        await asyncio.sleep(seconds)
        elapsed_s = time.monotonic() - started_s
        cpu_s = time.process_time() - cpu_s
        sent_bytes = sent.count
        after = await read_statistics(address)
        tenure_counts = [len(i.ownership.tenures) for i in fleet]
        growth = process.memory_info().rss - memory
        detection_s = await detect_death(fleet)

    def rate(name: str) -> float:
        return round((after[name] - before[name]) / elapsed_s / count, 3)

    return {
        "instances": count,
        "seconds": round(elapsed_s, 1),
        "core_percent_per_instance": round(100 * cpu_s / elapsed_s / count, 3),
        "sent_bytes_per_s_per_instance": round(sent_bytes / elapsed_s / count),
        "memory_kb_per_instance": round(growth / count / 1024),
        "kv_writes_per_s_per_instance": rate("writes"),
        "kv_reads_per_s_per_instance": rate("reads"),
        "kv_watches": after["open_watches"],
        "tenures": sum(tenure_counts),
        "most_tenures": max(tenure_counts),
        "kv_writes_total": after["writes"],
        "kv_peak_writes_per_s": after["peak_writes_per_s"],
        "detection_s": round(detection_s, 2),
    }


def find_free_port() -> int:
    """Returns a port that is currently unused."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def main() -> int:
    """Runs the measurement from the command line.

    Returns:
        The exit code.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=20.0)
    parsed = parser.parse_args()
    logger.remove()
    print(json.dumps(asyncio.run(measure(parsed.instances, parsed.seconds))))
    return 0


if __name__ == "__main__":
    sys.exit(main())
