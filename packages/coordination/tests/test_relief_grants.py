"""How many instances of a failure domain may turn callers away."""

from __future__ import annotations

import collections

from poplarwick_coordination import relief_grants

DOMAINS = {f"i{number}": "abc"[number % 3] for number in range(130)}
BEGAN_S = 100.0
SETTLED_S = BEGAN_S + relief_grants.GRANT_TTL_S


def count_by_domain(instances):
    return collections.Counter(DOMAINS[instance] for instance in instances)


def test_no_more_than_a_quarter_of_a_domain_is_relieved():
    """All weak instances fall behind at once, in a burst of callers."""
    grants = relief_grants.ReliefGrants(BEGAN_S)
    relieved = grants.review(DOMAINS.keys(), DOMAINS, SETTLED_S)
    assert count_by_domain(relieved) == {"a": 11, "b": 10, "c": 10}
    assert grants.review(DOMAINS.keys(), DOMAINS, SETTLED_S + 60) == relieved


def test_relief_passes_on_once_an_instance_has_caught_up():
    grants = relief_grants.ReliefGrants(BEGAN_S)
    domains = {name: "a" for name in "wxyz"}
    assert grants.review({"x"}, domains, SETTLED_S) == {"x"}
    assert grants.review({"x", "y"}, domains, SETTLED_S + 1) == {"x"}
    # It acts on its grant until it has heard that the grant has ended.
    assert grants.review({"y"}, domains, SETTLED_S + 2) == set()
    assert grants.review({"y"}, domains, SETTLED_S + 4) == {"y"}


def test_instance_that_was_lost_counts_until_its_grant_has_ended():
    grants = relief_grants.ReliefGrants(BEGAN_S)
    domains = {name: "a" for name in "wxyz"}
    assert grants.review({"x"}, domains, SETTLED_S) == {"x"}
    assert grants.review({"y"}, domains, SETTLED_S + 1.9) == set()
    assert grants.review({"y"}, domains, SETTLED_S + 2.0) == {"y"}


def test_new_placer_waits_for_the_grants_of_its_predecessor():
    grants = relief_grants.ReliefGrants(BEGAN_S)
    assert not grants.review({"i0"}, DOMAINS, SETTLED_S - 0.1)
    assert grants.review({"i0"}, DOMAINS, SETTLED_S) == {"i0"}


def test_domain_of_three_instances_relieves_none():
    grants = relief_grants.ReliefGrants(BEGAN_S)
    domains = {name: "a" for name in "xyz"}
    assert not grants.review(domains.keys(), domains, SETTLED_S)
