"""Which instances are asked to relay a connection."""

from __future__ import annotations

import collections
import random
import types

from poplarwick_catalogue import catalogue
from poplarwick_reach import relay_choice

DOMAINS = ("a", "b", "c")


def make_members(count, regions=("r",)):
    return {
        f"i{n}": catalogue.MemberItem(
            f"i{n}",
            f"10.0.0.{n}:7340",
            1.0,
            f"{regions[n % len(regions)]}-{DOMAINS[n % len(DOMAINS)]}",
        )
        for n in range(count)
    }


def make_choice(instance, domain, seed=1):
    deployment = types.SimpleNamespace(
        instance=instance,
        domain=domain,
        region=domain[0],
        regions_by_domain={
            f"{region}-{name}": region for region in "rs" for name in DOMAINS
        },
    )
    return relay_choice.RelayChoice(deployment, random.Random(seed))


def test_own_domain_is_asked_first_and_never_itself():
    members = make_members(9)
    chosen = make_choice("i0", "r-a").choose(members, 0.0)
    assert {member.instance for member in chosen[:2]} == {"i3", "i6"}
    assert len(chosen) == relay_choice.MAX_ASKED


def test_requests_do_not_leave_their_region():
    members = make_members(6, regions=("r", "s"))
    chosen = make_choice("i0", "r-a").choose(members, 0.0)
    assert {member.domain[0] for member in chosen} == {"r"}
    unknown = {"x": catalogue.MemberItem("x", "10.0.0.9:7340")}
    assert not make_choice("i0", "r-a").choose(unknown, 0.0)


def test_instances_that_declined_are_asked_last_for_a_time():
    members = make_members(3)
    choice = make_choice("i0", "r-a")
    choice.record_declined("i1", 10.0)
    for _ in range(10):
        assert [m.instance for m in choice.choose(members, 10.5)] == [
            "i2",
            "i1",
        ]
    later_s = 10.0 + relay_choice.AVOIDED_S
    firsts = {choice.choose(members, later_s)[0].instance for _ in range(30)}
    assert firsts == {"i1", "i2"}


def test_one_instance_is_asked_while_all_decline():
    members = make_members(9)
    choice = make_choice("i0", "r-a")
    told = 0
    for step in range(100):
        asked = choice.choose(members, step / 100)
        for member in asked:
            told += choice.record_declined(member.instance, step / 100)
        if step > 2:
            assert len(asked) == 1
    assert told <= 2 * len(members)


def test_hundred_of_195_instances_find_relays_and_share_them_evenly():
    """Each sends ten requests a second for three seconds."""
    members = make_members(195)
    cut = {f"i{n}" for n in range(100)}
    choices = {
        name: make_choice(name, members[name].domain, seed)
        for seed, name in enumerate(sorted(cut))
    }
    carried, failed, asked = collections.Counter(), 0, 0
    for step in range(30):
        now_s = step / 10
        for choice in choices.values():
            for member in choice.choose(members, now_s):
                asked += 1
                if member.instance in cut:
                    choice.record_declined(member.instance, now_s)
                    continue
                choice.record_relayed(member.instance)
                carried[member.instance] += 1
                break
            else:
                failed += 1
    requests = 30 * len(cut)
    assert failed < 0.1 * requests
    assert len(carried) == 95
    assert max(carried.values()) < 3 * requests / 95
    assert asked < 2.5 * requests


def test_only_instances_may_ask_and_only_for_endpoints():
    members, endpoints = {"10.0.0.1"}, {"10.1.0.1:80"}
    for host, address, expected in (
        ("10.0.0.1", "10.1.0.1:80", True),
        ("10.9.9.9", "10.1.0.1:80", False),
        ("10.0.0.1", "10.0.0.1:7340", False),
        ("10.0.0.1", "10.1.0.1:81", False),
    ):
        allowed = relay_choice.may_be_relayed(host, members, address, endpoints)
        assert allowed is expected
