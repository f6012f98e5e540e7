"""Invariant checks that use only the history of a run."""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Callable
from collections.abc import Iterator

from poplarwick_bench import caller
from poplarwick_bench import history
from poplarwick_core import outcome

DEADLINE_SLACK_S = 1.0
WITHDRAWAL_LIMIT_S = 2.0
CONVERGENCE_LIMIT_S = 2.0
COLD_SIGNAL_S = 2.0
UNANNOUNCED = "unannounced"


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """One violation of an invariant.

    Attributes:
        check: Name of the check.
        detail: Description of the violation.
    """

    check: str
    detail: str


Details = Iterator[str]


def check_all(run_history: history.History) -> list[Violation]:
    """Runs all checks and returns the violations."""
    return [
        Violation(name, detail)
        for name, check in CHECKS.items()
        for detail in check(run_history)
    ]


def check_deadlines(run_history: history.History) -> Details:
    """Every admitted call ends within its time limit, with an outcome."""
    for record in _select_last_attempts(run_history):
        if (
            record.timeout_s is None
            or record.instance in run_history.killed_or_paused
        ):
            continue
        if record.duration_s > record.timeout_s + DEADLINE_SLACK_S:
            yield f"{record.name} ended after {record.duration_s:.2f} s"
        if record.outcome is None:
            yield f"{record.name} has no outcome: {record.code}"


def check_memory(run_history: history.History) -> Details:
    """No engine holds KV cache memory after all streams have ended."""
    last: dict[str, int] = {}
    for entry in run_history.executions:
        if entry.event is history.Event.RESTARTED:
            last[entry.endpoint] = 0
        elif entry.memory_used_tokens is not None:
            last[entry.endpoint] = entry.memory_used_tokens
    for endpoint, tokens in last.items():
        if tokens:
            yield f"{endpoint} did not release {tokens} tokens"


def check_cold_starts(run_history: history.History) -> Details:
    """A cold endpoint receives no more work than it can serve.

    An endpoint that restarted without notice may be overloaded until instances
    can have learned of it (`COLD_SIGNAL_S`).
    """
    unannounced_at_s: dict[str, float] = {}
    for entry in run_history.executions:
        if entry.event is history.Event.RESTARTED:
            if entry.reason == UNANNOUNCED:
                unannounced_at_s[entry.endpoint] = entry.at_s
        if entry.event is not history.Event.COLD_OVERLOAD:
            continue
        restarted_at_s = unannounced_at_s.get(entry.endpoint, -math.inf)
        if entry.at_s > restarted_at_s + COLD_SIGNAL_S:
            yield f"{entry.endpoint} was overloaded while cold"


def check_domain_withdrawals(run_history: history.History) -> Details:
    """A failure domain out of service receives no new work."""
    yield from _find_late_work(run_history, run_history.domain_withdrawals)


def check_answers(run_history: history.History) -> Details:
    """A complete response has the expected text of its call.

    An attempt with the outcome complete has received a complete response.
    """
    for record in run_history.records:
        if not record.is_complete or not record.prompt_digest:
            continue
        if not caller.has_expected_text(record):
            yield f"{record.name} got a response with unexpected text"
    for record in run_history.records:
        is_reported_complete = record.outcome is outcome.Outcome.COMPLETE
        if is_reported_complete and not record.is_complete:
            yield f"{record.name} has outcome complete, but is truncated"


def check_refusals(run_history: history.History) -> Details:
    """A call with the outcome not-run has not run and does not run later."""
    started: dict[str, list[float]] = collections.defaultdict(list)
    for entry in run_history.executions:
        if entry.event in (history.Event.STARTED, history.Event.EXECUTED):
            name = entry.idempotency_key or entry.prompt_digest
            started[name].append(entry.at_s)
    for record, until_s in _pair_with_next_send(run_history):
        if record.outcome is not outcome.Outcome.NOT_RUN:
            continue
        name = record.key or record.prompt_digest
        ran = any(record.sent_at_s <= s < until_s for s in started[name])
        if name and ran:
            yield f"{record.name} has outcome not-run, but ran"


