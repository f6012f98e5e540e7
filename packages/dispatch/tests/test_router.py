"""Tests of the ranking of instances."""

from __future__ import annotations

import dispatch_fakes as fakes

from poplarwick_core import ids
from poplarwick_dispatch import router as routers
from poplarwick_peers import membership
from poplarwick_peers.wire import grant_pb2

MEMBERS = tuple(
    membership.Member(f"i{n}", f"127.0.0.1:{n}", "d1", "r1", 1)
    for n in range(8)
)


def _rank(subject, digest=7, members=MEMBERS):
    request = fakes.make_request(prefix_digests=[digest])
    return subject.rank(request, members)


def test_rank_depends_on_prefix_and_is_stable_when_a_member_leaves():
    subject = routers.Router()
    firsts = {d: _rank(subject, d)[0] for d in range(1, 400)}
    assert len(set(firsts.values())) == len(MEMBERS)
    left = MEMBERS[1:]
    moved = [
        d
        for d, first in firsts.items()
        if first != "i0" and _rank(subject, d, left)[0] != first
    ]
    assert moved == []


def test_busy_instance_ranks_lower_until_the_hint_expires():
    time_s = [0.0]
    subject = routers.Router(lambda: time_s[0])
    ranked = _rank(subject)
    room = grant_pb2.Room(model="m", queue_s=9.0, free_tokens=10**6)
    subject.record_hints(ranked[0], [room])
    assert _rank(subject)[0] == ranked[1]
    time_s[0] += routers.HINT_TTL_S + 1
    assert _rank(subject) == ranked


def test_instance_without_memory_or_endpoint_is_skipped():
    subject = routers.Router()
    ranked = _rank(subject)
    room = grant_pb2.Room(model="m", queue_s=0.0, free_tokens=10)
    subject.record_hints(ranked[0], [room])
    absent = grant_pb2.Room(model="m", is_absent=True)
    subject.record_hints(ranked[1], [absent])
    subject.record_refusal(ranked[2], "m", grant_pb2.REFUSAL_NOT_OWNER)
    assert _rank(subject)[0] == ranked[3]
    assert not {ranked[1], ranked[2]} & set(_rank(subject))


def test_expired_absences_cost_one_hop_only():
    time_s = [0.0]
    subject = routers.Router(lambda: time_s[0])
    ranked = sorted(m.instance for m in MEMBERS)
    for instance in ranked[:5]:
        subject.record_refusal(instance, "m", grant_pb2.REFUSAL_NOT_OWNER)
    time_s[0] += routers.ABSENT_TTL_S + 1
    for digest in range(1, 50):
        contacted = _rank(subject, digest)
        assert len(set(contacted) & set(ranked[:5])) == 1
    room = grant_pb2.Room(model="m", free_tokens=10**6)
    subject.record_hints(ranked[0], [room])
    assert any(_rank(subject, d)[0] == ranked[0] for d in range(1, 50))


def test_hops_are_bounded_and_few_members_are_contacted_again():
    for members in (MEMBERS, MEMBERS[:2], MEMBERS[:1]):
        ranked = _rank(routers.Router(), members=members)
        assert len(ranked) == routers.MAX_HOPS
        distinct = min(len(members), routers.MAX_HOPS)
        assert len(set(ranked)) == distinct
        assert distinct == routers.MAX_HOPS or ranked[-1] == ranked[0]
    assert _rank(routers.Router(), members=()) == []


def test_forgotten_instance_leaves_no_hint():
    subject = routers.Router()
    ranked = _rank(subject)
    room = grant_pb2.Room(model="m", queue_s=9.0)
    subject.record_hints(ranked[0], [room])
    subject.forget(ids.InstanceId(ranked[0]))
    assert _rank(subject) == ranked
