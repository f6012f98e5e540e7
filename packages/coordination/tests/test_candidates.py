"""Tests how fleet-wide bounds are divided among schedulers."""

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


def spend_retries(budget, now_s=0.0):
    count = 0
    while budget.take(now_s):
        count += 1
    return count


def make_budget(scope, members):
    return candidates.make_retry_budget(
        lambda: BOUNDS, scope, lambda: len(members), now_s=0.0
    )


def test_retry_share_of_an_instance_shrinks_as_members_appear():
    members = ["own"]
    budget = make_budget(candidates.Scope.INSTANCE, members)
    budget.count_request(0.0)
    members.extend(f"other-{n}" for n in range(5))
    share = BOUNDS.repeat_extra * candidates.LOCAL_RETRY_SHARE
    assert spend_retries(budget) <= share / len(members) + 1


def test_retry_share_of_an_instance_follows_changed_bounds():
    bounds = [BOUNDS]
    budget = candidates.make_retry_budget(
        lambda: bounds[0], candidates.Scope.INSTANCE, lambda: 1, now_s=0.0
    )
    bounds[0] = examples.make_bounds(repeat_ratio=0.0, repeat_extra=0.0)
    assert spend_retries(budget) == 0


@pytest.mark.parametrize("instances", [1, 8, 60])
def test_retry_shares_do_not_exceed_the_allowance(instances):
    members = range(instances)
    placer_retries = sum(
        spend_retries(make_budget(candidates.Scope.FLEET, members))
        for _ in range(1)
    )
    # A placer that stopped within this window has used at most its full share.
    predecessor_retries = BOUNDS.repeat_extra * candidates.PLACER_RETRY_SHARE
    local_retries = sum(
        spend_retries(make_budget(candidates.Scope.INSTANCE, members))
        for _ in members
    )
    assert (
        placer_retries + predecessor_retries + local_retries
        <= BOUNDS.repeat_extra
    )


POOL = ids.ServiceId("pool")


def make_catalogue(instances, cold_per_s, endpoints=5):
    catalogue_ = catalogue.Catalogue(mirror.Mirror(), lambda *_: None)
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
    catalogue_.routing = routing.make_routing(
        routing.Entries(1, [], [service], limits, None)
    )
    for number in range(instances):
        name = ids.InstanceId(f"front-{number}")
        catalogue_.members[name] = catalogue.MemberItem(name, "127.0.0.1:3")
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
        catalogue_.endpoints[endpoint.id] = catalogue.TrackedEndpoint(
            endpoint, 3.0
        )
    return catalogue_


@pytest.mark.parametrize("instances", [1, 6, 60, 82, 300])
@pytest.mark.parametrize("cold_per_s", [0.0, 2.0, 36.0])
def test_cold_limits_of_all_schedulers_do_not_exceed_the_endpoint_limit(
    instances, cold_per_s
):
    catalogue_ = make_catalogue(instances, cold_per_s)
    fleet = candidates.make_candidates(
        catalogue_, examples.make_deployment("front-0"), candidates.Scope.FLEET
    )
    local = [
        candidates.make_candidates(
            catalogue_,
            examples.make_deployment(name),
            candidates.Scope.INSTANCE,
        )
        for name in catalogue_.members
    ]
    limit = cold_per_s * BOUNDS.cold_factor + BOUNDS.cold_slack
    for number, placer in enumerate(fleet):
        total = 2 * placer.cold_limit
        total += sum(candidates_[number].cold_limit for candidates_ in local)
        assert total <= limit


def test_each_disconnected_instance_may_send_to_a_cold_endpoint():
    catalogue_ = make_catalogue(8, 2.0, endpoints=40)
    for name in catalogue_.members:
        found = candidates.make_candidates(
            catalogue_,
            examples.make_deployment(name),
            candidates.Scope.INSTANCE,
        )
        assert any(candidate.cold_limit >= 1 for candidate in found)
