"""Stand-in for what the platform does to processes that exceed their memory.

Shared by the cases in which clients send more than their limits.
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import signal
from collections.abc import Awaitable
from collections.abc import Callable

import harness

from poplarwick_standins import platform_documents as documents
from poplarwick_standins import platform_replica

ROUNDS = 3
"""Crowds at each instance: three ends of a process break the rule."""

PAUSE_S = 3.0
"""Time from the end of a crowd to the next one."""

RESTART_S = 0.5
SAMPLE_S = 0.01
MEMORY_BYTES = 300_000_000
"""`memory_mb` of the settings."""

ORDINARY_PERIOD_S = 0.25

Crowd = Callable[[harness.Instance, int], Awaitable[list[str]]]
"""Sends a crowd to an instance in a round, and returns what each client got."""


def read_memory(instance: harness.Instance) -> int:
    """Returns the resident memory of a process in bytes; 0 if it has ended."""
    assert instance.process is not None
    path = pathlib.Path(f"/proc/{instance.process.pid}/status")
    with contextlib.suppress(OSError):
        for line in path.read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1_024
    return 0


class Platform:
    """Kills processes that exceed their memory and starts them again."""

    def __init__(self, system: harness.Deployment) -> None:
        self.ends = {instance.name: 0 for instance in system.instances}
        self.peaks = {instance.name: 0 for instance in system.instances}
        self._system = system

    async def watch(self, instance: harness.Instance) -> None:
        """Watches the process of an instance until cancelled."""
        while True:
            await asyncio.sleep(SAMPLE_S)
            assert instance.process is not None
            memory = read_memory(instance)
            name = instance.name
            self.peaks[name] = max(self.peaks[name], memory)
            if memory > MEMORY_BYTES:
                self._system.write(
                    f"{name} has {memory // 1_000_000} MB, more than"
                    f" {MEMORY_BYTES // 1_000_000}: killed"
                )
                instance.signal(signal.SIGKILL)
                await instance.process.wait()
            if instance.process.returncode is None:
                continue
            self.ends[name] += 1
            await asyncio.sleep(RESTART_S)
            await self._system.launch(instance)
            await self._system.wait_ready(instance)
            self._system.write(f"{name} is ready again")


async def send_ordinary(
    system: harness.Deployment, instance: harness.Instance
) -> None:
    """Sends one ordinary request after the other until cancelled."""
    number = 0
    while True:
        await asyncio.sleep(ORDINARY_PERIOD_S)
        number += 1
        request = f"{instance.name}-ordinary-{number}"
        answer = await harness.call(
            instance.ip,
            "/once/1",
            request,
            patience_s=2.5,
            deadline_ms=2_500,
        )
        outcome = "no answer" if answer.status is None else answer.status
        system.write(f"{request}: {outcome}")


async def run(case: str, send_crowd: Crowd) -> int:
    """Sends crowds to both instances of a small deployment.

    Args:
        case: Folder of the case.
        send_crowd: Sends a crowd to one instance.

    Returns:
        Whether the processes of both instances ended in each round.
    """
    async with harness.Deployment(case) as system:
        # Our pages name no era of the store.
        system.store.era_text = ""
        for number in range(2):
            await system.add_replica(
                platform_replica.Replica(
                    f"o-{number}", "orders", "ab"[number], peers=system.peers
                )
            )
        await system.start(
            documents.make_configuration(
                routes=[
                    documents.make_route(
                        "once", "non_idempotent", "orders", timeout_ms=2_500
                    )
                ]
            )
        )
        platform = Platform(system)
        for instance in system.instances:
            system.write(
                f"{instance.name} has {read_memory(instance) // 1_000_000} MB"
            )
        async with contextlib.AsyncExitStack() as stack:
            for instance in system.instances:
                for coroutine in (
                    platform.watch(instance),
                    send_ordinary(system, instance),
                ):
                    task = asyncio.create_task(coroutine)
                    stack.callback(task.cancel)
            for round_number in range(1, ROUNDS + 1):
                crowds = await asyncio.gather(
                    *(send_crowd(i, round_number) for i in system.instances)
                )
                answers = [answer for crowd in crowds for answer in crowd]
                for answer in sorted(set(answers)):
                    system.write(
                        f"crowd {round_number}: {answers.count(answer)}"
                        f" clients got: {answer}"
                    )
                await asyncio.sleep(PAUSE_S)
        system.write(f"ends of processes: {platform.ends}")
        system.write(
            "peak memory in MB: "
            f"{ {n: p // 1_000_000 for n, p in platform.peaks.items()} }"
        )
        if min(platform.ends.values()) >= ROUNDS:
            return harness.BROKEN
        return harness.HELD
