"""Hooks of the behave run.

A feature tagged `@system` gets one running system of real processes that its
scenarios share as `context.system`; `context.run` runs a coroutine in its event
loop. The engines start cold unless the feature is also tagged `@warm`.
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
    """Runs a system for the duration of a feature.

    Args:
        context: The context of the feature.
        is_cold: Whether the engines start cold.

    Yields:
        The running system.
    """
    with asyncio.Runner() as runner:
        testbed_ = testbed.Testbed()
        runner.run(testbed_.__aenter__())
        context.run = runner.run
        failure = None
        try:
            plan = make_plan(is_cold=is_cold)
            context.system = fleet.Fleet(testbed_, plan)
            runner.run(context.system.start())
            yield context.system
        except Exception as error:
            # A testbed retains its logs after a failure.
            failure = error
            raise
        finally:
            runner.run(testbed_.__aexit__(None, failure, None))


def make_plan(*, is_cold):
    """Returns a plan of a small system with the engines' actual rates.

    Args:
        is_cold: Whether the engines start cold.
    """
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
    """Starts a system for a feature that is tagged `@system`."""
    if "system" in feature.tags:
        use_fixture(start_system, context, is_cold="warm" not in feature.tags)
