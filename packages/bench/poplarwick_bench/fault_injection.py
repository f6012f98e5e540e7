"""Seeded fault injection into a running system."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import random
from collections.abc import Mapping
from collections.abc import Sequence

import msgspec

from poplarwick_bench import fleet
from poplarwick_bench import history
from poplarwick_bench import proxy
from poplarwick_standins import engine_settings

LEASE_MARGIN_S = 3.0
DELAY_S = 0.1
JITTER_S = 0.1
SECOND_FAULT_PROBABILITY = 0.3


class Kind(enum.Enum):
    """Kind of an injected fault."""

    KILL = "kill"
    PAUSE = "pause"
    RESET = "reset"
    DELAY = "delay"
    DROPPED_ANSWERS = "dropped_answers"
    BLACKHOLE = "blackhole"
    KV_OUTAGE = "kv_outage"
    KV_LOST_WRITES = "kv_lost_writes"
    ENGINE_COLD = "engine_cold"
    BAD_EVENTS = "bad_events"


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Attributes:
        kind: Kind of the fault.
        at_s: Start, in seconds after the start of the load.
        duration_s: Duration in seconds.
        target: Number that selects the affected instance or endpoint.
    """

    kind: Kind
    at_s: float
    duration_s: float
    target: int


def generate_faults(
    kinds: Sequence[Kind], duration_s: float, every_s: float, seed: int
) -> list[Fault]:
    """Returns the faults of a run; the same seed gives the same faults.

    Args:
        kinds: Kinds to sample from without replacement; the pool is refilled
            when it is empty.
        duration_s: Length of the load.
        every_s: Interval between faults; some intervals start two faults.
        seed: Seed.
    """
    rng = random.Random(seed)
    pool: list[Kind] = []
    faults = []
    at_s = every_s / 2
    while at_s < duration_s:
        count = 2 if rng.random() < SECOND_FAULT_PROBABILITY else 1
        for _ in range(count):
            if not pool:
                pool = rng.sample(list(kinds), len(kinds))
            fault_duration_s = every_s * rng.uniform(0.3, 0.8)
            target = rng.randrange(1_000_000)
            faults.append(Fault(pool.pop(), at_s, fault_duration_s, target))
        at_s += every_s
    return faults


class FaultInjector:
    """Injects faults and reverts them.

    Attributes:
        fleet: System under test.
        history: History in which kills and pauses are recorded.
    """

    def __init__(
        self, fleet_: fleet.Fleet, run_history: history.History
    ) -> None:
        self.fleet = fleet_
        self.history = run_history

    async def run(self, faults: Sequence[Fault]) -> None:
        """Injects all faults at their times; returns after the last ends."""
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                group.create_task(self._inject(fault))

    async def _inject(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        match fault.kind:
            case Kind.KILL:
                await self._kill(fault)
            case Kind.PAUSE:
                await self._pause(fault)
            case Kind.RESET:
                self._choose_proxy(fault).reset()
            case Kind.DELAY:
                rules = proxy.Rules(delay_s=DELAY_S, jitter_s=JITTER_S)
                await self._apply_rules(fault, rules)
            case Kind.DROPPED_ANSWERS:
                await self._apply_rules(
                    fault, proxy.Rules(drops_responses=True)
                )
            case Kind.BLACKHOLE:
                dropped_directions = frozenset({proxy.Direction.ANSWER})
                await self._apply_rules(
                    fault, proxy.Rules(dropped_directions=dropped_directions)
                )
            case Kind.KV_OUTAGE:
                await self._inject_kv_faults(fault, {"outage": True})
            case Kind.KV_LOST_WRITES:
                lost = {"lost_write_probability": 0.3, "seed": fault.target}
                await self._inject_kv_faults(fault, lost)
            case Kind.ENGINE_COLD:
                await self._restart_engine(fault)
            case Kind.BAD_EVENTS:
                await self._corrupt_events(fault)

    async def _kill(self, fault: Fault) -> None:
        node = self.fleet.nodes[fault.target % len(self.fleet.nodes)]
        if not node.is_running:
            return
        self.history.killed_or_paused.add(node.name)
        await node.kill()
        await asyncio.sleep(fault.duration_s)
        await node.start()

    async def _pause(self, fault: Fault) -> None:
        """Pauses an instance beyond the expiry of its lease."""
        node = self.fleet.nodes[fault.target % len(self.fleet.nodes)]
        self.history.killed_or_paused.add(node.name)
        node.pause()
        lease_ttl_s = self.fleet.plan.timing.lease_ttl_s
        await asyncio.sleep(lease_ttl_s + LEASE_MARGIN_S)
        node.resume()

    async def _apply_rules(self, fault: Fault, rules: proxy.Rules) -> None:
        proxy_ = self._choose_proxy(fault)
        proxy_.apply(rules)
        await asyncio.sleep(fault.duration_s)
        proxy_.apply(proxy.Rules())
        # Dropped bytes leave the open connections in an inconsistent state.
        if rules.dropped_directions or rules.drops_responses:
            proxy_.reset()

    def _choose_proxy(self, fault: Fault) -> proxy.Proxy:
        proxies = list(self.fleet.endpoint_proxies.values())
        return proxies[fault.target % len(proxies)]

    async def _inject_kv_faults(
        self, fault: Fault, faults: Mapping[str, object]
    ) -> None:
        await self.set_kv_faults(faults)
        await asyncio.sleep(fault.duration_s)
        await self.set_kv_faults({})

    async def set_kv_faults(self, faults: Mapping[str, object]) -> None:
        """Replaces the faults of the key-value service."""
        await self._post(self.fleet.kv.address, "faults", faults)

    async def _restart_engine(self, fault: Fault) -> None:
        engines = self.fleet.engines
        engine = engines[fault.target % len(engines)]
        await self._post(engine.address, "restart", {})

    async def _corrupt_events(self, fault: Fault) -> None:
        engines = self.fleet.engines
        engine = engines[fault.target % len(engines)]
        faults = engine_settings.Faults(
            duplicate_every=3,
            late_every=4,
            missing_every=11,
            crossed_every=5,
            cut_after_events=7,
            cuts=5,
        )
        await self._post(engine.address, "faults", faults)
        await asyncio.sleep(fault.duration_s)
        await self._post(engine.address, "faults", engine_settings.Faults())

    async def _post(self, address: str, call: str, body: object) -> None:
        url = f"http://{address}/control/{call}"
        data = msgspec.json.encode(body)
        async with self.fleet.testbed.session.post(url, data=data) as response:
            response.raise_for_status()
