"""Tests of the lab with a real process."""

import asyncio

import pytest

from poplarwick_bench import caller
from poplarwick_bench import lab
from poplarwick_bench import process
from poplarwick_core import outcome
from poplarwick_standins import engine_settings

QUICK = engine_settings.EngineSettings(time_scale=50.0, starts_cold=False)


def make_call(**fields):
    body = {"model": "m", "prompt": "hello", "max_tokens": 8} | fields
    return caller.Call(name="c", organisation="o", secret="s", body=body)


@pytest.mark.parametrize("stream", [True, False])
def test_caller_reads_a_whole_answer(stream):
    async def run():
        async with lab.Lab() as own_lab:
            engine = await own_lab.start_standin("engine", "e", QUICK)
            sender = caller.Caller(own_lab.session, engine.address)
            record = await sender.send(make_call(stream=stream))
            assert record.is_whole
            assert record.tokens == 8
            assert caller.is_own_answer(record)

    asyncio.run(run())


def test_killed_process_leaves_a_record_without_an_outcome():
    async def run():
        async with lab.Lab() as own_lab:
            slow = engine_settings.EngineSettings(time_scale=0.01)
            engine = await own_lab.start_standin("engine", "e", slow)
            sender = caller.Caller(own_lab.session, engine.address)
            sending = asyncio.create_task(sender.send(make_call(stream=True)))
            await own_lab.wait_ready(engine, "/health")
            await engine.kill()
            record = await sending
            assert not engine.is_running
            assert not record.is_whole
            assert record.outcome is not outcome.Outcome.COMPLETE

    asyncio.run(run())


def test_paused_process_answers_once_it_wakes():
    async def run():
        async with lab.Lab() as own_lab:
            engine = await own_lab.start_standin("engine", "e", QUICK)
            sender = caller.Caller(own_lab.session, engine.address)
            engine.pause()
            sending = asyncio.create_task(sender.send(make_call(stream=True)))
            await asyncio.sleep(0)
            engine.wake()
            assert (await sending).is_whole

    asyncio.run(run())


def test_process_that_does_not_start_is_an_error(tmp_path):
    async def run():
        async with lab.Lab(tmp_path) as own_lab:
            with pytest.raises(process.ProcessError):
                await own_lab.start_standin("engine", "e", address="nowhere:x")

    asyncio.run(run())


def test_waiting_for_a_process_that_ended_is_an_error():
    async def run():
        async with lab.Lab() as own_lab:
            engine = await own_lab.start_standin("engine", "e", QUICK)
            await engine.kill()
            with pytest.raises(process.ProcessError, match="ended"):
                await own_lab.wait_ready(engine, "/health")

    asyncio.run(run())


def test_lab_ends_its_processes():
    async def run():
        async with lab.Lab() as own_lab:
            engine = await own_lab.start_standin("engine", "e", QUICK)
        assert not engine.is_running
        assert not own_lab.folder.exists()

    asyncio.run(run())


def test_free_addresses_differ_and_lie_below_outgoing_ports():
    found = lab.find_free_addresses(50)
    ports = {int(address.rpartition(":")[2]) for address in found}
    assert len(ports) == 50
    assert all(lab.FIRST_PORT <= port < lab.LAST_PORT for port in ports)
