"""Each attempt has one ending line, and its log names the planted cause."""

from __future__ import annotations

import asyncio

import pytest
import world as worlds

from poplarwick_administration import explanation
from poplarwick_core import logs
from poplarwick_standins import platform_replica

Fault = platform_replica.Fault


class Lines:
    """Keeps log lines in place of writing them."""

    def __init__(self):
        self.kept = []

    def write(self, line):
        """Keeps a line."""
        self.kept.append(line)


@pytest.fixture
def lines():
    kept = Lines()
    logs.configure_logs(writer=kept, instance="front-0")
    yield kept
    logs.configure_logs()


async def send(world, path, **options):
    name = "the-request"
    headers = {"Request-Id": name, **options.pop("headers", {})}
    try:
        async with world.call(path, headers=headers, **options) as answer:
            await answer.read()
    except (TimeoutError, OSError):
        pass
    return name


def plant_nothing(world):
    pass


def plant_lost_answer(world):
    world.replicas[-1].fault = Fault.RESET_WITHOUT_LENGTH


def plant_full(world):
    for replica in world.replicas:
        replica.fault = Fault.FULL


def plant_silence(world):
    world.replicas[-1].fault = Fault.SILENT


def plant_error(world):
    world.replicas[-1].fault = Fault.ERROR


CASES = [
    ("/order/", plant_nothing, {}, "answered at the first attempt"),
    ("/order/", plant_lost_answer, {}, "must not run twice"),
    ("/order/", plant_full, {}, "too many endpoints refused it"),
    ("/order/", plant_silence, {"Deadline-Ms": "500"}, "its time was over"),
    ("/order/", plant_error, {}, "answered at the first attempt"),
    ("/order/", plant_nothing, {"X-Api-Key": "revoked"}, "answers it with 401"),
    ("/none/", plant_nothing, {}, "answers it with 404"),
    ("/order/", plant_nothing, {"Deadline-Ms": "x"}, "cannot be read"),
]


@pytest.mark.parametrize(("path", "plant", "headers", "told"), CASES)
def test_the_log_names_the_planted_cause(
    tmp_path, lines, path, plant, headers, told
):
    async def scenario():
        async with worlds.running(tmp_path) as world:
            plant(world)
            return await send(world, path, headers=headers)

    name = asyncio.run(scenario())
    story = explanation.explain(name, [lambda: lines.kept])
    assert story.endings == 1
    assert told in story.cause


def test_the_ending_tells_the_longest_pause_of_a_stream(tmp_path, lines):
    pause_s = 0.2

    async def scenario():
        async with worlds.running(tmp_path) as world:
            for replica in world.replicas:
                replica.event_s = pause_s
            return await send(world, "/label/", tokens=5_000)

    name = asyncio.run(scenario())
    (ending,) = [
        line
        for line in lines.kept
        if f"request={name} " in line and "event=request_ended" in line
    ]
    told_s = float(ending.split("pause_s=")[1].split()[0])
    assert told_s >= pause_s / 2


def test_a_killed_instance_leaves_no_ending(tmp_path, lines):
    async def scenario():
        async with worlds.running(tmp_path) as world:
            plant_silence(world)
            sending = asyncio.create_task(send(world, "/order/"))
            await worlds.eventually(lambda: world.replicas[-1].runs)
            kept = list(lines.kept)
            sending.cancel()
            return kept

    kept = asyncio.run(scenario())
    story = explanation.explain("the-request", [lambda: kept])
    assert story.endings == 0
    assert "instance was killed or still works" in story.cause


def test_a_start_in_an_outage_of_the_store_is_named(tmp_path, lines):
    async def scenario():
        async with worlds.running(tmp_path) as world:
            fresh = worlds.Instance("front-9", "127.0.0.1:1", tmp_path)
            world.instances.append(fresh)
            await asyncio.sleep(0.3)
            headers = {"Deadline-Ms": "800"}
            name = await send(world, "/order/", headers=headers, instance=1)
            await fresh.end()
            return name

    name = asyncio.run(scenario())
    story = explanation.explain(name, [lambda: lines.kept])
    assert story.endings == 1
    assert "had not learned a configuration" in story.cause
