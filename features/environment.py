"""Hooks of the behave run.

A feature tagged `@system` gets one running system of real processes, shared by
its scenarios as `context.system`; `context.run` runs a coroutine beside it.
The engines start cold, unless the feature is tagged `@warm` as well.
"""

import asyncio

from behave import fixture
from behave import use_fixture

from poplarwick_bench import fleet
from poplarwick_bench import testbed
from poplarwick_configuration import document
from poplarwick_node import settings
from poplarwick_standins import engine_settings

TIME_SCALE = 20.0
BALANCER_DELAY_S = 0.2


@fixture
def start_system(context, *, is_cold):
    """Runs a system until the feature ends."""
    with asyncio.Runner() as runner:
        own_lab = testbed.Testbed()
        runner.run(own_lab.__aenter__())
        context.run = runner.run
        failure = None
        try:
            plan = make_plan(is_cold=is_cold)
            context.system = fleet.Fleet(own_lab, plan)
            runner.run(context.system.start())
            yield context.system
        except Exception as error:
            # A lab that failed keeps its logs.
            failure = error
            raise
        finally:
            runner.run(own_lab.__aexit__(None, failure, None))


def make_plan(*, is_cold):
    """Returns a small system whose document tells its engines' true rates."""
    engine = engine_settings.EngineSettings(
        models=(fleet.MODEL,), time_scale=TIME_SCALE, starts_cold=is_cold
    )
    model = document.Model(
        id=fleet.MODEL,
        context_tokens=engine.memory_tokens,
        memory_tokens=engine.memory_tokens,
        prefill_tokens_per_s=round(engine.prefill_tokens_per_s * TIME_SCALE),
        decode_tokens_per_s=round(engine.decode_tokens_per_s * TIME_SCALE),
    )
    timing = settings.Timing(balancer_delay_s=BALANCER_DELAY_S)
    return fleet.Plan(engine=engine, model=model, services=2, timing=timing)


def before_feature(context, feature):
    """Starts the system of a feature that asks for one."""
    if "system" in feature.tags:
        use_fixture(start_system, context, is_cold="warm" not in feature.tags)
