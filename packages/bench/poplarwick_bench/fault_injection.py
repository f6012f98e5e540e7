"""Faults drawn from a seed and brought about in a running system."""

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
SECOND_FAULT_CHANCE = 0.3


class Kind(enum.Enum):
    """What goes wrong."""

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
        kind: What goes wrong.
        at_s: Seconds after the start of the load.
        duration_s: How long it lasts.
        target: Number that chooses the instance or endpoint it hits.
    """

    kind: Kind
    at_s: float
    duration_s: float
    target: int


def generate_faults(
    kinds: Sequence[Kind], duration_s: float, every_s: float, seed: int
) -> list[Fault]:
    """Returns the faults of a run; the same seed gives the same ones.

    Args:
        kinds: Kinds to draw from; each comes before any comes again.
        duration_s: Length of the load.
        every_s: Time from one fault to the next; some come two at once.
        seed: Seed.
    """
    chance = random.Random(seed)
    pool: list[Kind] = []
    found = []
    at_s = every_s / 2
    while at_s < duration_s:
        count = 2 if chance.random() < SECOND_FAULT_CHANCE else 1
        for _ in range(count):
            if not pool:
                pool = chance.sample(list(kinds), len(kinds))
            lasts_s = every_s * chance.uniform(0.3, 0.8)
            target = chance.randrange(1_000_000)
            found.append(Fault(pool.pop(), at_s, lasts_s, target))
        at_s += every_s
    return found


class FaultInjector:
    """Brings faults about and undoes them.

    Attributes:
        system: The system that is hit.
        seen: History that kills and pauses are noted in.
    """

    def __init__(self, system: fleet.Fleet, seen: history.History) -> None:
        self.system = system
        self.seen = seen

    async def run(self, faults: Sequence[Fault]) -> None:
        """Brings all faults about at their times; returns after the last."""
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                group.create_task(self._bring_about(fault))

    async def _bring_about(self, fault: Fault) -> None:
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
                await self._apply(fault, rules)
            case Kind.DROPPED_ANSWERS:
                await self._apply(fault, proxy.Rules(drops_responses=True))
            case Kind.BLACKHOLE:
                dropped_directions = frozenset({proxy.Direction.ANSWER})
                await self._apply(
                    fault, proxy.Rules(dropped_directions=dropped_directions)
                )
            case Kind.KV_OUTAGE:
                await self._disturb_kv(fault, {"outage": True})
            case Kind.KV_LOST_WRITES:
                lost = {"lost_write_probability": 0.3, "seed": fault.target}
                await self._disturb_kv(fault, lost)
            case Kind.ENGINE_COLD:
                await self._turn_cold(fault)
            case Kind.BAD_EVENTS:
                await self._spoil_events(fault)

    async def _kill(self, fault: Fault) -> None:
        node = self.system.nodes[fault.target % len(self.system.nodes)]
        if not node.is_running:
            return
        self.seen.killed_or_paused.add(node.name)
        await node.kill()
        await asyncio.sleep(fault.duration_s)
        await node.start()

    async def _pause(self, fault: Fault) -> None:
        """Pauses an instance for longer than its lease lives."""
        node = self.system.nodes[fault.target % len(self.system.nodes)]
        self.seen.killed_or_paused.add(node.name)
        node.pause()
        lease_s = self.system.plan.timing.lease_ttl_s
        await asyncio.sleep(lease_s + LEASE_MARGIN_S)
        node.resume()

    async def _apply(self, fault: Fault, rules: proxy.Rules) -> None:
        between = self._choose_proxy(fault)
        between.apply(rules)
        await asyncio.sleep(fault.duration_s)
        between.apply(proxy.Rules())
        # Bytes were lost, so that what is left of a connection is worthless.
        if rules.dropped_directions or rules.drops_responses:
            between.reset()

    def _choose_proxy(self, fault: Fault) -> proxy.Proxy:
        proxies = list(self.system.endpoint_proxies.values())
        return proxies[fault.target % len(proxies)]

    async def _disturb_kv(
        self, fault: Fault, faults: Mapping[str, object]
    ) -> None:
        await self.set_kv_faults(faults)
        await asyncio.sleep(fault.duration_s)
        await self.set_kv_faults({})

    async def set_kv_faults(self, faults: Mapping[str, object]) -> None:
        """Replaces the faults of the key-value service."""
        await self._post(self.system.kv.address, "faults", faults)

    async def _turn_cold(self, fault: Fault) -> None:
        engines = self.system.engines
        engine = engines[fault.target % len(engines)]
        await self._post(engine.address, "restart", {})

    async def _spoil_events(self, fault: Fault) -> None:
        engines = self.system.engines
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
        async with self.system.testbed.session.post(url, data=data) as response:
            response.raise_for_status()
