"""Systems under test: the product, or a baseline in its place."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import msgspec

from poplarwick_bench import fleet
from poplarwick_bench import process
from poplarwick_bench import relay
from poplarwick_bench import scenario
from poplarwick_bench import testbed
from poplarwick_configuration import document
from poplarwick_node import settings
from poplarwick_standins import engine_settings

PREFILL_TOKENS_PER_S = 20_000.0
DECODE_TOKENS_PER_S = 50.0
LONGEST_TIMEOUT_S = 3_600.0
OUTPUT_HEADROOM_TOKENS = 1_000


class System:
    """Engines and what stands before them.

    Attributes:
        lab: Testbed that the processes belong to.
        fleet: Engines, platform and, unless a baseline runs, instances.
        entries: Processes that callers send to.
    """

    def __init__(
        self,
        testbed_: testbed.Testbed,
        own_fleet: fleet.Fleet,
        entries: list[process.Process],
    ) -> None:
        self.testbed = testbed_
        self.fleet = own_fleet
        self.entries = entries

    @property
    def addresses(self) -> list[str]:
        """Addresses that callers send to."""
        return [entry.address for entry in self.entries]


@contextlib.asynccontextmanager
async def open_system(
    plan: fleet.Plan, policy: scenario.Policy
) -> AsyncIterator[System]:
    """Starts a system, and ends it on exit."""
    async with testbed.Testbed() as testbed_:
        own_fleet = fleet.Fleet(testbed_, plan)
        match policy:
            case scenario.Policy.CURRENT:
                await own_fleet.start()
                entries = own_fleet.nodes
            case scenario.Policy.ROUND_ROBIN:
                choice = relay.Policy.ROUND_ROBIN
                entries = await _start_relays(own_fleet, choice)
            case scenario.Policy.LEAST_OUTSTANDING:
                choice = relay.Policy.LEAST_OUTSTANDING
                entries = await _start_relays(own_fleet, choice)
        yield System(testbed_, own_fleet, entries)


def make_plan(own: scenario.Scenario, **changes: object) -> fleet.Plan:
    """Returns the plan of a scenario's system.

    The document holds rates and times as they are in real time, so that the
    time scale is seen by the stand-ins alone.
    """
    scale = own.time_scale
    model = document.Model(
        id=fleet.MODEL,
        context_tokens=own.memory_tokens,
        memory_tokens=own.memory_tokens,
        prefill_tokens_per_s=round(PREFILL_TOKENS_PER_S * scale),
        decode_tokens_per_s=round(DECODE_TOKENS_PER_S * scale),
        timeout_s=LONGEST_TIMEOUT_S / scale,
        max_timeout_s=LONGEST_TIMEOUT_S,
    )
    engine = engine_settings.EngineSettings(
        time_scale=scale,
        memory_tokens=own.memory_tokens,
        prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
        decode_tokens_per_s=DECODE_TOKENS_PER_S,
        starts_cold=False,
    )
    plan = fleet.Plan(
        instances=own.instances,
        engines=own.engines,
        services=own.services,
        domains=own.domains,
        weights=own.weights,
        model=model,
        engine=engine,
        log_level="WARNING",
        timing=settings.Timing(),
    )
    return _replace(plan, changes)


def _replace(plan: fleet.Plan, changes: dict[str, object]) -> fleet.Plan:
    engine = changes.pop("engine", {})
    assert isinstance(engine, dict)
    settings_ = msgspec.structs.replace(plan.engine, **engine)
    return fleet.replace_plan(plan, engine=settings_, **changes)


async def _start_relays(
    own_fleet: fleet.Fleet, policy: relay.Policy
) -> list[process.Process]:
    await own_fleet.start_platform()
    arguments = ["--policy", policy.value]
    for engine in own_fleet.engines:
        arguments += ["--engine", engine.address]
    starts = (
        own_fleet.testbed.start_program(
            f"relay-{index}",
            "poplarwick_bench.relay",
            [*arguments, "--seed", str(index)],
        )
        for index in range(own_fleet.plan.instances)
    )
    return list(await asyncio.gather(*starts))
