"""Shares of the bounds that hold over all instances together."""

from __future__ import annotations

import pytest

from poplarwick_bench import examples
from poplarwick_catalogue import catalogue
from poplarwick_catalogue import routing
from poplarwick_catalogue import types
from poplarwick_coordination import candidates
from poplarwick_core import ids
from poplarwick_platform import mirror

BOUNDS = examples.BOUNDS


def take_all(budget, now_s=0.0):
    taken = 0
    while budget.take(now_s):
        taken += 1
    return taken


def make_budget(scope, members):
    return candidates.make_budget(
        lambda: BOUNDS, scope, lambda: len(members), now_s=0.0
    )


def test_an_instances_share_of_repeats_shrinks_as_it_learns_of_others():
    members = ["own"]
    budget = make_budget(candidates.Scope.INSTANCE, members)
    budget.count_request(0.0)
    members.extend(f"other-{n}" for n in range(5))
    whole = BOUNDS.repeat_extra * candidates.ALONE_REPEATS
    assert take_all(budget) <= whole / len(members) + 1


def test_an_instances_share_of_repeats_follows_changed_bounds():
    bounds = [BOUNDS]
    budget = candidates.make_budget(
        lambda: bounds[0], candidates.Scope.INSTANCE, lambda: 1, now_s=0.0
    )
    bounds[0] = examples.make_bounds(repeat_ratio=0.0, repeat_extra=0.0)
    assert take_all(budget) == 0


@pytest.mark.parametrize("instances", [1, 8, 60])
def test_shares_of_repeats_add_up_to_no_more_than_the_allowance(instances):
    members = range(instances)
    placers = sum(
        take_all(make_budget(candidates.Scope.FLEET, members)) for _ in range(1)
    )
    # A placer that ended in this window has used its whole share at most.
    before = BOUNDS.repeat_extra * candidates.PLACER_REPEATS
    alone = sum(
        take_all(make_budget(candidates.Scope.INSTANCE, members))
        for _ in members
    )
    assert placers + before + alone <= BOUNDS.repeat_extra


POOL = ids.ServiceId("pool")


def make_known(instances, cold_per_s, endpoints=5):
    known = catalogue.Catalogue(mirror.Mirror(), lambda *_: None)
    service = types.Service(
        id=POOL,
        health_path="/health",
        max_connections=100,
        cold_start_s=3.0,
        cold_requests_per_s=cold_per_s,
        engine=None,
    )
    limits = types.CallerLimits(
        header_bytes=1, body_bytes=1, header_timeout_s=1.0, idle_timeout_s=1.0
    )
    known.routing = routing.make_routing(1, [], [service], limits, None)
    for number in range(instances):
        name = ids.InstanceId(f"front-{number}")
        known.members[name] = catalogue.MemberItem(name, "127.0.0.1:3")
    for number in range(endpoints):
        endpoint = types.Endpoint(
            id=ids.EndpointId(f"e{number}"),
            service=POOL,
            address="127.0.0.1:1",
            domain=ids.DomainId("a"),
            slots=8,
            state=types.EndpointState.READY,
            cold_left_s=3.0,
            started_at_ms=1,
        )
        known.endpoints[endpoint.id] = catalogue.TrackedEndpoint(endpoint, 3.0)
    return known


@pytest.mark.parametrize("instances", [1, 6, 60, 82, 300])
@pytest.mark.parametrize("cold_per_s", [0.0, 2.0, 36.0])
def test_sends_of_all_desks_stay_within_a_cold_endpoints_bound(
    instances, cold_per_s
):
    known = make_known(instances, cold_per_s)
    fleet = candidates.make_candidates(
        known, examples.make_deployment("front-0"), candidates.Scope.FLEET
    )
    alone = [
        candidates.make_candidates(
            known, examples.make_deployment(name), candidates.Scope.INSTANCE
        )
        for name in known.members
    ]
    bound = cold_per_s * BOUNDS.cold_factor + BOUNDS.cold_slack
    for number, placer in enumerate(fleet):
        total = 2 * placer.cold_limit
        total += sum(own[number].cold_limit for own in alone)
        assert total <= bound


def test_each_instance_alone_may_send_to_some_cold_endpoint():
    known = make_known(8, 2.0, endpoints=40)
    for name in known.members:
        own = candidates.make_candidates(
            known, examples.make_deployment(name), candidates.Scope.INSTANCE
        )
        assert any(candidate.cold_limit >= 1 for candidate in own)
