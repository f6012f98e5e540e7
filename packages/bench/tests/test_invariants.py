"""Tests that each check passes a clean run and detects a violation."""

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
        "prompt_digest": DIGEST,
        "max_tokens": 4,
    }
    return caller.AttemptRecord(**(defaults | fields))


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
    # Withdrawals of e0: one ended before its work, one starts after it.
    returned = history.Withdrawal(frozenset({"e0"}), START_S - 60, START_S - 30)
    return history.History(
        records=[
            make_refused(name="refused", prompt_digest="d2"),
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


def add_late_end(run_history):
    run_history.records.append(make_record(ended_s=6.5))


def add_missing_outcome(run_history):
    run_history.records.append(make_record(outcome=None, is_complete=False))
    run_history.stops.clear()


def add_unreleased_memory(run_history):
    run_history.executions[-1].memory_used_tokens = 5


def add_cold_overload(run_history):
    run_history.executions += [
        make_entry(history.Event.RESTARTED, reason="unannounced"),
        make_entry(history.Event.COLD_OVERLOAD, at_s=START_S + 3),
    ]


def add_work_in_a_withdrawn_domain(run_history):
    withdrawn = history.Withdrawal(frozenset({"e0"}), START_S - 3)
    run_history.domain_withdrawals.append(withdrawn)


def add_work_at_a_withdrawn_endpoint(run_history):
    withdrawn = history.Withdrawal(frozenset({"e0"}), START_S - 3)
    run_history.endpoint_withdrawals.append(withdrawn)


def add_unexpected_text(run_history):
    run_history.records.append(
        make_record(text=completions.make_text("other", 0, 4))
    )


def add_truncated_response(run_history):
    run_history.records.append(make_record(text=TEXT[:-4]))


def add_false_refusal(run_history):
    run_history.records[1] = make_refused(sent_at_s=START_S)
    run_history.records.pop()


def add_false_refusal_of_a_keyed_call(run_history):
    run_history.records.append(make_refused(key="k", prompt_digest=""))


def add_second_execution(run_history):
    entry = make_entry(
        history.Event.EXECUTED,
        endpoint="e1",
        idempotency_key="k",
        prompt_digest="",
    )
    run_history.executions.append(entry)


def add_cut_by_a_stop(run_history):
    failed = outcome.Outcome.FAILED
    run_history.records.append(make_record(outcome=failed, is_complete=False))


def add_killed_at_a_stop(run_history):
    run_history.stops.append(history.Stop("i1", START_S, None))


def add_reverted_version(run_history):
    run_history.acceptances.clear()
    run_history.observations.append(history.Observation("i0", 1, START_S + 4))


def add_slow_version(run_history):
    run_history.observations.append(history.Observation("i1", 1, START_S + 2.5))


VIOLATIONS = [
    ("deadline", add_late_end),
    ("deadline", add_missing_outcome),
    ("memory-release", add_unreleased_memory),
    ("cold-start-capacity", add_cold_overload),
    ("domain-drain", add_work_in_a_withdrawn_domain),
    ("answer-integrity", add_unexpected_text),
    ("answer-integrity", add_truncated_response),
    ("refusal-truth", add_false_refusal),
    ("refusal-truth", add_false_refusal_of_a_keyed_call),
    ("at-most-once", add_second_execution),
    ("endpoint-drain", add_work_at_a_withdrawn_endpoint),
    ("graceful-shutdown", add_cut_by_a_stop),
    ("graceful-shutdown", add_killed_at_a_stop),
    ("configuration-convergence", add_reverted_version),
    ("configuration-convergence", add_slow_version),
]


def test_clean_run_has_no_violations():
    assert invariants.check_all(make_clean()) == []


@pytest.mark.parametrize(("check", "violate"), VIOLATIONS)
def test_violation_is_detected_only_by_its_check(check, violate):
    run_history = make_clean()
    violate(run_history)
    violated = {
        violation.check for violation in invariants.check_all(run_history)
    }
    assert violated == {check}


def test_every_check_has_a_violating_history():
    assert {check for check, _ in VIOLATIONS} == set(invariants.CHECKS)
