"""Recorded history of a run: the only input of the invariant checks."""

from __future__ import annotations

import dataclasses
import enum
import pathlib

import msgspec

from poplarwick_bench import caller


class Event(enum.Enum):
    """Entries of an endpoint's execution log."""

    STARTED = "started"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    LOST = "lost"
    OVERLOADED = "overloaded"
    COLD_OVERLOAD = "cold_overload"
    RESTARTED = "restarted"
    EXECUTED = "executed"
    EXPORTED = "exported"
    RELEASED = "released"


class Execution(msgspec.Struct, kw_only=True):
    """One entry of an endpoint's execution log.

    Attributes:
        endpoint: Endpoint that wrote the entry.
        event: Kind of the entry.
        at_s: Wall time in seconds.
        stream: Stream, for model engines.
        epoch: Fencing token of the command.
        prompt_digest: Digest of the prompt, for model engines.
        idempotency_key: Key of the call, for plain services.
        memory_used_tokens: KV cache memory in use after the event.
        reason: Reason of a restart.
    """

    endpoint: str = ""
    event: Event
    at_s: float
    stream: str | None = None
    epoch: int = 0
    prompt_digest: str = ""
    idempotency_key: str | None = None
    memory_used_tokens: int | None = None
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawal:
    """Endpoints taken out of service.

    Attributes:
        endpoints: Ids of the endpoints.
        accepted_at_s: Wall time at which the change was accepted.
        returned_at_s: Wall time of the return to service; None for never.
    """

    endpoints: frozenset[str]
    accepted_at_s: float
    returned_at_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """A planned stop of an instance.

    Attributes:
        instance: Id of the instance.
        began_at_s: Wall time of the signal.
        exit_code: Exit code; None if the instance had to be killed.
    """

    instance: str
    began_at_s: float
    exit_code: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Acceptance:
    """A configuration change that was accepted.

    Attributes:
        version: Accepted version.
        at_s: Wall time of the response.
    """

    version: int
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """The version in force at an instance at a point in time.

    Attributes:
        instance: Id of the instance.
        version: Version in force.
        at_s: Wall time of the observation.
    """

    instance: str
    version: int
    at_s: float


@dataclasses.dataclass(slots=True)
class History:
    """Everything that callers, operators and endpoints recorded.

    Attributes:
        records: Attempts of all calls, in the order of their ends.
        executions: Execution log entries of all endpoints.
        domain_withdrawals: Failure domains taken out of service.
        endpoint_withdrawals: Endpoints taken out of service.
        stops: Planned stops of instances.
        killed_or_paused: Ids of instances killed or paused during the run.
        acceptances: Accepted configurations.
        observations: Observed versions in force.
        at_most_once_keys: Idempotency keys of calls that may run at most once.
    """

    records: list[caller.AttemptRecord] = dataclasses.field(
        default_factory=list
    )
    executions: list[Execution] = dataclasses.field(default_factory=list)
    domain_withdrawals: list[Withdrawal] = dataclasses.field(
        default_factory=list
    )
    endpoint_withdrawals: list[Withdrawal] = dataclasses.field(
        default_factory=list
    )
    stops: list[Stop] = dataclasses.field(default_factory=list)
    killed_or_paused: set[str] = dataclasses.field(default_factory=set)
    acceptances: list[Acceptance] = dataclasses.field(default_factory=list)
    observations: list[Observation] = dataclasses.field(default_factory=list)
    at_most_once_keys: set[str] = dataclasses.field(default_factory=set)


def read_executions(folder: pathlib.Path) -> list[Execution]:
    """Reads the execution logs of all endpoints, oldest entry first."""
    executions = []
    for path in sorted(folder.glob("*.executions")):
        for line in path.read_bytes().splitlines():
            entry = msgspec.json.decode(line, type=Execution)
            entry.endpoint = path.stem
            executions.append(entry)
    return sorted(executions, key=lambda entry: entry.at_s)
