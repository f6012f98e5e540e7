"""Which requests are blamed for engines that fall silent."""

from __future__ import annotations

import crash_fixtures
import pytest

from poplarwick_bench.replay import engines
from poplarwick_placement import engine_report
from poplarwick_placement import messages
from poplarwick_placement import service_pool

ENGINES = 8

REPORT_S = 1.0
"""Interval between reports."""

ALIVE = engine_report.EngineReport(slowdown=1.0)


class SilentFleet:
    """Engines that run one request each and fall silent."""

    def __init__(self):
        self.scheduler = engines.make_scheduler(is_global=True, seed=1)
        self.scheduler.set_candidates(
            service_pool.Candidate(
                engines.make_endpoint(n), engines.PROFILE, True, 0.0, 36.0
            )
            for n in range(ENGINES)
        )
        self._keys = 0

    def run(self, at_s, *parts, has_begun=False, fingerprint=None):
        """Places a request and returns its key and its engine."""
        self._keys += 1
        request = crash_fixtures.make_request(
            *parts, service=engines.POOL, fingerprint=fingerprint
        )
        engine = engines.make_endpoint((self._keys - 1) % ENGINES).id
        self.scheduler.adopt(
            self._keys, request, engine, at_s, has_begun=has_begun
        )
        return self._keys, engine

    def report(self, engine, at_s, *, answered):
        self.scheduler.record_report(engine, ALIVE if answered else None, at_s)

    def fall_silent(self, engine, at_s):
        self.report(engine, at_s, answered=False)
        self.report(engine, at_s + REPORT_S, answered=False)

    def answer_other(self, at_s):
        self.scheduler.evidence.record_complete(
            engines.make_endpoint(ENGINES - 1),
            crash_fixtures.make_request("other", service=engines.POOL),
            at_s,
        )

    def find_blamed(self, at_s):
        return [
            set(culprit.parts) or culprit.fingerprint
            for culprit in self.scheduler.find_culprits(at_s)
        ]


# Guards against a part that crashes engines together with their hosts: their
# connections stay open and end with the deadlines (BUDGET).
@pytest.mark.parametrize("has_begun", [False, True])
def test_part_of_engines_that_fall_silent_in_turn_is_blamed(has_begun):
    fleet = SilentFleet()
    for number in range(3):
        now_s = 10.0 + 3.0 * number
        _, engine = fleet.run(now_s, "bad", has_begun=has_begun)
        fleet.fall_silent(engine, now_s + 0.5)
        fleet.answer_other(now_s + 2.0)
    assert fleet.find_blamed(20.0) == [{"bad"}]


@pytest.mark.parametrize("fingerprint", [None, "copy"])
def test_failure_domain_that_falls_silent_condemns_nothing(fingerprint):
    """Its engines are found silent over two seconds."""
    fleet = SilentFleet()
    silent = [
        fleet.run(10.0, "session", fingerprint=fingerprint) for _ in range(6)
    ]
    for number, (_, engine) in enumerate(silent):
        fleet.fall_silent(engine, 10.5 + 0.3 * number)
    fleet.answer_other(13.0)
    assert not fleet.find_blamed(14.0)


def test_engine_that_reports_again_has_not_crashed():
    fleet = SilentFleet()
    for number in range(5):
        now_s = 10.0 + 6.0 * number
        _, engine = fleet.run(now_s, "session")
        fleet.fall_silent(engine, now_s + 0.5)
        fleet.report(engine, now_s + 4.0, answered=True)
        fleet.answer_other(now_s + 4.5)
        assert not fleet.find_blamed(now_s + 5.0)


def test_silent_engine_does_not_clear_the_part_that_crashed_it():
    """Its stream has an event and is silent until the next report is due."""
    fleet = SilentFleet()
    for number in range(3):
        now_s = 10.0 + 3.0 * number
        _, engine = fleet.run(now_s, "bad", has_begun=True)
        fleet.report(engine, now_s + 0.4, answered=True)
        fleet.scheduler.evidence.record_gone(engines.make_endpoint(number - 1))
        fleet.find_blamed(now_s + 1.3)
        fleet.fall_silent(engine, now_s + 1.4)
        fleet.answer_other(now_s + 2.5)
    assert fleet.find_blamed(20.0) == [{"bad"}]


# Guards against a part whose engines pause for half a second between the first
# event and the crash: that pause is no answer written for a time (BUDGET).
def test_stream_that_pauses_after_its_first_event_does_not_clear_its_part():
    """Each engine crashes 0.6 s after the first event, 0.3 s after another."""
    fleet = SilentFleet()
    running = [fleet.run(10.0, "bad", has_begun=True)]
    for number in range(3):
        running.append(fleet.run(10.3 + 0.3 * number, "bad", has_begun=True))
        key, engine = running.pop(0)
        now_s = 10.6 + 0.3 * number
        fleet.scheduler.record_end(
            key,
            messages.Result.BROKEN,
            now_s,
            answer=messages.AnswerEnd(False, 0.04),
        )
        fleet.report(engine, now_s, answered=False)
        fleet.answer_other(now_s)
        blamed = fleet.find_blamed(now_s + 0.25)
    assert blamed == [{"bad"}]
