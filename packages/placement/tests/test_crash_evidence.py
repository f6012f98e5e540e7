"""Which parts of prompts are blamed for the crashes of engines."""

from __future__ import annotations

import itertools
import random

import crash_fixtures
import pytest

from poplarwick_placement import crash_evidence
from poplarwick_placement import messages
from poplarwick_placement import part_evidence

COMMON = "c0"
"""Part that all requests of the service share."""

JUST_BEGUN_S = 0.09
LONG_BEGUN_S = 1.2

make_endpoint = crash_fixtures.make_endpoint
make_request = crash_fixtures.make_request


def crash(evidence, endpoint, cuts, now_s, *, is_confirmed=True):
    """Cuts answers, given as parts of the prompt and time of writing."""
    for parts, written_s in cuts:
        request = make_request(*parts, service=endpoint.service)
        evidence.record_cut(endpoint, request, written_s, now_s)
    if is_confirmed:
        evidence.record_unanswered(endpoint, now_s + 0.01)
    complete(
        evidence,
        "sound",
        now_s=now_s,
        version=endpoint.software_version,
        service=endpoint.service,
    )


def find_parts(evidence):
    return [set(culprit.parts) for culprit in evidence.find_culprits()]


def complete(evidence, *parts, now_s, version="v1", service="pool"):
    evidence.record_complete(
        make_endpoint(99, version=version, service=service),
        make_request(*parts, service=service),
        now_s,
    )


def test_part_is_blamed_though_its_crashes_leave_nothing_answered():
    evidence = crash_evidence.CrashEvidence()
    for number in range(3):
        endpoint = make_endpoint(number)
        for parts in ((COMMON, "bad"), (COMMON, f"session-{number}")):
            evidence.record_cut(
                endpoint, make_request(*parts), JUST_BEGUN_S, 0.3 * number
            )
        evidence.record_unanswered(endpoint, 0.3 * number)
    assert find_parts(evidence) == [{COMMON, "bad"}]


def test_sessions_are_not_blamed_when_all_engines_crash():
    """Ten sessions in turn, and no request is answered."""
    evidence = crash_evidence.CrashEvidence()
    for number in range(60):
        endpoint = make_endpoint(number)
        request = make_request(COMMON, f"session-{number % 10}")
        evidence.record_cut(endpoint, request, JUST_BEGUN_S, 0.3 * number)
        evidence.record_unanswered(endpoint, 0.3 * number)
        assert not evidence.find_culprits()


def test_part_is_not_blamed_while_nothing_else_is_answered():
    """All engines of the service crash, whatever they are asked."""
    evidence = crash_evidence.CrashEvidence()
    for number in range(9):
        endpoint = make_endpoint(number)
        evidence.record_cut(
            endpoint, make_request(COMMON), JUST_BEGUN_S, 0.3 * number
        )
        evidence.record_unanswered(endpoint, 0.3 * number)
        assert not evidence.find_culprits()
    complete(evidence, "other", now_s=4.0)
    assert find_parts(evidence) == [{COMMON}]


def test_part_of_three_crashes_is_blamed():
    evidence = crash_evidence.CrashEvidence()
    complete(evidence, COMMON, now_s=0.0)
    for number in range(3):
        assert not evidence.find_culprits()
        crash(
            evidence,
            make_endpoint(number),
            [((COMMON, "bad"), JUST_BEGUN_S)],
            1.0 + 0.3 * number,
        )
    (culprit,) = evidence.find_culprits()
    assert culprit.parts == {"bad"}
    assert culprit.endpoints == ("i-0", "i-1", "i-2")
    assert not evidence.find_culprits()


def test_requests_that_merely_ran_on_crashed_engines_are_not_blamed():
    """Two sessions lose a request to each of three crashes."""
    evidence = crash_evidence.CrashEvidence()
    complete(evidence, COMMON, now_s=0.0)
    for number in range(3):
        crash(
            evidence,
            make_endpoint(number),
            [
                ((COMMON, "session"), LONG_BEGUN_S),
                ((COMMON, "waiting"), None),
                ((COMMON, "bad"), JUST_BEGUN_S),
            ],
            1.0 + 0.3 * number,
        )
    assert find_parts(evidence) == [{"bad"}]


def test_request_without_a_head_is_blamed_if_no_answer_had_just_begun():
    evidence = crash_evidence.CrashEvidence()
    for number in range(3):
        crash(
            evidence,
            make_endpoint(number),
            [(("bad",), None), (("session",), LONG_BEGUN_S)],
            1.0 + 0.3 * number,
        )
    assert find_parts(evidence) == [{"bad"}]


