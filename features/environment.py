"""Hooks of the behave run.

A feature tagged `@system` gets one running system of real processes, shared by
its scenarios as `context.system`; `context.run` runs a coroutine beside it.
"""

import asyncio

from behave import fixture
from behave import use_fixture

from poplarwick_bench import fleet
from poplarwick_bench import lab
from poplarwick_standins import engine_settings

TIME_SCALE = 20.0


@fixture
def start_system(context):
    """Runs a system until the feature ends."""
    with asyncio.Runner() as runner:
        own_lab = lab.Lab()
        runner.run(own_lab.__aenter__())
        context.run = runner.run
        try:
            plan = fleet.Plan(
                engine=engine_settings.EngineSettings(
                    models=(fleet.MODEL,), time_scale=TIME_SCALE
                )
            )
            context.system = fleet.Fleet(own_lab, plan)
            runner.run(context.system.start())
            yield context.system
        finally:
            runner.run(own_lab.__aexit__(None, None, None))


def before_feature(context, feature):
    """Starts the system of a feature that asks for one."""
    if "system" in feature.tags:
        use_fixture(start_system, context)
