"""Which requests are blamed for the crashes of endpoints."""

from __future__ import annotations

import random

import crash_fixtures
import pytest

from poplarwick_core import ids
from poplarwick_placement import crash_evidence
from poplarwick_placement import crash_records
from poplarwick_placement import request_evidence

COMMON = "c0"
"""Part that all prompts share."""

JUST_BEGUN_S = 0.09
LONG_BEGUN_S = 1.2
CRASHES = request_evidence.CULPRIT_CRASHES

make_endpoint = crash_fixtures.make_endpoint


def make_request(name, *, parts=(COMMON,), **changes):
    return crash_fixtures.make_request(
        *parts, fingerprint=ids.RequestFingerprint(name), **changes
    )


class Fleet:
    """Endpoints that crash under requests, given by name and writing time."""

    def __init__(self, *, has_answers=True):
        self.evidence = crash_evidence.CrashEvidence()
        self.has_answers = has_answers
        self._count = 0

    def crash(self, at_s, *cuts, sent_at_s=None, version="v1", confirms=True):
        self._count += 1
        endpoint = make_endpoint(self._count, version=version)
        for cut in cuts:
            request, written_s = cut if isinstance(cut, tuple) else (cut, None)
            if isinstance(request, str):
                request = make_request(request)
            self.evidence.record_cut(
                endpoint,
                request,
                written_s,
                at_s,
                at_s - 0.08 if sent_at_s is None else sent_at_s,
            )
        if confirms:
            self.evidence.record_unanswered(endpoint, at_s + 0.01)
        if self.has_answers:
            self.answer(f"sound {self._count}", at_s + 0.02, version=version)

    def answer(self, request, at_s, *, version="v1"):
        if isinstance(request, str):
            request = make_request(request)
        self.evidence.record_complete(
            make_endpoint(0, version=version), request, at_s
        )

    def find_blamed(self):
        return [
            culprit.fingerprint or set(culprit.parts)
            for culprit in self.evidence.find_culprits()
        ]


def tell_sound_answers(earlier, later):
    """Tells a placer what an instance has seen answered."""
    for scope, answer in earlier.evidence.list_sound_answers():
        later.evidence.adopt_sound_answer(scope, answer)


@pytest.mark.parametrize("written_s", [None, 0.0, JUST_BEGUN_S])
def test_request_of_three_crashes_is_blamed(written_s):
    fleet = Fleet()
    for number in range(CRASHES):
        assert not fleet.find_blamed()
        fleet.crash(0.3 * number, ("bad", written_s))
    (culprit,) = fleet.evidence.find_culprits()
    assert culprit.fingerprint == "bad"
    assert not culprit.parts
    assert culprit.endpoints == ("i-1", "i-2", "i-3")
    assert not fleet.find_blamed()


def test_retry_within_the_moment_of_its_first_crash_counts():
    """Two attempts end two endpoints within 0.06 s; its next copy the third."""
    fleet = Fleet()
    fleet.crash(1.00, "bad", sent_at_s=0.95)
    fleet.crash(1.06, "bad", sent_at_s=1.01)
    fleet.crash(1.12, "bad", sent_at_s=1.07)
    assert fleet.find_blamed() == ["bad"]


def test_copies_on_engines_that_lose_power_together_count_once():
    fleet = Fleet()
    for number in range(8):
        fleet.crash(1.0 + 0.01 * number, "sound", sent_at_s=0.9)
    assert not fleet.find_blamed()


def test_copies_at_all_instances_at_once_are_blamed_with_their_retries():
    """Eight copies and their retries, before anybody knows anything."""
    fleet = Fleet()
    for turn in range(CRASHES):
        assert not fleet.find_blamed()
        for number in range(8):
            at_s = 1.0 + 0.08 * turn + 0.002 * number
            fleet.crash(at_s, "bad", sent_at_s=1.0 + 0.08 * turn - 0.02)
    assert fleet.find_blamed() == ["bad"]


def test_answer_in_between_shows_that_a_request_is_sound():
    fleet = Fleet()
    for number in range(20):
        fleet.crash(float(number), "sound")
        if number % 2:
            fleet.answer("sound", number + 0.5)
        assert not fleet.find_blamed()


def test_answer_that_was_written_for_a_time_shows_that_a_request_is_sound():
    fleet = Fleet()
    for number in range(20):
        fleet.crash(float(number), ("sound", LONG_BEGUN_S))
        assert not fleet.find_blamed()


def test_many_answers_of_the_past_do_not_protect_a_request():
    fleet = Fleet()
    for number in range(100):
        fleet.answer("bad", 0.01 * number)
    for number in range(CRASHES):
        fleet.crash(2.0 + number, "bad")
    assert fleet.find_blamed() == ["bad"]


