"""Checks of what must always hold, on a run's history alone."""

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
    """One case in which an invariant did not hold.

    Attributes:
        check: Name of the check.
        detail: What was seen.
    """

    check: str
    detail: str


Details = Iterator[str]


def check_all(seen: history.History) -> list[Violation]:
    """Runs every check and returns what they found."""
    return [
        Violation(name, detail)
        for name, check in CHECKS.items()
        for detail in check(seen)
    ]


def check_deadlines(seen: history.History) -> Details:
    """Every admitted call ends within its time, with an outcome."""
    for record in _find_last_attempts(seen):
        if record.timeout_s is None or record.instance in seen.killed_or_paused:
            continue
        if record.took_s > record.timeout_s + DEADLINE_SLACK_S:
            yield f"{record.name} ended after {record.took_s:.2f} s"
        if record.outcome is None:
            yield f"{record.name} has no outcome: {record.code}"


def check_memory(seen: history.History) -> Details:
    """No engine holds memory after all streams have ended."""
    last: dict[str, int] = {}
    for entry in seen.executions:
        if entry.event is history.Event.RESTARTED:
            last[entry.endpoint] = 0
        elif entry.memory_used_tokens is not None:
            last[entry.endpoint] = entry.memory_used_tokens
    for endpoint, tokens in last.items():
        if tokens:
            yield f"{endpoint} still holds {tokens} tokens"


def check_cold_starts(seen: history.History) -> Details:
    """A cold endpoint gets no more work than it carries.

    An endpoint that turned cold unannounced may be overloaded until the first
    signal of it can have arrived.
    """
    unannounced_at_s: dict[str, float] = {}
    for entry in seen.executions:
        if entry.event is history.Event.RESTARTED:
            if entry.reason == UNANNOUNCED:
                unannounced_at_s[entry.endpoint] = entry.at_s
        if entry.event is not history.Event.COLD_OVERLOAD:
            continue
        turned_at_s = unannounced_at_s.get(entry.endpoint, -math.inf)
        if entry.at_s > turned_at_s + COLD_SIGNAL_S:
            yield f"{entry.endpoint} was overloaded while cold"


def check_domain_withdrawals(seen: history.History) -> Details:
    """A failure domain out of service gets no new work."""
    yield from _find_late_work(seen, seen.domain_withdrawals)


def check_answers(seen: history.History) -> Details:
    """Every answer delivered as whole is the call's own whole answer."""
    for record in seen.records:
        if not record.is_complete or not record.digest:
            continue
        if not caller.has_expected_text(record):
            yield f"{record.name} got an answer that is not its own"
    for record in seen.records:
        claims = record.outcome is outcome.Outcome.COMPLETE
        if claims and not record.is_complete:
            yield f"{record.name} was told complete without a whole answer"


def check_refusals(seen: history.History) -> Details:
    """A call told "not run" has not run, and does not run later."""
    started: dict[str, list[float]] = collections.defaultdict(list)
    for entry in seen.executions:
        if entry.event in (history.Event.STARTED, history.Event.EXECUTED):
            name = entry.idempotency_key or entry.prompt_digest
            started[name].append(entry.at_s)
    for record, until_s in _find_windows(seen):
        if record.outcome is not outcome.Outcome.NOT_RUN:
            continue
        name = record.key or record.digest
        ran = any(record.sent_at_s <= s < until_s for s in started[name])
        if name and ran:
            yield f"{record.name} was told not run, but ran"


def check_executions(seen: history.History) -> Details:
    """A call that may not be repeated runs at most once."""
    counts = collections.Counter(
        entry.idempotency_key
        for entry in seen.executions
        if entry.event is history.Event.EXECUTED
    )
    for key in sorted(seen.at_most_once_keys):
        if counts[key] > 1:
            yield f"the call with key {key} ran {counts[key]} times"


def check_endpoint_withdrawals(seen: history.History) -> Details:
    """An endpoint out of service gets no new work."""
    yield from _find_late_work(seen, seen.endpoint_withdrawals)


def check_shutdowns(seen: history.History) -> Details:
    """A planned stop cuts off no call in progress."""
    for stop in seen.stops:
        if stop.exit_code != 0:
            yield f"{stop.instance} ended with code {stop.exit_code}"
        for record in seen.records:
            if record.instance != stop.instance:
                continue
            was_admitted = record.outcome is not outcome.Outcome.NOT_RUN
            if (
                was_admitted
                and _overlaps(record, stop)
                and not record.is_complete
            ):
                yield f"{record.name} was cut off by a stop of {stop.instance}"


def check_configurations(seen: history.History) -> Details:
    """An accepted configuration is soon in force and never reverts."""
    highest: dict[str, int] = {}
    for observation in sorted(seen.observations, key=lambda o: o.at_s):
        before = highest.get(observation.instance, 0)
        if observation.version < before:
            yield (
                f"{observation.instance} went from version {before}"
                f" to {observation.version}"
            )
        highest[observation.instance] = max(before, observation.version)
        for accepted in seen.acceptances:
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
    seen: history.History, withdrawals: list[history.Withdrawal]
) -> Details:
    for withdrawal in withdrawals:
        from_s = withdrawal.accepted_at_s + WITHDRAWAL_LIMIT_S
        returned_s = withdrawal.returned_at_s
        until_s = math.inf if returned_s is None else returned_s
        for entry in seen.executions:
            is_new = entry.event in (
                history.Event.STARTED,
                history.Event.EXECUTED,
            )
            is_out = entry.endpoint in withdrawal.endpoints
            if is_new and is_out and from_s < entry.at_s < until_s:
                late_s = entry.at_s - withdrawal.accepted_at_s
                yield f"{entry.endpoint} got work {late_s:.2f} s after leaving"


def _find_last_attempts(seen: history.History) -> list[caller.Record]:
    return list({record.name: record for record in seen.records}.values())


def _find_windows(
    seen: history.History,
) -> Iterator[tuple[caller.Record, float]]:
    """Yields each attempt with the time at which the next one was sent."""
    attempts: dict[str, list[caller.Record]] = collections.defaultdict(list)
    for record in seen.records:
        attempts[record.key or record.digest].append(record)
    for same in attempts.values():
        same.sort(key=lambda record: record.sent_at_s)
        for index, record in enumerate(same):
            later = same[index + 1 :]
            yield record, later[0].sent_at_s if later else math.inf


def _overlaps(record: caller.Record, stop: history.Stop) -> bool:
    ended_at_s = record.sent_at_s + record.took_s
    return record.sent_at_s <= stop.began_at_s <= ended_at_s
