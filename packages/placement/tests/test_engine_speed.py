"""Tests that endpoints get the work that they do, not what they report.

Guards against an endpoint that does half the work of its peers while its
reports are the same, and against calls that queue behind long ones.
"""

from __future__ import annotations

import collections
import dataclasses

from poplarwick_bench.replay import engines
from poplarwick_bench.replay import traffic
from poplarwick_core import ids
from poplarwick_placement import load_management
from poplarwick_placement import messages
from poplarwick_placement import service_pool

SLOW = ids.EndpointId("e0")
ANSWER = messages.AnswerEnd(is_complete=True, written_s=0.0)


def replay_with_slow_engine(*, has_contention):
    changes = []
    simulation = engines.Simulation(
        engines.make_scheduler(
            management=load_management.make_load_management(
                has_contention=has_contention,
                on_speed=lambda *change: changes.append(change),
            )
        ),
        6,
        memory_tokens=engines.PROFILE.memory_tokens,
    )
    simulation.engines[SLOW].slowdown = 2.0
    jobs = traffic.add_traffic(simulation, traffic.LABEL, 0.7, (1.0, 40.0), 3)
    simulation.run(60.0)
    return collections.Counter(job.primary for job in jobs), changes


def test_engine_at_half_speed_is_detected_and_gets_less():
    before, _ = replay_with_slow_engine(has_contention=False)
    after, changes = replay_with_slow_engine(has_contention=True)
    assert {endpoint for endpoint, _ in changes} == {SLOW}
    assert after[SLOW] < 0.5 * before[SLOW]


class PlainService:
    """Endpoints of a plain service that run calls one beside the other."""

    def __init__(self, durations_s, slowdowns):
        management = load_management.make_load_management(has_contention=True)
        self.scheduler = engines.make_scheduler(management=management)
        self.scheduler.set_candidates(
            service_pool.Candidate(
                dataclasses.replace(engines.make_endpoint(number), slots=6),
                None,
                True,
                0.0,
                36.0,
            )
            for number in range(len(slowdowns))
        )
        self.durations_s = durations_s
        self.slowdowns = slowdowns
        self.number = 0
        self.ends = []

    def call(self, route, now_s):
        """Starts a call and returns its endpoint."""
        for end in sorted(self.ends):
            if end[0] <= now_s:
                self.ends.remove(end)
                self.scheduler.record_end(
                    end[1], messages.Result.DONE, end[0], answer=ANSWER
                )
        self.number += 1
        request = messages.PlacementRequest(
            ids.RequestId("r"),
            engines.POOL,
            0,
            0,
            now_s + 0.5,
            now_s + 2.0,
            1.0,
            route=route,
        )
        self.scheduler.submit(self.number, request, now_s)
        decision = dict(self.scheduler.decide(now_s))[self.number]
        slowdown = self.slowdowns[int(decision.endpoint[1:])]
        end_s = now_s + self.durations_s[route] * slowdown
        self.ends.append((end_s, self.number))
        return decision.endpoint


def test_plain_call_goes_where_outstanding_work_ends_first():
    service = PlainService({"long": 1.0, "short": 0.05}, [1.0, 1.0])
    for number in range(20):
        service.call("long", 3.0 * number)
        service.call("short", 3.0 * number + 1.5)
    now_s = 100.0
    for number in range(20):
        service.call("long", now_s + 0.01 * number / 20)
        now_s += 1.5
        service.call("short", now_s)
        now_s += 1.5
    busy = service.call("long", now_s)
    # Two short calls are less work than one long call.
    others = [service.call("short", now_s + 0.01 * n) for n in (1, 2, 3)]
    assert busy not in others


def test_plain_endpoint_at_half_speed_gets_less():
    service = PlainService({"ask": 0.2}, [2.0, 1.0, 1.0])
    counts = collections.Counter(
        service.call("ask", 0.05 * number) for number in range(800)
    )
    usual = (counts["e1"] + counts["e2"]) / 2
    assert counts["e0"] < 0.2 * usual


def test_answers_that_are_reported_at_once_say_nothing_of_the_speed():
    """Load pattern: first events and ends that are read at one moment."""
    management = load_management.make_load_management(has_contention=True)
    scheduler = engines.make_scheduler(management=management)
    scheduler.set_candidates(
        [
            service_pool.Candidate(
                engines.make_endpoint(0), engines.PROFILE, True, 0.0, 36.0
            )
        ]
    )
    answer = messages.AnswerEnd(is_complete=True, written_s=0.0, events=30)
    for number in range(10):
        now_s = 1.0 + number
        request = messages.PlacementRequest(
            request_id=ids.RequestId("r"),
            service=engines.POOL,
            prompt_tokens=2_000,
            output_tokens=1_000,
            on_time_at_s=now_s + 3.0,
            deadline_at_s=now_s + 20.0,
            pause_limit_s=0.25,
        )
        scheduler.submit(number, request, now_s)
        [(_, decision)] = scheduler.decide(now_s)
        assert isinstance(decision, messages.Placement)
        scheduler.record_first_event(number, now_s)
        scheduler.record_end(number, messages.Result.DONE, now_s, answer=answer)
