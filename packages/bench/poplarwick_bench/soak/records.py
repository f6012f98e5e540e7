"""Record of the calls, faults and changes of a soak."""

from __future__ import annotations

import dataclasses
import enum

from poplarwick_standins import platform_replica

STORE = "store"
"""Target name for interruptions of the store as a whole."""


class CallKind(enum.Enum):
    """Kind of a call; except for probes, the value is the route name."""

    SHORT = "short"
    LONG = "long"
    GIANT = "giant"
    ONCE = "once"
    LOOKUP = "lookup"
    PROBE = "probe"


class Outcome(enum.Enum):
    """Outcome of a call from the point of view of its caller."""

    WHOLE = "whole"
    CUT = "cut"
    UNANSWERED = "unanswered"
    NOT_SENT = "not_sent"
    LEFT = "left"


@dataclasses.dataclass(slots=True)
class Call:
    """One call of a caller.

    Attributes:
        request_id: Id of the request.
        kind: Kind of the call.
        instance: Name of the instance that it was sent to.
        incarnation: Start number of that instance's process.
        route: Name of the route in the request path.
        api_key: API key in the request.
        body: Body of the request.
        sent_at_s: Monotonic time at which it was sent, in seconds.
        deadline_s: Time that the caller allows for the call, in seconds.
        ended_at_s: Monotonic time at which it ended for its caller, in seconds.
        outcome: Outcome of the call.
        status: HTTP status of the response; None without a response.
        signature: Signature of the response; None without one.
        problem: Problem with the response body; None if it is correct.
        part: Part of its prompt that crashes engines; empty for none.
        reads_at_s: Monotonic time from which its caller reads the response;
            None if it reads all the while.
    """

    request_id: str
    kind: CallKind
    instance: str
    incarnation: int
    route: str
    api_key: str
    body: bytes
    sent_at_s: float
    deadline_s: float
    ended_at_s: float = 0.0
    outcome: Outcome = Outcome.UNANSWERED
    status: int | None = None
    signature: str | None = None
    problem: str | None = None
    part: str = ""
    reads_at_s: float | None = None


@dataclasses.dataclass(slots=True)
class Interruption:
    """A time span during which a fault or planned operation is in effect.

    Attributes:
        target: Name of the affected instance or endpoint, or `STORE`.
        begins_at_s: Monotonic start time in seconds.
        ends_at_s: Monotonic end time in seconds; infinity while it lasts.
        is_planned: Whether it is a planned operation.
    """

    target: str
    begins_at_s: float
    ends_at_s: float
    is_planned: bool = False

    def overlaps(self, begins_at_s: float, ends_at_s: float) -> bool:
        """Returns whether it overlaps a time span."""
        return self.begins_at_s <= ends_at_s and self.ends_at_s >= begins_at_s


class ChangeKind(enum.Enum):
    """Kind of a change made by operators."""

    ENDPOINT_LEAVES = "endpoint_leaves"
    DOMAIN_OUT = "domain_out"
    DOMAIN_BACK = "domain_back"
    KEY_TAKEN_AWAY = "key_taken_away"
    ROUTE_ADDED = "route_added"
    ROUTE_REMOVED = "route_removed"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change that the store has acknowledged.

    Attributes:
        kind: Kind of the change.
        subject: Name of the endpoint, failure domain, key or route.
        at_s: Monotonic time of the acknowledgement, in seconds.
    """

    kind: ChangeKind
    subject: str
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ColdSpan:
    """A time span in which an endpoint was cold."""

    endpoint: str
    begins_at_s: float
    ends_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LimitSpan:
    """A time span in which an endpoint named a rate of requests.

    Attributes:
        endpoint: Name of the endpoint.
        per_s: Requests a second that it took.
        begins_at_s: Monotonic start time in seconds.
        ends_at_s: Monotonic end time in seconds.
    """

    endpoint: str
    per_s: float
    begins_at_s: float
    ends_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CutSpan:
    """A time span in which instances reached no endpoint.

    Attributes:
        instances: Names of the instances.
        begins_at_s: Monotonic start time in seconds.
        ends_at_s: Monotonic end time in seconds.
    """

    instances: frozenset[str]
    begins_at_s: float
    ends_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SlowSpan:
    """A time span in which callers of an instance do not read.

    Attributes:
        instance: Name of the instance.
        begins_at_s: Monotonic start time in seconds.
        ends_at_s: Monotonic end time in seconds.
    """

    instance: str
    begins_at_s: float
    ends_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class IdleReservation:
    """A memory reservation that was unused for too long."""

    endpoint: str
    reservation: str
    idle_s: float
    at_s: float


@dataclasses.dataclass(slots=True)
class Record:
    """All observations of a soak.

    Attributes:
        calls: Calls of all callers.
        interruptions: Time spans of faults and planned operations.
        changes: Changes made by operators.
        endpoints: All endpoints that were started.
        cold_spans: Time spans in which endpoints were cold.
        limit_spans: Time spans in which endpoints named a rate.
        cut_spans: Time spans in which instances reached no endpoint.
        slow_spans: Time spans in which callers of an instance did not read.
        idle_reservations: Memory reservations that were unused for too long.
        unexpected_exits: Names of instances whose processes exited
            unexpectedly.
        killed_all_at_s: Monotonic time at which all instances were killed, in
            seconds; None if they were not.
        unreleased_memory: Descriptions of memory that endpoints still held
            after the load.
    """

    calls: list[Call] = dataclasses.field(default_factory=list)
    interruptions: list[Interruption] = dataclasses.field(default_factory=list)
    changes: list[Change] = dataclasses.field(default_factory=list)
    endpoints: list[platform_replica.Replica] = dataclasses.field(
        default_factory=list
    )
    cold_spans: list[ColdSpan] = dataclasses.field(default_factory=list)
    limit_spans: list[LimitSpan] = dataclasses.field(default_factory=list)
    cut_spans: list[CutSpan] = dataclasses.field(default_factory=list)
    slow_spans: list[SlowSpan] = dataclasses.field(default_factory=list)
    idle_reservations: list[IdleReservation] = dataclasses.field(
        default_factory=list
    )
    unexpected_exits: list[str] = dataclasses.field(default_factory=list)
    killed_all_at_s: float | None = None
    unreleased_memory: list[str] = dataclasses.field(default_factory=list)

    def group_executions(self) -> dict[str, list[platform_replica.Execution]]:
        """Returns the executions of each request by request id."""
        executions: dict[str, list[platform_replica.Execution]] = {}
        for endpoint in self.endpoints:
            for execution in endpoint.executions:
                executions.setdefault(execution.request_id, []).append(
                    execution
                )
        return executions

    def is_uninterrupted(
        self, instance: str, begins_at_s: float, ends_at_s: float
    ) -> bool:
        """Returns whether an instance and the store had no interruption.

        Planned operations count as interruptions.
        """
        return not any(
            i.target in (instance, STORE) and i.overlaps(begins_at_s, ends_at_s)
            for i in self.interruptions
        )

    def has_no_faults(self, begins_at_s: float, ends_at_s: float) -> bool:
        """Returns whether a time span had no faults.

        Planned operations do not count as faults.
        """
        return not any(
            not i.is_planned and i.overlaps(begins_at_s, ends_at_s)
            for i in self.interruptions
        )