def test_complete_answer_clears_the_parts_of_its_request():
    evidence = crash_evidence.CrashEvidence()
    for number in range(8):
        crash(
            evidence,
            make_endpoint(number),
            [(("session",), JUST_BEGUN_S)],
            1.0 + number,
        )
        if number % 2:
            complete(evidence, "session", now_s=1.5 + number)
        assert not evidence.find_culprits()


def test_part_with_many_complete_answers_needs_as_many_more_crashes():
    evidence = crash_evidence.CrashEvidence()
    for number in range(100):
        complete(evidence, COMMON, now_s=number * 0.01)
    crashes = part_evidence.MAX_CREDIT + crash_evidence.CULPRIT_CRASHES
    for number in range(crashes):
        assert not evidence.find_culprits()
        crash(
            evidence,
            make_endpoint(number),
            [((COMMON,), JUST_BEGUN_S)],
            2.0 + number,
        )
    assert find_parts(evidence) == [{COMMON}]


# Guards against a part whose earlier answers outweigh more crashes than the
# platform allows (BUDGET).
def test_part_that_was_sound_before_is_blamed_after_five_crashes():
    evidence = crash_evidence.CrashEvidence()
    for number in range(100):
        complete(evidence, "bad", now_s=number * 0.01)
    for number in range(5):
        assert not evidence.find_culprits()
        crash(evidence, make_endpoint(number), [(("bad",), None)], 2.0 + number)
    assert find_parts(evidence) == [{"bad"}]


def test_failure_domain_that_loses_power_condemns_nothing():
    evidence = crash_evidence.CrashEvidence()
    for number in range(7):
        crash(
            evidence,
            make_endpoint(number),
            [((COMMON, "session"), JUST_BEGUN_S)],
            1.0 + number * 0.01,
        )
    assert not evidence.find_culprits()


