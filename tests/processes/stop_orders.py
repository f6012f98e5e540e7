"""Orders in which a play stops its instances and starts them again."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import time

from poplarwick_adapter import keys

GRACE_S = 8.0
"""Time from SIGTERM to SIGKILL (`grace_s`)."""

RESTART_GAP_S = 1.3
"""Time from the exit of an instance to its next start (`gap_s`)."""

STOP_SETTLE_S = 3.0
"""Time for which all instances serve between two stops."""

ANNOUNCED_S = 1.5
"""Time before SIGTERM from which clients know of it, to time their answers."""


@dataclasses.dataclass(slots=True)
class Stop:
    """A planned stop of an instance.

    Attributes:
        instance: Name of the instance.
        incarnation: Start of its process that was stopped.
        at_s: Monotonic time of SIGTERM.
        exited_at_s: Monotonic time of the exit.
        was_killed: Whether it outlasted the grace period.
    """

    instance: str
    incarnation: int
    at_s: float
    exited_at_s: float = 0.0
    was_killed: bool = False


async def stop_once(system, stops, instance, rng):
    """Stops an instance, with its standstill if there is one, and starts it."""
    lead_s, standstill_s = system.conditions.draw_standstill(rng)
    announced_s = system.conditions.ends_s and ANNOUNCED_S
    at_s = time.monotonic() + max(lead_s, announced_s or 0.0)
    system.stop_at_s[instance.name] = at_s
    standing = None
    if standstill_s:
        standing = asyncio.create_task(
            system.stand_still(instance, at_s - lead_s, standstill_s)
        )
    await asyncio.sleep(at_s - time.monotonic())
    kill_after_s = GRACE_S - system.conditions.kill_early_s
    with system.disturb_store(instance):
        stop = Stop(instance.name, instance.incarnation, time.monotonic())
        stops.append(stop)
        instance.is_expected_to_run = False
        instance.node.terminate()
        if await instance.node.wait(kill_after_s) is None:
            stop.was_killed = True
            await instance.node.kill()
        stop.exited_at_s = time.monotonic()
    del system.stop_at_s[instance.name]
    if standing is not None:
        await standing
    await asyncio.sleep(RESTART_GAP_S)
    await system.restart_instance(instance)


async def stop_in_turn(system, stops, order, rng, until_s):
    """Stops instances one after the other and starts them again."""
    while True:
        for number in order:
            if time.monotonic() > until_s:
                return
            await stop_once(system, stops, system.instances[number], rng)
            await asyncio.sleep(rng.uniform(0.0, STOP_SETTLE_S))


async def stop_together(system, stops, rng, until_s):
    """Stops the placer and others within one grace period, again and again.

    The conditions of the play say which and how many.

    Args:
        system: The system under test.
        stops: List that the stops are added to.
        rng: Random numbers.
        until_s: Monotonic time of the last stop.
    """
    conditions = system.conditions

    async def stop_late(instance, delay_s):
        await asyncio.sleep(delay_s)
        await stop_once(system, stops, instance, rng)

    while time.monotonic() < until_s:
        placer = find_placer(system.store.items)
        domains = {x.name: x.domain for x in system.instances}
        if conditions.same_domain:
            chosen = choose_domain(placer, domains)
        else:
            chosen = choose_group(
                placer, list(domains), conditions.together, rng
            )
        async with asyncio.TaskGroup() as group:
            for instance in system.instances:
                if instance.name in chosen:
                    delay_s = rng.uniform(0.0, conditions.stagger_s)
                    group.create_task(stop_late(instance, delay_s))
        await asyncio.sleep(STOP_SETTLE_S)


def choose_group(
    placer: str | None, names: list[str], count: int, rng: random.Random
) -> set[str]:
    """Returns the names of the placer and of others, `count` in all."""
    others = [name for name in names if name != placer]
    chosen = set() if placer not in names else {placer}
    return chosen | set(rng.sample(others, count - len(chosen)))


def choose_domain(placer: str | None, domains: dict[str, str]) -> set[str]:
    """Returns the names of all instances of the placer's failure domain.

    Args:
        placer: Name of the placer; None if there is none.
        domains: Failure domain of each instance.
    """
    domain = domains.get(placer, min(domains.values()))
    return {name for name, of_name in domains.items() if of_name == domain}


def find_placer(items) -> str | None:
    """Returns the name of the placer by the store's items."""
    item = items.get(keys.PLACER)
    return None if item is None else item.value.decode().split(" ")[0]