def check_executions(run_history: history.History) -> Details:
    """A call that is not idempotent runs at most once."""
    counts = collections.Counter(
        entry.idempotency_key
        for entry in run_history.executions
        if entry.event is history.Event.EXECUTED
    )
    for key in sorted(run_history.at_most_once_keys):
        if counts[key] > 1:
            yield f"the call with key {key} ran {counts[key]} times"


def check_endpoint_withdrawals(run_history: history.History) -> Details:
    """An endpoint out of service receives no new work."""
    yield from _find_late_work(run_history, run_history.endpoint_withdrawals)


def check_shutdowns(run_history: history.History) -> Details:
    """A planned stop interrupts no call in progress."""
    for stop in run_history.stops:
        if stop.exit_code != 0:
            yield f"{stop.instance} ended with code {stop.exit_code}"
        for record in run_history.records:
            if record.instance != stop.instance:
                continue
            was_admitted = record.outcome is not outcome.Outcome.NOT_RUN
            if (
                was_admitted
                and _overlaps(record, stop)
                and not record.is_complete
            ):
                yield f"{record.name} was cut off when {stop.instance} stopped"


def check_configurations(run_history: history.History) -> Details:
    """An accepted version is in force within the limit and never reverts."""
    highest: dict[str, int] = {}
    for observation in sorted(run_history.observations, key=lambda o: o.at_s):
        before = highest.get(observation.instance, 0)
        if observation.version < before:
            yield (
                f"{observation.instance} went from version {before}"
                f" to {observation.version}"
            )
        highest[observation.instance] = max(before, observation.version)
        for accepted in run_history.acceptances:
            is_due = observation.at_s > accepted.at_s + CONVERGENCE_LIMIT_S
            if is_due and observation.version < accepted.version:
                yield (
                    f"{observation.instance} had version"
                    f" {observation.version}, not {accepted.version}"
                )


CHECKS: dict[str, Callable[[history.History], Details]] = {
    "deadline": check_deadlines,
    "memory-release": check_memory,
    "cold-start-capacity": check_cold_starts,
    "domain-drain": check_domain_withdrawals,
    "answer-integrity": check_answers,
    "refusal-truth": check_refusals,
    "at-most-once": check_executions,
    "endpoint-drain": check_endpoint_withdrawals,
    "graceful-shutdown": check_shutdowns,
    "configuration-convergence": check_configurations,
}


def _find_late_work(
    run_history: history.History, withdrawals: list[history.Withdrawal]
) -> Details:
    for withdrawal in withdrawals:
        from_s = withdrawal.accepted_at_s + WITHDRAWAL_LIMIT_S
        returned_s = withdrawal.returned_at_s
        until_s = math.inf if returned_s is None else returned_s
        for entry in run_history.executions:
            is_new = entry.event in (
                history.Event.STARTED,
                history.Event.EXECUTED,
            )
            is_withdrawn = entry.endpoint in withdrawal.endpoints
            if is_new and is_withdrawn and from_s < entry.at_s < until_s:
                late_s = entry.at_s - withdrawal.accepted_at_s
                yield f"{entry.endpoint} got work {late_s:.2f} s after leaving"


def _select_last_attempts(
    run_history: history.History,
) -> list[caller.AttemptRecord]:
    return list(
        {record.name: record for record in run_history.records}.values()
    )


def _pair_with_next_send(
    run_history: history.History,
) -> Iterator[tuple[caller.AttemptRecord, float]]:
    """Yields each attempt with the time at which the next was sent."""
    attempts: dict[str, list[caller.AttemptRecord]] = collections.defaultdict(
        list
    )
    for record in run_history.records:
        attempts[record.key or record.prompt_digest].append(record)
    for same in attempts.values():
        same.sort(key=lambda record: record.sent_at_s)
        for index, record in enumerate(same):
            later = same[index + 1 :]
            yield record, later[0].sent_at_s if later else math.inf


def _overlaps(record: caller.AttemptRecord, stop: history.Stop) -> bool:
    ended_at_s = record.sent_at_s + record.duration_s
    return record.sent_at_s <= stop.began_at_s <= ended_at_s
