"""Quarantines that arrive in any order, from instances and from the store."""

from __future__ import annotations

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarwick_catalogue import quarantines

POOL = "pool"


def make_quarantine(*parts, service=POOL, **changes):
    return quarantines.Quarantine(service, frozenset(parts), **changes)


def test_prompt_with_all_parts_is_refused():
    known = quarantines.Quarantines()
    known.impose(make_quarantine("a", "b"))
    assert known.find(POOL, ("x", "b", "a"))
    assert not known.find(POOL, ("a", "x"))
    assert not known.find("other", ("a", "b"))


def test_copies_of_a_request_are_refused():
    known = quarantines.Quarantines()
    known.impose(make_quarantine(fingerprint="f0"))
    assert known.find(POOL, (), "f0")
    assert known.find(POOL, ("a",), "f0")
    assert not known.find(POOL, ("a",), "f1")
    assert not known.find(POOL, ("a",))
    assert not known.find("other", (), "f0")


@pytest.mark.parametrize(
    "parts, fingerprint", [((), None), ((), ""), (("a",), "f0")]
)
def test_quarantine_is_of_either_parts_or_a_request(parts, fingerprint):
    with pytest.raises(ValueError, match="either parts or a request"):
        make_quarantine(*parts, fingerprint=fingerprint)


def test_quarantines_of_requests_and_parts_have_different_ids():
    wanted = [
        make_quarantine("f0"),
        make_quarantine("f0", "request"),
        make_quarantine(fingerprint="f0"),
        make_quarantine(fingerprint="f1"),
    ]
    assert len({quarantine.id for quarantine in wanted}) == len(wanted)


def test_parts_are_refused_again_after_they_were_lifted():
    known = quarantines.Quarantines()
    assert known.impose(make_quarantine("a"))
    assert not known.impose(make_quarantine("a"))
    assert known.merge(known.known[0].lift("operator"))
    assert not known.find(POOL, ("a",))
    assert known.impose(make_quarantine("a"))
    assert known.find(POOL, ("a",)).generation == 3


@given(
    st.permutations(
        [
            make_quarantine("a", generation=number, is_lifted=number % 2 == 0)
            for number in range(1, 6)
        ]
    )
)
def test_last_generation_wins_in_any_order_of_arrival(arrivals):
    known = quarantines.Quarantines()
    told = []
    known.add_listener(told.append)
    for quarantine in arrivals:
        known.merge(quarantine)
    assert known.known == (make_quarantine("a", generation=5),)
    assert known.in_force_count == 1
    generations = [quarantine.generation for quarantine in told]
    assert generations == sorted(set(generations))


def test_number_of_quarantines_is_bounded():
    known = quarantines.Quarantines()
    for number in range(quarantines.MAX_QUARANTINES + 10):
        known.impose(make_quarantine(f"p{number}"))
    assert len(known.known) == quarantines.MAX_QUARANTINES
    assert not known.find(POOL, ("p0",))


def test_id_does_not_depend_on_the_order_of_parts_or_on_evidence():
    one = make_quarantine("a", "b", endpoints=("i-1",), imposed_by="x")
    other = dataclasses.replace(make_quarantine("b", "a"), generation=7)
    assert one.id == other.id
    assert one.id != make_quarantine("a", "b", service="other").id
