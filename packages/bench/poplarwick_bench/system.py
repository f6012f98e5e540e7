"""Systems under test: poplarwick or a baseline relay."""

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
    """Engines and the processes that callers reach them through.

    Attributes:
        testbed: Testbed that runs the processes.
        fleet: Engines, platform and, unless a baseline is tested, instances.
        frontends: Processes that callers send requests to.
    """

    def __init__(
        self,
        testbed_: testbed.Testbed,
        fleet_: fleet.Fleet,
        frontends: list[process.Process],
    ) -> None:
        self.testbed = testbed_
        self.fleet = fleet_
        self.frontends = frontends

    @property
    def addresses(self) -> list[str]:
        """Addresses that callers send requests to."""
        return [frontend.address for frontend in self.frontends]


@contextlib.asynccontextmanager
async def open_system(
    plan: fleet.Plan, policy: scenario.Policy
) -> AsyncIterator[System]:
    """Starts a system and stops it on exit."""
    async with testbed.Testbed() as testbed_:
        fleet_ = fleet.Fleet(testbed_, plan)
        match policy:
            case scenario.Policy.CURRENT:
                await fleet_.start()
                frontends = fleet_.nodes
            case scenario.Policy.ROUND_ROBIN:
                choice = relay.Policy.ROUND_ROBIN
                frontends = await _start_relays(fleet_, choice)
            case scenario.Policy.LEAST_OUTSTANDING:
                choice = relay.Policy.LEAST_OUTSTANDING
                frontends = await _start_relays(fleet_, choice)
        yield System(testbed_, fleet_, frontends)


def make_plan(spec: scenario.Scenario, **changes: object) -> fleet.Plan:
    """Returns the fleet plan of a scenario.

    The configuration document states rates and times in real time, so that
    only the stand-ins know the time scale.
    """
    scale = spec.time_scale
    model = document.Model(
        id=fleet.MODEL,
        context_tokens=spec.memory_tokens,
        memory_tokens=spec.memory_tokens,
        prefill_tokens_per_s=round(PREFILL_TOKENS_PER_S * scale),
        decode_tokens_per_s=round(DECODE_TOKENS_PER_S * scale),
        timeout_s=LONGEST_TIMEOUT_S / scale,
        max_timeout_s=LONGEST_TIMEOUT_S,
    )
    engine = engine_settings.EngineSettings(
        time_scale=scale,
        memory_tokens=spec.memory_tokens,
        prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
        decode_tokens_per_s=DECODE_TOKENS_PER_S,
        starts_cold=False,
    )
    plan = fleet.Plan(
        instances=spec.instances,
        engines=spec.engines,
        services=spec.services,
        domains=spec.domains,
        weights=spec.weights,
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
    fleet_: fleet.Fleet, policy: relay.Policy
) -> list[process.Process]:
    await fleet_.start_platform()
    arguments = ["--policy", policy.value]
    for engine in fleet_.engines:
        arguments += ["--engine", engine.address]
    starts = (
        fleet_.testbed.start_program(
            f"relay-{index}",
            "poplarwick_bench.relay",
            [*arguments, "--seed", str(index)],
        )
        for index in range(fleet_.plan.instances)
    )
    return list(await asyncio.gather(*starts))
