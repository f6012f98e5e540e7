"""Tests of the prefix view and of prefix affinity."""

from __future__ import annotations

import asyncio

import dispatch_fakes as fakes

from poplarwick_dispatch import prefixes
from poplarwick_endpoints import messages
from poplarwick_peers.wire import grant_pb2

STORED = messages.CacheOperation.STORED
EVICTED = messages.CacheOperation.EVICTED


def _apply(view, *events, restart_id="a"):
    found = tuple(messages.CacheEvent(*event) for event in events)
    view.apply(messages.CacheEvents(restart_id, found))


def test_cached_tokens_grow_with_each_known_prefix():
    view = prefixes.PrefixView()
    _apply(view, (1, STORED, 11), (2, STORED, 12), (3, STORED, 14))
    assert view.estimate_cached_tokens([11, 12, 13, 14]) == 4_096
    _apply(view, (4, EVICTED, 11))
    assert view.estimate_cached_tokens([11, 12]) == 0


def test_gap_or_restart_clears_the_view():
    view = prefixes.PrefixView()
    _apply(view, (1, STORED, 11))
    _apply(view, (3, STORED, 12))
    assert view.estimate_cached_tokens([11]) == 0
    assert view.estimate_cached_tokens([12]) > 0
    _apply(view, (4, STORED, 11), restart_id="b")
    assert view.estimate_cached_tokens([12]) == 0


def test_repeated_events_change_nothing_and_memory_is_bounded():
    view = prefixes.PrefixView()
    many = [(n, STORED, n) for n in range(1, prefixes.MAX_DIGESTS + 100)]
    _apply(view, *many)
    assert view.estimate_cached_tokens([1]) == 0
    _apply(view, (5, EVICTED, many[-1][0]))
    assert view.estimate_cached_tokens([many[-1][0]]) > 0


def test_affinity_yields_when_the_wait_costs_more():
    async def main():
        async with fakes.Testbed() as testbed:
            event = messages.CacheEvent(1, STORED, 77)
            testbed.find_engine("e1").events.append(event)
            await asyncio.sleep(3)
            request = {"prompt": 8_000, "prefix_digests": [77]}
            first = (await testbed.acquire(**request)).grant
            assert first.endpoint == "e1"
            # The prefill ahead costs more than the cached tokens save.
            second = (await testbed.acquire(**request)).grant
            assert second.endpoint == "e0"
            for grant in (first, second):
                await testbed.report(grant, grant_pb2.REPORT_COMPLETE)
            assert (await testbed.acquire(**request)).grant.endpoint == "e1"

    fakes.run(main())
