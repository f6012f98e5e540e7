"""Which silent endpoints count as ended."""

from __future__ import annotations

import asyncio
import types

import pytest

from poplarwick_bench import examples
from poplarwick_catalogue import types as catalogue_types
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_forwarding import ended_endpoints
from poplarwick_placement import messages

ADDRESS = "127.0.0.1:1"
PLACEMENT = messages.Placement(ids.EndpointId("e"), ADDRESS, (), 0.1, "test")
OWN = ("e", 1)
CHECKS_S = 0.12


class Fleet:
    """Stands for the catalogue, and accepts connections or does not."""

    def __init__(self, *, accepts):
        self.accepts = iter(accepts)
        self.connections = 0
        self.endpoints = {}
        self.register(*OWN)

    def register(self, name, started_at_ms, address=ADDRESS):
        self.endpoints[name] = types.SimpleNamespace(
            endpoint=types.SimpleNamespace(
                address=address,
                start=catalogue_types.EndpointStart(
                    ids.EndpointId(name), started_at_ms
                ),
            )
        )

    def find_start(self, name):
        tracked = self.endpoints.get(name)
        return None if tracked is None else tracked.endpoint.start

    async def refuses_connections(self, address):
        assert address == ADDRESS
        self.connections += 1
        return not next(self.accepts, False)


def find_whether_ended(monkeypatch, fleet, registered, silent_s=9.0):
    """Returns whether an endpoint has ended, as its entry has changed."""
    monkeypatch.setattr(ended_endpoints, "CHECK_PERIOD_S", 0.01)
    ended = ended_endpoints.EndedEndpoints(
        fleet,
        fleet.refuses_connections,
        lambda: examples.make_bounds(free_s=4.0),
    )
    active_at_s = clock.now_s() - silent_s

    async def run():
        waiting = asyncio.create_task(
            ended.wait_until_ended(PLACEMENT, lambda: active_at_s)
        )
        await asyncio.sleep(0)
        fleet.endpoints.clear()
        for entry in registered:
            fleet.register(*entry)
        await asyncio.wait((waiting,), timeout=CHECKS_S)
        is_over = waiting.done()
        waiting.cancel()
        return is_over

    return asyncio.run(run())


@pytest.mark.parametrize(
    "registered",
    [(), [("f", 2, "127.0.0.1:2")], [("f", 2)], [("e", 2)]],
    ids=["gone", "others", "address reused", "restarted"],
)
def test_silent_endpoint_without_an_entry_has_ended(monkeypatch, registered):
    fleet = Fleet(accepts=())
    assert find_whether_ended(monkeypatch, fleet, registered)


def test_one_refused_connection_is_no_sign_of_an_end(monkeypatch):
    fleet = Fleet(accepts=[False, True] * 99)
    assert not find_whether_ended(monkeypatch, fleet, ())
    assert fleet.connections > 2


# A busy engine is silent, and refuses connections beyond its limit.
def test_endpoint_with_its_entry_has_not_ended(monkeypatch):
    fleet = Fleet(accepts=())
    assert not find_whether_ended(monkeypatch, fleet, [OWN])
    assert not find_whether_ended(monkeypatch, fleet, [OWN, ("f", 2)])
    assert not fleet.connections


@pytest.mark.parametrize("registered", [(), [("f", 2)]])
def test_endpoint_that_has_sent_something_has_not_ended(
    monkeypatch, registered
):
    fleet = Fleet(accepts=())
    assert not find_whether_ended(monkeypatch, fleet, registered, silent_s=1.5)
    assert not fleet.connections