def test_bystander_of_three_crashes_is_not_blamed():
    """It is told apart as soon as it is answered or a crash happens alone."""
    fleet = Fleet()
    for number in range(CRASHES):
        fleet.crash(0.3 * number, "bad", "bystander")
        assert not fleet.find_blamed()
    fleet.crash(2.0, "bad")
    assert fleet.find_blamed() == ["bad"]
    fleet.crash(3.0, "bystander")
    assert not fleet.find_blamed()
    assert not fleet.evidence.is_suspected(
        make_request("bystander", was_cut_off=True)
    )


def test_requests_that_are_never_told_apart_are_blamed_together():
    fleet = Fleet()
    for number in range(request_evidence.AMBIGUOUS_CRASHES):
        assert not fleet.find_blamed()
        fleet.crash(0.3 * number, "bad", "bystander")
    assert sorted(fleet.find_blamed()) == ["bad", "bystander"]


def test_shared_parts_of_a_crashing_request_are_not_blamed():
    fleet = Fleet()
    rare = make_request("bad", parts=(COMMON, "rare"))
    for number in range(CRASHES):
        fleet.crash(0.3 * number, rare)
    assert fleet.find_blamed() == ["bad"]
    for number in range(9):
        fleet.crash(2.0 + number, rare)
    # One crash beside it is not enough for a part.
    fleet.crash(20.0, make_request("other", parts=(COMMON, "rare")))
    assert not fleet.find_blamed()


def test_part_that_crashes_is_blamed_although_one_request_came_first():
    """Each request with the part is sent three times, the first one first."""
    fleet = Fleet()
    blamed, crashes = [], 0
    for number in range(9):
        request = make_request(f"bad {number // 3}", parts=(COMMON, "bad"))
        if {"bad"} in blamed:
            break
        fleet.crash(0.3 * number, request)
        fleet.answer("other", 0.3 * number + 0.1)
        blamed.extend(fleet.find_blamed())
        crashes += 1
    assert {"bad"} in blamed
    assert crashes <= 5


# Guards against a part that stays in use because its requests are blamed one by
# one before it (BUDGET).
def test_part_of_several_blamed_requests_is_blamed():
    fleet, blamed = Fleet(), []
    for request in range(CRASHES):
        for copy in range(CRASHES):
            fleet.crash(
                request + 0.3 * copy,
                make_request(f"bad {request}", parts=(COMMON, "bad")),
            )
            fleet.answer(
                make_request("other", parts=(COMMON,)),
                request + 0.3 * copy + 0.1,
            )
        blamed.extend(fleet.find_blamed())
    assert {"bad"} in blamed


def test_request_and_part_that_crash_at_the_same_time_are_both_blamed():
    fleet = Fleet()
    blamed = []
    for number in range(8):
        fleet.crash(number + 0.2, make_request("bad"))
        fleet.crash(
            number + 0.7, make_request(f"b{number}", parts=(COMMON, "crashing"))
        )
        fleet.answer("other", number + 0.8)
        blamed.extend(fleet.find_blamed())
    assert blamed == ["bad", {"crashing"}] or blamed == [{"crashing"}, "bad"]


def test_request_that_other_versions_of_the_software_survive_is_blamed():
    fleet = Fleet()
    for number in range(CRASHES):
        fleet.crash(0.3 * number, "bad", version="v2")
        fleet.answer("bad", 0.3 * number + 0.1, version="v1")
    (culprit,) = fleet.evidence.find_culprits()
    assert culprit.software_version == "v2"


def test_nothing_is_blamed_when_all_endpoints_crash_whatever_they_are_asked():
    fleet = Fleet(has_answers=False)
    for number in range(60):
        fleet.crash(0.3 * number, f"request {number % 5}")
        assert not fleet.find_blamed()


def test_request_that_comes_alone_is_blamed_if_others_were_answered_before():
    fleet = Fleet(has_answers=False)
    for number in range(CRASHES):
        fleet.crash(0.3 * number, "bad")
    assert not fleet.find_blamed()
    fleet = Fleet(has_answers=False)
    fleet.answer("other", -10.0)
    for number in range(CRASHES):
        fleet.crash(0.3 * number, "bad")
    assert fleet.find_blamed() == ["bad"]


def test_evidence_that_begins_after_all_sound_answers_blames_a_request():
    """Without them, it blamed nothing for any number of crashes."""
    earlier, later = Fleet(), Fleet(has_answers=False)
    earlier.answer("sound", 0.0)
    for number in range(CRASHES):
        later.crash(1.0 + 0.3 * number, "bad")
    assert not later.find_blamed()
    tell_sound_answers(earlier, later)
    assert later.find_blamed() == ["bad"]


