"""What a new placer counts of requests that engines still run."""

from __future__ import annotations

import pytest
from test_scheduler import LONG
from test_scheduler import make_request
from test_scheduler import make_scheduler
from test_scheduler import submit_and_decide

from poplarwick_core import ids
from poplarwick_placement import engine_report
from poplarwick_placement import inherited_load
from poplarwick_placement import messages

ENGINES = [ids.EndpointId(f"e{number}") for number in range(2)]
SLOTS = 8


def report(scheduler, endpoint, requests, now_s, memory_tokens=0):
    work = engine_report.EngineWork(requests, memory_tokens)
    scheduler.record_report(
        endpoint, engine_report.EngineReport(1.0, work), now_s
    )


def test_requests_of_lost_instances_take_slots_until_engines_report_less():
    scheduler = make_scheduler(engine_count=2)
    report(scheduler, ENGINES[0], SLOTS, 0.0)
    report(scheduler, ENGINES[1], SLOTS - 1, 0.0)
    placed = submit_and_decide(scheduler, 1, make_request())
    assert placed.endpoint == ENGINES[1]
    # Both are full now: the next request waits here, not at an engine.
    assert submit_and_decide(scheduler, 2, make_request(), 0.01) is None
    report(scheduler, ENGINES[0], SLOTS - 2, 0.3)
    decided = dict(scheduler.decide(0.31))
    assert decided[2].endpoint == ENGINES[0]


def test_memory_of_lost_instances_is_not_given_away():
    scheduler = make_scheduler(engine_count=2)
    report(scheduler, ENGINES[0], 1, 0.0, memory_tokens=390_000)
    report(scheduler, ENGINES[1], 0, 0.0)
    placed = submit_and_decide(scheduler, 1, make_request(20_000))
    assert placed.endpoint == ENGINES[1]


def test_request_that_its_instance_reports_is_not_counted_twice():
    scheduler = make_scheduler(engine_count=1)
    report(scheduler, ENGINES[0], SLOTS, 0.0)
    for number in range(SLOTS):
        scheduler.adopt(
            f"known-{number}", make_request(), ENGINES[0], 0.1, has_begun=True
        )
    assert not scheduler.has_inherited_load(ENGINES[0])
    scheduler.record_end("known-0", messages.Result.DONE, 0.2)
    assert submit_and_decide(scheduler, 1, make_request(), 0.2) is not None


@pytest.mark.parametrize("requests", [1, SLOTS])
def test_old_report_does_not_take_slots_from_a_placer_that_knows_all(requests):
    scheduler = make_scheduler(engine_count=1)
    report(scheduler, ENGINES[0], 0, 0.0)
    after_s = inherited_load.LEARNING_S + 0.1
    report(scheduler, ENGINES[0], requests, after_s)
    assert not scheduler.has_inherited_load(ENGINES[0])


def test_request_that_has_just_ended_is_not_inherited():
    scheduler = make_scheduler(engine_count=1)
    report(scheduler, ENGINES[0], 0, 0.0)
    submit_and_decide(scheduler, 1, make_request(), 0.0)
    scheduler.record_end(1, messages.Result.DONE, 0.5)
    # The engine's report is some hundred milliseconds old.
    report(scheduler, ENGINES[0], 1, 0.9)
    assert not scheduler.has_inherited_load(ENGINES[0])


def test_requests_of_an_instance_that_is_lost_later_are_inherited():
    scheduler = make_scheduler(engine_count=1)
    report(scheduler, ENGINES[0], 0, 0.0)
    for number in range(SLOTS):
        submit_and_decide(scheduler, number, make_request(now_s=10.0), 10.0)
    scheduler.drop_requests(lambda key: True, 11.0)
    assert scheduler.may_inherit(11.5)
    report(scheduler, ENGINES[0], SLOTS, 12.2)
    waiting = make_request(now_s=12.3)
    assert submit_and_decide(scheduler, 99, waiting, 12.3) is None


def test_long_prompt_does_not_wait_for_ever_behind_inherited_load():
    scheduler = make_scheduler(engine_count=2)
    for engine in ENGINES:
        report(scheduler, engine, SLOTS, 0.0, memory_tokens=400_000)
    request = make_request(LONG, deadline_at_s=30.0)
    assert submit_and_decide(scheduler, 1, request, 0.0) is None
    for engine in ENGINES:
        report(scheduler, engine, 0, 1.0)
    assert isinstance(dict(scheduler.decide(1.1))[1], messages.Placement)


def test_scheduler_of_one_instance_inherits_nothing():
    scheduler = make_scheduler(is_global=False, engine_count=1)
    report(scheduler, ENGINES[0], SLOTS, 0.0)
    assert submit_and_decide(scheduler, 1, make_request()) is not None
