"""Which engines are polled for reports, and how often."""

from __future__ import annotations

import asyncio
import socket
import time
import types

from poplarwick_catalogue import types as catalogue_types
from poplarwick_coordination import message_streams
from poplarwick_coordination import reports
from poplarwick_placement import engine_report


def run_poller(monkeypatch, *, used, paused=(), seconds=0.45):
    """Returns how often each engine was polled; a second takes 0.05 s."""
    monkeypatch.setattr(reports, "REPORT_PERIOD_S", 0.05)
    monkeypatch.setattr(reports, "UNUSED_REPORT_PERIOD_S", 0.2)
    polled = []

    class Reader:
        async def read_report(self, address):
            polled.append(address)
            return engine_report.EngineReport(1.0)

    def make_endpoint(name):
        endpoint = types.SimpleNamespace(id=name, address=name, service="pool")
        return types.SimpleNamespace(endpoint=endpoint)

    service = types.SimpleNamespace(
        engine=object.__new__(catalogue_types.EngineProfile)
    )
    known = types.SimpleNamespace(
        routing=types.SimpleNamespace(services={"pool": service}),
        endpoints={name: make_endpoint(name) for name in "ab"},
    )

    async def run():
        poller = reports.ReportPoller(
            Reader(),
            known,
            lambda endpoint, slowdown: None,
            is_paused=lambda address: address in paused,
            is_used=lambda endpoint: endpoint in used,
        )
        task = asyncio.create_task(poller.run())
        await asyncio.sleep(seconds)
        task.cancel()

    asyncio.run(run())
    return {name: polled.count(name) for name in "ab"}


def test_engine_that_works_on_nothing_is_polled_less_often(monkeypatch):
    counts = run_poller(monkeypatch, used={"a"})
    assert counts["a"] > counts["b"] > 0


def test_engine_that_wants_a_pause_is_not_polled(monkeypatch):
    counts = run_poller(monkeypatch, used={"a", "b"}, paused={"b"})
    assert counts["a"] > 0
    assert counts["b"] == 0


def test_heartbeats_of_all_instances_stay_within_a_bounded_rate():
    rates = [
        count / message_streams.calculate_beat_period_s(count)
        for count in (6, 50, 83, 195)
    ]
    assert rates[0] == 24
    assert max(rates) <= 201


# Guards against engines that are doubted, or counted as crashed, as the own
# loop stood still when their reports came.
def test_report_that_came_while_the_loop_stood_still_is_read():
    own, engine = socket.socketpair()
    own.setblocking(False)

    class Reader:
        async def read_report(self, address):
            loop = asyncio.get_running_loop()
            loop.call_soon(stand_still)
            await loop.sock_recv(own, 1)
            return engine_report.EngineReport(1.0)

    def stand_still():
        time.sleep(1.5 * reports.REPORT_TIMEOUT_S)
        engine.sendall(b"x")

    with own, engine:
        assert asyncio.run(reports.read(Reader(), "a")) is not None