def test_fleet_that_loses_power_condemns_nothing():
    """All domains, with two requests of a session in each; others go on."""
    evidence = crash_evidence.CrashEvidence()
    for number in range(12):
        crash(
            evidence,
            make_endpoint(number, domain="abcdef"[number // 2]),
            [((COMMON, "session"), None)],
            1.0 + number * 0.008,
        )
    complete(evidence, "other", now_s=3.0)
    assert not evidence.find_culprits()


# Guards against a part that crashes engines of several failure domains at once
# and is taken for the loss of a domain (BUDGET).
def test_part_that_crashes_engines_of_several_domains_at_once_is_blamed():
    evidence = crash_evidence.CrashEvidence()
    for number in range(4):
        crash(
            evidence,
            make_endpoint(number, domain="ab"[number % 2]),
            [(("bad",), None)],
            1.0 + number // 2 + 0.01 * (number % 2),
        )
    assert find_parts(evidence) == [{"bad"}]


def test_engine_that_lives_has_not_crashed():
    """Answers are broken off, and the engine still returns its report."""
    evidence = crash_evidence.CrashEvidence()
    for number in range(9):
        endpoint = make_endpoint(number)
        crash(
            evidence,
            endpoint,
            [(("session",), JUST_BEGUN_S)],
            float(number),
            is_confirmed=False,
        )
        assert evidence.is_unconfirmed(endpoint)
        evidence.record_report(endpoint, answered=True, now_s=number + 0.01)
        assert not evidence.is_unconfirmed(endpoint)
    assert not evidence.find_culprits()


def test_report_that_was_lost_is_made_up_for_by_the_next_one():
    evidence = crash_evidence.CrashEvidence()
    for number in range(9):
        endpoint = make_endpoint(number)
        crash(evidence, endpoint, [(("session",), JUST_BEGUN_S)], 2.0 * number)
        evidence.record_report(
            endpoint, answered=True, now_s=2.0 * number + 1.0
        )
        assert not evidence.find_culprits()


def test_report_of_a_later_engine_at_the_address_retracts_no_crash():
    evidence = crash_evidence.CrashEvidence()
    for number in range(3):
        endpoint = make_endpoint(number)
        crash(evidence, endpoint, [(("bad",), JUST_BEGUN_S)], 0.3 * number)
    for number in range(3):
        evidence.record_report(make_endpoint(number), answered=True, now_s=4.0)
    assert find_parts(evidence) == [{"bad"}]


def test_progress_that_is_told_late_retracts_no_crash():
    evidence = crash_evidence.CrashEvidence()
    for number in range(3):
        endpoint = make_endpoint(number)
        crash(
            evidence,
            endpoint,
            [(("bad",), JUST_BEGUN_S)],
            0.3 * number,
            is_confirmed=False,
        )
        evidence.record_progress(endpoint, 0.3 * number + 0.1)
        evidence.record_unanswered(endpoint, 0.3 * number + 0.2)
    assert find_parts(evidence) == [{"bad"}]


def test_entry_that_lapses_confirms_a_crash():
    evidence = crash_evidence.CrashEvidence()
    for number in range(3):
        endpoint = make_endpoint(number)
        crash(
            evidence,
            endpoint,
            [(("bad",), JUST_BEGUN_S)],
            5.0 * number,
            is_confirmed=False,
        )
        assert not evidence.find_culprits()
        evidence.record_gone(endpoint)
    assert find_parts(evidence) == [{"bad"}]


def test_parts_that_cannot_be_told_apart_are_blamed_together():
    """The session is served again as soon as it comes without the part."""
    evidence = crash_evidence.CrashEvidence()
    for number in range(3):
        crash(
            evidence,
            make_endpoint(number),
            [(("session", "bad"), JUST_BEGUN_S)],
            0.3 * number,
        )
    assert find_parts(evidence) == [{"session", "bad"}]
    crash(evidence, make_endpoint(3), [(("other", "bad"), JUST_BEGUN_S)], 2.0)
    assert find_parts(evidence) == [{"bad"}]


def test_two_parts_on_two_services_are_both_blamed():
    evidence = crash_evidence.CrashEvidence()
    for number in range(3):
        for service in ("pool", "other"):
            crash(
                evidence,
                make_endpoint(f"{service}{number}", service=service),
                [(("c", f"bad-{service}"), JUST_BEGUN_S)],
                0.3 * number,
            )
        complete(evidence, "c", now_s=0.3 * number + 0.05)
    found = {c.service: set(c.parts) for c in evidence.find_culprits()}
    assert found["pool"] == {"bad-pool"}
    assert "bad-other" in found["other"]


def test_two_parts_on_one_service_are_both_blamed():
    evidence = crash_evidence.CrashEvidence()
    blamed = []
    for number in range(6):
        complete(evidence, COMMON, now_s=0.3 * number)
        crash(
            evidence,
            make_endpoint(number),
            [((COMMON, f"bad-{number % 2}"), JUST_BEGUN_S)],
            0.3 * number + 0.15,
        )
        blamed.extend(find_parts(evidence))
    assert blamed == [{"bad-0"}, {"bad-1"}]


def test_part_that_other_versions_of_the_software_survive_is_blamed():
    evidence = crash_evidence.CrashEvidence()
    for number in range(3):
        crash(
            evidence,
            make_endpoint(number, version="v2"),
            [(("bad",), JUST_BEGUN_S)],
            0.3 * number,
        )
        complete(evidence, "bad", now_s=0.3 * number + 0.1, version="v1")
    (culprit,) = evidence.find_culprits()
    assert culprit.software_version == "v2"


def test_part_that_was_forgiven_is_blamed_after_as_many_new_crashes():
    evidence = crash_evidence.CrashEvidence()
    for turn in range(2):
        for number in range(3):
            assert not evidence.find_culprits()
            crash(
                evidence,
                make_endpoint(10 * turn + number),
                [(("bad",), JUST_BEGUN_S)],
                10 * turn + 0.3 * number,
            )
        (culprit,) = evidence.find_culprits()
        evidence.forgive(culprit.service, culprit.parts)


def test_request_of_two_crashes_is_suspected():
    evidence = crash_evidence.CrashEvidence()
    request = make_request(COMMON, "bad", was_cut_off=True)
    for number in range(2):
        assert not evidence.is_suspected(request)
        complete(evidence, COMMON, now_s=float(number))
        crash(
            evidence,
            make_endpoint(number),
            [((COMMON, "bad"), JUST_BEGUN_S)],
            number + 0.5,
        )
    assert evidence.is_suspected(request)
    for sound in (
        make_request(COMMON, "bad"),
        make_request(COMMON, "other", was_cut_off=True),
        make_request(COMMON, "bad", service="other", was_cut_off=True),
    ):
        assert not evidence.is_suspected(sound)


def test_part_that_is_blamed_together_with_another_is_not_suspected_alone():
    evidence = crash_evidence.CrashEvidence()
    for number in range(3):
        crash(
            evidence,
            make_endpoint(number),
            [((COMMON, "bad"), JUST_BEGUN_S)],
            0.3 * number,
        )
    assert find_parts(evidence) == [{COMMON, "bad"}]
    assert not evidence.is_suspected(make_request(COMMON, was_cut_off=True))


@pytest.mark.parametrize("seed", range(20))
def test_storm_of_crashes_condemns_the_culprit_only(seed):
    """Thirty requests a second of ten sessions on twenty engines.

    One in eight requests has the part that crashes engines. Engines crash for
    other reasons as well, every half second.
    """
    rng = random.Random(seed)
    evidence = crash_evidence.CrashEvidence()
    engines = {n: [] for n in range(20)}
    blamed, crashes_by_part = [], 0
    next_number = 20
    for step in range(600):
        now_s = step / 30
        parts = (COMMON, f"session-{rng.randrange(10)}")
        is_bad = rng.random() < 1 / 8 and {"bad"} not in blamed
        if is_bad:
            parts = (COMMON, "bad")
        number = rng.choice(list(engines))
        engines[number].append((parts, now_s))
        for running in engines.values():
            for job in [j for j in running if now_s - j[1] > 1.8]:
                running.remove(job)
                complete(evidence, *job[0], now_s=now_s)
        crashing = [number] if is_bad else []
        if step % 15 == 0:
            crashing.append(rng.choice(list(engines)))
        for number in set(crashing):
            for job_parts, began_s in itertools.chain(*engines.values()):
                if now_s - began_s > messages.ANSWER_START_S:
                    evidence.record_writing(
                        make_endpoint(99), make_request(*job_parts), now_s
                    )
            cuts = [
                (job_parts, now_s - began_s)
                for job_parts, began_s in engines.pop(number)
            ]
            crashes_by_part += is_bad and number == crashing[0]
            endpoint = make_endpoint(number)
            for job_parts, written_s in cuts:
                evidence.record_cut(
                    endpoint, make_request(*job_parts), written_s, now_s + 0.05
                )
            evidence.record_unanswered(endpoint, now_s + 0.06)
            engines[next_number] = []
            next_number += 1
        blamed.extend(find_parts(evidence))
    assert blamed == [{"bad"}]
    assert crashes_by_part <= 2 * crash_evidence.CULPRIT_CRASHES


def crash_by_load(seed, period_steps=15):
    """Returns what is blamed while the busiest engine crashes regularly.

    What it ran is sent once more. Six in ten requests share a part, beside
    thirty sessions. A step takes 1/30 s.
    """
    rng = random.Random(seed)
    evidence = crash_evidence.CrashEvidence()
    engines = {n: [] for n in range(16)}
    numbers = itertools.count(16)
    blamed = []
    for step in range(900):
        now_s = step / 30
        popular = ("popular",) if rng.random() < 0.6 else ()
        parts = (*popular, f"session-{rng.randrange(30)}")
        engines[rng.choice(list(engines))].append((parts, now_s, 2))
        for running in engines.values():
            for job in [j for j in running if now_s > j[1] + 1.6]:
                running.remove(job)
                complete(evidence, *job[0], now_s=now_s)
        if step % period_steps or step < 60:
            continue
        number = max(engines, key=lambda n: len(engines[n]))
        lost = engines.pop(number)
        for job_parts, sent_at_s, _ in lost:
            written_s = now_s - sent_at_s - 0.4
            evidence.record_cut(
                make_endpoint(number),
                make_request(*job_parts),
                written_s if written_s > 0 else None,
                now_s + 0.05,
                sent_at_s,
            )
        evidence.record_unanswered(make_endpoint(number), now_s + 0.06)
        engines[next(numbers)] = []
        for job_parts, _, attempts in lost:
            if attempts > 1:
                engines[rng.choice(list(engines))].append(
                    (job_parts, now_s, attempts - 1)
                )
        blamed.extend(find_parts(evidence))
    return blamed


def test_engines_that_crash_by_load_before_heads_condemn_nothing():
    assert {seed: crash_by_load(seed) for seed in range(20)} == dict.fromkeys(
        range(20), []
    )


def test_memory_for_parts_is_bounded():
    evidence = crash_evidence.CrashEvidence()
    for number in range(2 * part_evidence.MAX_RECORDED_PARTS):
        complete(evidence, f"p{number}", now_s=0.0)
    for number in range(2 * crash_evidence.MAX_CRASHES):
        crash(
            evidence,
            make_endpoint(number),
            [((f"p{number}",), JUST_BEGUN_S)],
            float(number),
        )
        evidence.find_culprits()
    assert evidence._parts.recorded_count == part_evidence.MAX_RECORDED_PARTS
    assert len(evidence._crashes) == crash_evidence.MAX_CRASHES


# Guards against a part that is not blamed because other answers had begun when
# its engines crashed before their heads (BUDGET).
def test_part_that_crashes_engines_before_heads_is_blamed():
    evidence = crash_evidence.CrashEvidence()
    complete(evidence, COMMON, now_s=0.0)
    for number in range(3):
        crash(
            evidence,
            make_endpoint(number),
            [
                ((COMMON, f"session-{number}"), JUST_BEGUN_S),
                ((COMMON, "bad"), None),
                ((COMMON, f"old-{number}"), LONG_BEGUN_S),
            ],
            1.0 + 0.3 * number,
        )
    assert find_parts(evidence) == [{"bad"}]


def test_parts_of_different_requests_in_equal_crashes_are_told_apart():
    """Two requests without heads lose each of three engines, one a fourth."""
    evidence = crash_evidence.CrashEvidence()
    for number in range(3):
        crash(
            evidence,
            make_endpoint(number),
            [(("bad",), None), (("unlucky",), None)],
            1.0 + 0.3 * number,
        )
        assert not evidence.find_culprits()
    crash(evidence, make_endpoint(3), [(("bad",), None)], 3.0)
    assert find_parts(evidence) == [{"bad"}]


def test_sound_request_that_ran_on_two_crashed_engines_is_sent_again():
    evidence = crash_evidence.CrashEvidence()
    for number in range(3):
        cuts = [(("bad",), None), (("unlucky",), JUST_BEGUN_S)]
        crash(
            evidence,
            make_endpoint(number),
            cuts[: 1 + (number < 2)],
            1.0 + 0.3 * number,
        )
    assert not evidence.is_suspected(make_request("unlucky", was_cut_off=True))
    assert evidence.is_suspected(make_request("bad", was_cut_off=True))


def test_engines_that_are_crashed_by_retries_within_a_moment_count_each():
    """Each request is sent again 20 ms after the end of its engine."""
    evidence = crash_evidence.CrashEvidence()
    for number in range(3):
        now_s = 1.0 + 0.04 * number
        evidence.record_cut(
            make_endpoint(number),
            make_request(COMMON, "bad"),
            None,
            now_s,
            sent_at_s=now_s - 0.02,
        )
        evidence.record_unanswered(make_endpoint(number), now_s)
    complete(evidence, COMMON, now_s=2.0)
    assert find_parts(evidence) == [{"bad"}]


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("is_headless", [False, True])
def test_storm_beside_answers_without_heads_condemns_the_culprit_only(
    seed, is_headless
):
    """Heads come after 0 to 0.4 s; the part crashes engines before or after."""
    rng = random.Random(seed)
    evidence = crash_evidence.CrashEvidence()
    engines = {n: [] for n in range(16)}
    blamed, crashes = [], 0
    numbers = itertools.count(16)
    for step in range(600):
        now_s = step / 30
        is_bad = step > 60 and rng.random() < 1 / 10 and {"bad"} not in blamed
        parts = (COMMON, "bad" if is_bad else f"session-{rng.randrange(20)}")
        number = rng.choice(list(engines))
        head_at_s = now_s + (0.0 if is_bad else rng.uniform(0.0, 0.4))
        engines[number].append((parts, now_s, head_at_s))
        for running in engines.values():
            for job in [j for j in running if now_s > j[2] + 1.4]:
                running.remove(job)
                complete(evidence, *job[0], now_s=now_s)
        crashing = {number} if is_bad else set()
        if step % 30 == 0:
            crashing.add(rng.choice(list(engines)))
        crashes += is_bad
        for number in crashing:
            endpoint = make_endpoint(number)
            for job_parts, sent_at_s, job_head_at_s in engines.pop(number):
                written_s = None
                is_hidden = is_headless and "bad" in job_parts
                if now_s >= job_head_at_s and not is_hidden:
                    written_s = now_s - job_head_at_s
                evidence.record_cut(
                    endpoint,
                    make_request(*job_parts),
                    written_s,
                    now_s + 0.05,
                    sent_at_s,
                )
            evidence.record_unanswered(endpoint, now_s + 0.06)
            engines[next(numbers)] = []
        blamed.extend(find_parts(evidence))
    assert blamed == [{"bad"}]
    assert crashes <= 2 * crash_evidence.CULPRIT_CRASHES
