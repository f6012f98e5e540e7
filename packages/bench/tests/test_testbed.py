"""Tests for the test bed with real processes."""

import asyncio

import pytest

from poplarwick_bench import caller
from poplarwick_bench import process
from poplarwick_bench import testbed
from poplarwick_core import outcome
from poplarwick_standins import engine_settings

QUICK = engine_settings.EngineSettings(time_scale=50.0, starts_cold=False)


def make_call(**fields):
    body = {"model": "m", "prompt": "hello", "max_tokens": 8} | fields
    return caller.Call(name="c", organisation="o", secret="s", body=body)


@pytest.mark.parametrize("stream", [True, False])
def test_caller_reads_a_complete_response(stream):
    async def run():
        async with testbed.Testbed() as testbed_:
            engine = await testbed_.start_standin("engine", "e", QUICK)
            sender = caller.Caller(testbed_.session, engine.address)
            record = await sender.send(make_call(stream=stream))
            assert record.is_complete
            assert record.tokens == 8
            assert caller.has_expected_text(record)

    asyncio.run(run())


def test_killed_process_yields_an_incomplete_record():
    async def run():
        async with testbed.Testbed() as testbed_:
            slow = engine_settings.EngineSettings(time_scale=0.01)
            engine = await testbed_.start_standin("engine", "e", slow)
            sender = caller.Caller(testbed_.session, engine.address)
            sending = asyncio.create_task(sender.send(make_call(stream=True)))
            await testbed_.wait_ready(engine, "/health")
            await engine.kill()
            record = await sending
            assert not engine.is_running
            assert not record.is_complete
            assert record.outcome is not outcome.Outcome.COMPLETE

    asyncio.run(run())


def test_paused_process_responds_after_resuming():
    async def run():
        async with testbed.Testbed() as testbed_:
            engine = await testbed_.start_standin("engine", "e", QUICK)
            sender = caller.Caller(testbed_.session, engine.address)
            engine.pause()
            sending = asyncio.create_task(sender.send(make_call(stream=True)))
            await asyncio.sleep(0)
            engine.resume()
            assert (await sending).is_complete

    asyncio.run(run())


def test_failed_process_start_raises(tmp_path):
    async def run():
        async with testbed.Testbed(tmp_path) as testbed_:
            with pytest.raises(process.ProcessError):
                await testbed_.start_standin("engine", "e", address="nowhere:x")

    asyncio.run(run())


def test_wait_ready_raises_for_an_exited_process():
    async def run():
        async with testbed.Testbed() as testbed_:
            engine = await testbed_.start_standin("engine", "e", QUICK)
            await engine.kill()
            with pytest.raises(process.ProcessError, match="ended"):
                await testbed_.wait_ready(engine, "/health")

    asyncio.run(run())


def test_exit_stops_processes_and_removes_folder():
    async def run():
        async with testbed.Testbed() as testbed_:
            engine = await testbed_.start_standin("engine", "e", QUICK)
        assert not engine.is_running
        assert not testbed_.folder.exists()

    asyncio.run(run())


def test_free_addresses_are_distinct_and_within_port_range():
    addresses = testbed.find_free_addresses(50)
    ports = {int(address.rpartition(":")[2]) for address in addresses}
    assert len(ports) == 50
    assert all(testbed.FIRST_PORT <= port < testbed.LAST_PORT for port in ports)
