"""How endpoints that cut answers off are probed."""

from __future__ import annotations

import asyncio
import types

from poplarwick_catalogue import types as catalogue_types
from poplarwick_coordination import crash_probe
from poplarwick_coordination import reports

LIVING = ("lives", "engine")


class Reader:
    def __init__(self):
        self.calls = []

    async def read_report(self, address):
        self.calls.append(address)
        if address in LIVING:
            return 1.5
        raise reports.ReportError(address)

    async def is_reachable(self, address):
        self.calls.append(address)
        if address == "hangs":
            await asyncio.sleep(60)
        return address in LIVING


def make_catalogue():
    services = {
        "pool": object.__new__(catalogue_types.EngineProfile),
        "plain": None,
    }
    endpoints = {
        "engine": "pool",
        "crashed-engine": "pool",
        "lives": "plain",
        "refuses": "plain",
        "hangs": "plain",
        "paused": "plain",
    }
    return types.SimpleNamespace(
        routing=types.SimpleNamespace(
            services={
                name: types.SimpleNamespace(engine=engine)
                for name, engine in services.items()
            }
        ),
        endpoints={
            name: types.SimpleNamespace(
                endpoint=types.SimpleNamespace(
                    id=name, address=name, service=service
                )
            )
            for name, service in endpoints.items()
        },
    )


def test_each_endpoint_is_probed_once_at_a_time():
    reader, known = Reader(), make_catalogue()
    reported, connected = {}, {}

    async def run():
        probe = crash_probe.CrashProbe(
            reader,
            known,
            reported.__setitem__,
            connected.__setitem__,
            is_paused=lambda address: address == "paused",
        )
        for endpoint in (*known.endpoints, "unknown", "lives"):
            probe.probe(endpoint)
        await asyncio.sleep(reports.REPORT_TIMEOUT_S + 0.1)
        assert reader.calls.count("lives") == 1
        probe.probe("lives")
        await asyncio.sleep(0.01)
        assert reader.calls.count("lives") == 2

    asyncio.run(run())
    assert reported == {"engine": 1.5, "crashed-engine": None}
    assert connected == {"lives": True, "refuses": False, "hangs": False}
    assert "paused" not in reader.calls
