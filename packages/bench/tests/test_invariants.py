"""Each invariant check passes on a clean run and catches a planted fault."""

import pytest

from poplarwick_bench import caller
from poplarwick_bench import history
from poplarwick_bench import invariants
from poplarwick_core import outcome
from poplarwick_standins import completions

DIGEST = completions.digest_prompt("p")
TEXT = completions.make_text(DIGEST, 0, 4)
START_S = 1_000.0


def make_record(**fields):
    defaults = {
        "name": "call",
        "organisation": "o",
        "due_s": 0.0,
        "sent_at_s": START_S,
        "ended_s": 1.0,
        "status": 200,
        "outcome": outcome.Outcome.COMPLETE,
        "text": TEXT,
        "is_complete": True,
        "instance": "i0",
        "timeout_s": 5.0,
        "digest": DIGEST,
        "max_tokens": 4,
    }
    return caller.Record(**(defaults | fields))


def make_refused(**fields):
    refused = {"outcome": outcome.Outcome.NOT_RUN, "is_complete": False}
    return make_record(text="", status=503, **(refused | fields))


def make_entry(event, **fields):
    defaults = {"endpoint": "e0", "at_s": START_S, "prompt_digest": DIGEST}
    return history.Execution(event=event, **(defaults | fields))


def make_clean():
    started = make_entry(history.Event.STARTED, memory_used_tokens=5)
    finished = make_entry(
        history.Event.FINISHED, memory_used_tokens=0, at_s=START_S + 1
    )
    executed = make_entry(
        history.Event.EXECUTED, idempotency_key="k", prompt_digest=""
    )
    # Endpoint e0 leaves long after its work; e1 has returned before its own.
    returned = history.Withdrawal(frozenset({"e0"}), START_S - 60, START_S - 30)
    return history.History(
        records=[
            make_refused(name="refused", digest="d2"),
            make_refused(name="retried", sent_at_s=START_S - 5),
            make_record(),
        ],
        executions=[started, executed, finished],
        domain_withdrawals=[
            returned,
            history.Withdrawal(frozenset({"e0"}), START_S + 10),
        ],
        endpoint_withdrawals=[returned],
        stops=[history.Stop("i0", START_S + 0.5, 0)],
        acceptances=[history.Acceptance(2, START_S)],
        observations=[
            history.Observation("i0", 1, START_S + 1),
            history.Observation("i0", 2, START_S + 3),
        ],
        at_most_once_keys={"k"},
    )


def plant_late_end(seen):
    seen.records.append(make_record(ended_s=6.5))


def plant_missing_outcome(seen):
    seen.records.append(make_record(outcome=None, is_complete=False))
    seen.stops.clear()


def plant_held_memory(seen):
    seen.executions[-1].memory_used_tokens = 5


def plant_cold_overload(seen):
    seen.executions += [
        make_entry(history.Event.RESTARTED, reason="unannounced"),
        make_entry(history.Event.COLD_OVERLOAD, at_s=START_S + 3),
    ]


def plant_work_in_a_withdrawn_domain(seen):
    withdrawn = history.Withdrawal(frozenset({"e0"}), START_S - 3)
    seen.domain_withdrawals.append(withdrawn)


def plant_work_at_a_withdrawn_endpoint(seen):
    withdrawn = history.Withdrawal(frozenset({"e0"}), START_S - 3)
    seen.endpoint_withdrawals.append(withdrawn)


def plant_foreign_answer(seen):
    seen.records.append(make_record(text=completions.make_text("other", 0, 4)))


def plant_cut_answer(seen):
    seen.records.append(make_record(text=TEXT[:-4]))


def plant_false_refusal(seen):
    seen.records[1] = make_refused(sent_at_s=START_S)
    seen.records.pop()


def plant_false_refusal_of_a_keyed_call(seen):
    seen.records.append(make_refused(key="k", digest=""))


def plant_second_execution(seen):
    entry = make_entry(
        history.Event.EXECUTED,
        endpoint="e1",
        idempotency_key="k",
        prompt_digest="",
    )
    seen.executions.append(entry)


def plant_cut_by_a_stop(seen):
    failed = outcome.Outcome.FAILED
    seen.records.append(make_record(outcome=failed, is_complete=False))


def plant_killed_at_a_stop(seen):
    seen.stops.append(history.Stop("i1", START_S, None))


def plant_reverted_version(seen):
    seen.acceptances.clear()
    seen.observations.append(history.Observation("i0", 1, START_S + 4))


def plant_slow_version(seen):
    seen.observations.append(history.Observation("i1", 1, START_S + 2.5))


PLANTED = [
    ("deadline", plant_late_end),
    ("deadline", plant_missing_outcome),
    ("memory-release", plant_held_memory),
    ("cold-start-capacity", plant_cold_overload),
    ("domain-drain", plant_work_in_a_withdrawn_domain),
    ("answer-integrity", plant_foreign_answer),
    ("answer-integrity", plant_cut_answer),
    ("refusal-truth", plant_false_refusal),
    ("refusal-truth", plant_false_refusal_of_a_keyed_call),
    ("at-most-once", plant_second_execution),
    ("endpoint-drain", plant_work_at_a_withdrawn_endpoint),
    ("graceful-shutdown", plant_cut_by_a_stop),
    ("graceful-shutdown", plant_killed_at_a_stop),
    ("configuration-convergence", plant_reverted_version),
    ("configuration-convergence", plant_slow_version),
]


def test_clean_run_holds():
    assert invariants.check_all(make_clean()) == []


@pytest.mark.parametrize(("check", "plant"), PLANTED)
def test_planted_fault_is_caught_by_its_check_alone(check, plant):
    seen = make_clean()
    plant(seen)
    found = {violation.check for violation in invariants.check_all(seen)}
    assert found == {check}


def test_every_check_has_a_planted_fault():
    assert {check for check, _ in PLANTED} == set(invariants.CHECKS)
