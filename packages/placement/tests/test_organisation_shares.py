"""Tests shares of organisations, and replays one that sends too much."""

from __future__ import annotations

import dataclasses

import pytest

from poplarwick_bench.replay import engines
from poplarwick_bench.replay import senders
from poplarwick_bench.replay import traffic
from poplarwick_core import ids
from poplarwick_placement import load_management
from poplarwick_placement import messages
from poplarwick_placement import organisation_shares

OTHERS = tuple(f"o{n}" for n in range(5))
KEPT_SHARE = 0.95
"""Part of what they get without the largest sender that the others keep."""

REQUIRED_RATES = dict.fromkeys(senders.KINDS, 1 / len(OTHERS))
SPAN_S = (0.0, 12.0)


def make_request(organisation, tokens=5_000, priority=0):
    kind = dataclasses.replace(traffic.LABEL, target_s=0.3)
    return traffic.make_request(
        kind, 0.0, tokens, 30, "r", priority, organisation
    )


def fill(shares, organisation, count, now_s=0.0, **options):
    keys = [(organisation, now_s, n) for n in range(count)]
    for key in keys:
        shares.record_start(key, make_request(organisation, **options), now_s)
    return keys


def replay(factor, *, has_contention, seed, names=OTHERS, rates=REQUIRED_RATES):
    found = [senders.Sender(name, rates, SPAN_S) for name in names]
    if factor:
        large = {kind: factor * rate for kind, rate in REQUIRED_RATES.items()}
        found.append(senders.Sender("large", large, SPAN_S))
    return senders.replay(found, has_contention=has_contention, seed=seed)


def earn(factor, *, has_contention, seed):
    jobs = replay(factor, has_contention=has_contention, seed=seed)
    return senders.calculate_earned_weight(jobs, *OTHERS)


def test_others_keep_what_they_get_beside_a_sender_of_ten_shares():
    seeds = (2, 3)
    alone = sum(earn(0, has_contention=False, seed=seed) for seed in seeds)
    without = sum(earn(10, has_contention=False, seed=seed) for seed in seeds)
    shared = sum(earn(10, has_contention=True, seed=seed) for seed in seeds)
    assert without < KEPT_SHARE * alone <= shared


def test_organisation_that_is_alone_gets_what_it_gets_without_shares():
    earned = [
        senders.calculate_earned_weight(
            replay(10, has_contention=has_contention, seed=1, names=()), "large"
        )
        for has_contention in (False, True)
    ]
    assert earned[0] == earned[1]


@pytest.mark.parametrize("seed", [1, 2])
def test_idle_shares_are_available_at_once(seed):
    """A sender of ten shares loses nothing while engines are idle."""
    rates = {kind: rate / 4 for kind, rate in REQUIRED_RATES.items()}
    earned = []
    for has_contention in (False, True):
        jobs = replay(
            2.5, has_contention=has_contention, seed=seed, rates=rates
        )
        earned.append(senders.calculate_earned_weight(jobs, "large"))
    assert earned[1] >= 0.99 * earned[0]


def test_long_prompts_do_not_hold_back_short_ones_of_their_organisation():
    shares = organisation_shares.OrganisationShares()
    for name in OTHERS:
        fill(shares, name, 2)
    fill(shares, "large", 5, tokens=190_000)
    assert shares.calculate_excess(make_request("large", 190_000), 1.0) > 0
    assert shares.calculate_excess(make_request("large"), 1.0) == 0


def test_excess_is_zero_within_the_share_and_fades_after_the_load():
    shares = organisation_shares.OrganisationShares()
    for name in OTHERS:
        fill(shares, name, 5)
    keys = fill(shares, "large", 50)
    assert shares.calculate_excess(make_request("large"), 0.0) >= 3
    assert {
        shares.calculate_excess(make_request(name), 0.0) for name in OTHERS
    } == {0.0}
    for key in keys:
        shares.record_end(key, 3.0)
    assert shares.calculate_excess(make_request("large"), 3.0) > 0
    assert shares.calculate_excess(make_request("large"), 40.0) == 0


@pytest.mark.parametrize(("priority", "waits"), [(0, False), (1, True)])
def test_large_sender_waits_for_others_of_no_lower_priority(priority, waits):
    shares = organisation_shares.OrganisationShares()
    fill(shares, "small", 1)
    fill(shares, "large", 20)
    shares.record_wait(make_request("small", 190_000, priority=1), 0.0)
    request = make_request("large", priority=priority)
    assert shares.must_wait(request, 0.05) is waits
    assert not shares.must_wait(request, 1.0)


def test_new_request_of_large_sender_does_not_pass_a_long_prompt():
    """A request is decided on at its arrival, before the next round."""
    scheduler = engines.make_scheduler(
        management=load_management.make_load_management(has_contention=True)
    )
    engines.Simulation(scheduler, 2)
    for n in range(2):
        scheduler.adopt(
            f"small {n}",
            make_request("small"),
            ids.EndpointId(f"e{n}"),
            0.0,
            has_begun=True,
        )
    for n in range(8):
        scheduler.adopt(
            f"large {n}",
            make_request("large"),
            ids.EndpointId("e0"),
            0.0,
            has_begun=True,
        )
    scheduler.submit("long", make_request("small", 190_000), 0.0)
    scheduler.submit("new", make_request("large"), 0.0)
    assert scheduler.decide_new("new", 0.0) is None
    scheduler.submit("of small", make_request("small"), 0.0)
    scheduler.record_end("new", messages.Result.GIVEN_UP, 0.0)
    assert isinstance(scheduler.decide_new("of small", 0.0), messages.Placement)


def test_takeover_rebuilds_shares_from_running_requests():
    scheduler = engines.make_scheduler(
        management=load_management.make_load_management(has_contention=True)
    )
    management = scheduler._management
    engines.Simulation(scheduler, 8)
    for n, name in enumerate([*OTHERS, *["large"] * 30]):
        scheduler.adopt(
            n,
            make_request(name),
            ids.EndpointId(f"e{n % 8}"),
            0.0,
            has_begun=True,
        )
    assert management.calculate_excess(make_request("large"), 0.0) > 0
    assert management.calculate_excess(make_request("o1"), 0.0) == 0


def test_number_of_organisations_is_bounded():
    shares = organisation_shares.OrganisationShares()
    for n in range(2 * organisation_shares.MAX_ORGANISATIONS):
        (key,) = fill(shares, f"o{n}", 1)
        shares.record_end(key, 0.0)
    largest = shares.list_largest(10**6, 0.0)
    assert len(largest) == organisation_shares.MAX_ORGANISATIONS