def test_adopted_answers_do_not_displace_later_ones():
    """A part that all crashes involve needs an answer since the first one."""
    earlier, later = Fleet(), Fleet(has_answers=False)
    for number in range(crash_evidence.MAX_CONTRASTS):
        earlier.answer(make_request("old", parts=("other",)), 0.01 * number)
    for number in range(CRASHES):
        later.crash(1.0 + 0.3 * number, make_request(f"{number}"))
    later.answer(make_request("new", parts=("other",)), 2.0)
    tell_sound_answers(earlier, later)
    assert later.find_blamed() == [{COMMON}]


def test_few_sound_answers_of_each_service_are_told():
    fleet = Fleet()
    for number in range(20):
        fleet.answer(f"{number}", float(number))
        fleet.answer("repeated", number + 0.5)
    told = fleet.evidence.list_sound_answers()
    assert len(told) == crash_evidence.MAX_LISTED_ANSWERS
    # Whichever request is accused, one of them is another one.
    assert len({answer.fingerprint for _, answer in told}) == len(told)


def test_request_that_was_forgiven_is_blamed_after_as_many_new_crashes():
    fleet = Fleet()
    for turn in range(2):
        for number in range(CRASHES):
            assert not fleet.find_blamed()
            fleet.crash(10 * turn + 0.3 * number, "bad")
        (culprit,) = fleet.evidence.find_culprits()
        fleet.evidence.forgive(
            culprit.service, culprit.parts, culprit.fingerprint
        )


def test_request_is_accused_from_its_first_cut_until_it_is_answered():
    fleet = Fleet()
    request = make_request("bad")
    assert not fleet.evidence.is_accused(request)
    fleet.crash(1.0, request, confirms=False)
    assert fleet.evidence.is_accused(request)
    assert not fleet.evidence.is_accused(make_request("other"))
    assert not fleet.evidence.is_accused(make_request("bad", service="other"))
    fleet.answer(request, 2.0)
    assert not fleet.evidence.is_accused(request)


@pytest.mark.parametrize("seed", range(20))
def test_storm_of_crashes_condemns_the_crashing_request_only(seed):
    """Forty requests a second on twenty endpoints, one alike many times.

    Endpoints crash under the crashing request and, every half second, for other
    reasons. Requests that are cut off are sent again.
    """
    rng = random.Random(seed)
    evidence = crash_evidence.CrashEvidence()
    running = {n: [] for n in range(20)}
    blamed, crashes, next_number = [], 0, 20
    again = []
    for step in range(800):
        now_s = step / 40
        kind = rng.random()
        name = f"once {step}"
        if kind < 1 / 10:
            name = "twin"
        elif kind < 1 / 4 and "bad" not in blamed:
            name = "bad"
        for job in [name, *again]:
            number = rng.choice(list(running))
            running[number].append((job, now_s))
        again = []
        for number, jobs in running.items():
            for job in [j for j in jobs if now_s - j[1] > 0.3]:
                if job[0] != "bad":
                    jobs.remove(job)
                    evidence.record_complete(
                        make_endpoint(number), make_request(job[0]), now_s
                    )
        crashing = {
            number
            for number, jobs in running.items()
            if any(j[0] == "bad" and now_s - j[1] > 0.05 for j in jobs)
        }
        crashes += len(crashing)
        if step % 20 == 0:
            crashing.add(rng.choice(list(running)))
        for number in crashing:
            for job, sent_at_s in running.pop(number):
                evidence.record_cut(
                    make_endpoint(number),
                    make_request(job),
                    None,
                    now_s + 0.01,
                    sent_at_s,
                )
                if job != "bad":
                    again.append(job)
            evidence.record_unanswered(make_endpoint(number), now_s + 0.02)
            running[next_number] = []
            next_number += 1
        blamed.extend(c.fingerprint for c in evidence.find_culprits())
    assert blamed == ["bad"]
    assert crashes <= 4 * CRASHES


def test_memory_for_requests_is_bounded():
    fleet = Fleet()
    for number in range(2 * crash_evidence.MAX_CRASHES):
        names = [f"r{number}-{copy}" for copy in range(20)]
        fleet.crash(float(number), *names)
        for name in names:
            fleet.answer(name, number + 0.5)
        fleet.find_blamed()
    requests = fleet.evidence._requests
    assert len(requests._answered_at_s) <= request_evidence.MAX_ANSWERED
    assert len(fleet.evidence._crashes) == crash_evidence.MAX_CRASHES


def test_answers_of_requests_that_nothing_speaks_against_are_not_kept():
    """A million different requests leave no trace."""
    fleet = Fleet()
    fleet.crash(0.0, "bad")
    for number in range(10_000):
        fleet.answer(f"r{number}", 1.0)
    assert not fleet.evidence._requests._answered_at_s
    assert crash_records.SIMULTANEOUS_S < 1.0
