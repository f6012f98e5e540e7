"""What callers, endpoints and operators saw in a soak."""

from __future__ import annotations

import dataclasses
import enum

from poplarwick_standins import platform_replica

STORE = "store"
"""Target of interruptions of the whole store."""


class CallKind(enum.Enum):
    """What a caller asks for."""

    SHORT = "short"
    LONG = "long"
    GIANT = "giant"
    ONCE = "once"
    LOOKUP = "lookup"
    PROBE = "probe"


class Outcome(enum.Enum):
    """How a call ended, as its caller saw it."""

    WHOLE = "whole"
    CUT = "cut"
    UNANSWERED = "unanswered"
    NOT_SENT = "not_sent"
    LEFT = "left"


@dataclasses.dataclass(slots=True)
class Call:
    """One call of a caller.

    Attributes:
        request: Its id.
        kind: What it asks for.
        instance: Instance that it was sent to.
        start: Number of the start of that instance's process.
        route: Name of the route in its path.
        key: Key that it carries.
        body: Its body.
        sent_at_s: Monotonic time at which it was sent.
        deadline_s: How long the caller waits.
        ended_at_s: When it ended for its caller.
        outcome: How it ended.
        status: Status of the answer, None without one.
        signature: Signature of the answer.
        problem: What is wrong with the answer, None if nothing is.
    """

    request: str
    kind: CallKind
    instance: str
    start: int
    route: str
    key: str
    body: bytes
    sent_at_s: float
    deadline_s: float
    ended_at_s: float = 0.0
    outcome: Outcome = Outcome.UNANSWERED
    status: int | None = None
    signature: str | None = None
    problem: str | None = None


@dataclasses.dataclass(slots=True)
class Interruption:
    """A time in which something was harmed.

    Attributes:
        target: Name of the instance or endpoint, or `STORE`.
        begins_at_s: When it began.
        ends_at_s: When it ended; infinity while it lasts.
        is_planned: Whether it is planned work.
    """

    target: str
    begins_at_s: float
    ends_at_s: float
    is_planned: bool = False

    def overlaps(self, begins_at_s: float, ends_at_s: float) -> bool:
        """Tells whether some of it lies in a span."""
        return self.begins_at_s <= ends_at_s and self.ends_at_s >= begins_at_s


class ChangeKind(enum.Enum):
    """What operators changed."""

    ENDPOINT_LEAVES = "endpoint_leaves"
    DOMAIN_OUT = "domain_out"
    DOMAIN_BACK = "domain_back"
    KEY_TAKEN_AWAY = "key_taken_away"
    ROUTE_ADDED = "route_added"
    ROUTE_REMOVED = "route_removed"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change that the store acknowledged.

    Attributes:
        kind: What changed.
        subject: Name of the endpoint, failure domain, key or route.
        at_s: When it was acknowledged.
    """

    kind: ChangeKind
    subject: str
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ColdSpan:
    """A time in which an endpoint was cold."""

    endpoint: str
    begins_at_s: float
    ends_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class IdleTicket:
    """Reserved memory that no request used for too long."""

    endpoint: str
    ticket: str
    idle_s: float
    at_s: float


@dataclasses.dataclass(slots=True)
class Record:
    """All that was seen.

    Attributes:
        calls: Calls of all callers.
        interruptions: What was harmed, and planned work.
        changes: Changes of operators.
        endpoints: All endpoints that ever ran.
        cold: Times in which endpoints were cold.
        idle_tickets: Reserved memory that was idle for too long.
        own_ends: Instances whose processes ended by themselves.
        killed_all_at_s: When all instances were killed.
        left_over: What endpoints still held after the load.
    """

    calls: list[Call] = dataclasses.field(default_factory=list)
    interruptions: list[Interruption] = dataclasses.field(default_factory=list)
    changes: list[Change] = dataclasses.field(default_factory=list)
    endpoints: list[platform_replica.Replica] = dataclasses.field(
        default_factory=list
    )
    cold: list[ColdSpan] = dataclasses.field(default_factory=list)
    idle_tickets: list[IdleTicket] = dataclasses.field(default_factory=list)
    own_ends: list[str] = dataclasses.field(default_factory=list)
    killed_all_at_s: float | None = None
    left_over: list[str] = dataclasses.field(default_factory=list)

    def find_runs(self) -> dict[str, list[platform_replica.Execution]]:
        """Returns the runs of each request."""
        found: dict[str, list[platform_replica.Execution]] = {}
        for endpoint in self.endpoints:
            for run in endpoint.executions:
                found.setdefault(run.request_id, []).append(run)
        return found

    def is_calm(
        self, instance: str, begins_at_s: float, ends_at_s: float
    ) -> bool:
        """Tells whether nothing harmed an instance or the store in a span."""
        return not any(
            i.target in (instance, STORE) and i.overlaps(begins_at_s, ends_at_s)
            for i in self.interruptions
        )

    def is_unharmed(self, begins_at_s: float, ends_at_s: float) -> bool:
        """Tells whether nothing but planned work went on in a span."""
        return not any(
            not i.is_planned and i.overlaps(begins_at_s, ends_at_s)
            for i in self.interruptions
        )
