"""Events of callers' requests."""

from __future__ import annotations

from poplarwick_core import logs


class ReservationNotRenewed(logs.Event, frozen=True, kw_only=True):
    """Reserved memory could not be renewed; it is tried again.

    Attributes:
        endpoint: Id of the endpoint.
        ticket: Name of the reservation.
        reason: What the order met.
    """

    level = "WARNING"

    endpoint: str
    ticket: str
    reason: str


class ReservationNotReleased(logs.Event, frozen=True, kw_only=True):
    """Reserved memory could not be given back; it is tried again.

    Attributes:
        endpoint: Id of the endpoint.
        ticket: Name of the reservation.
        reason: What the order met.
    """

    level = "WARNING"

    endpoint: str
    ticket: str
    reason: str


class RequestUnreadable(logs.Event, frozen=True, kw_only=True):
    """A request's headers cannot be read.

    Attributes:
        request: Id of the request.
        reason: The header and what is wrong with it.
    """

    level = "WARNING"

    request: str | None = None
    reason: str


class RequestRejected(logs.Event, frozen=True, kw_only=True):
    """The configuration does not allow a request.

    Attributes:
        request: Id of the request.
        status: Status of the answer.
        version: Version in force.
    """

    request: str
    status: int
    version: int


class RequestReceived(logs.Event, frozen=True, kw_only=True):
    """A request was taken and routed.

    Attributes:
        request: Id of the request.
        route: Its route.
        service: Service that runs it.
        version: Version in force.
        priority: Its rank; 0 is the highest.
        prompt_tokens: Length of its prompt.
        time_left_s: Time until it must have its answer.
    """

    request: str
    route: str
    service: str
    version: int
    priority: int
    prompt_tokens: int | None = None
    time_left_s: float


class RequestRefused(logs.Event, frozen=True, kw_only=True):
    """A request was refused before it was read.

    Attributes:
        request: Id of the request.
        reason: Why.
    """

    level = "WARNING"

    request: str | None = None
    reason: str


class RequestPlaced(logs.Event, frozen=True, kw_only=True):
    """A request is sent to an endpoint.

    Attributes:
        request: Id of the request.
        endpoint: Id of the endpoint.
        address: Its host and port.
        helpers: Ids of the engines that read parts of the prompt.
        reserved_tokens: Memory reserved at them.
        expected_first_s: Expected time to the answer or first event.
        reason: Rule that chose the endpoint.
        placer: Instance that chose it, or "own".
        waited_s: Time that the choice took.
        send: How often the request was sent, this time included.
        resumes_after: Event after which its stream goes on.
    """

    request: str
    endpoint: str
    address: str
    helpers: str | None = None
    reserved_tokens: int | None = None
    expected_first_s: float
    reason: str
    placer: str
    waited_s: float
    send: int
    resumes_after: int | None = None


class RequestNotPlaced(logs.Event, frozen=True, kw_only=True):
    """A request found no place.

    Attributes:
        request: Id of the request.
        service: Its service.
        reason: Why.
        placer: Instance that decided, or "own".
        waited_s: Time that the decision took.
    """

    level = "WARNING"

    request: str
    service: str
    reason: str
    placer: str
    waited_s: float


class AttemptFailed(logs.Event, frozen=True, kw_only=True):
    """A request got no usable answer from an endpoint.

    Attributes:
        request: Id of the request.
        endpoint: Id of the endpoint.
        result: What that says of the endpoint.
        may_have_run: Whether the endpoint may have run it.
        reason: What was seen.
        repeated: Whether it is tried again.
        obstacle: Why it is not tried again.
    """

    level = "WARNING"

    request: str
    endpoint: str
    result: str
    may_have_run: bool
    reason: str
    repeated: bool
    obstacle: str | None = None


class RequestEnded(logs.Event, frozen=True, kw_only=True):
    """A request has its one ending.

    Attributes:
        request: Id of the request.
        outcome: answered, streamed, cut, failed or caller_left.
        route: Its route.
        status: Status of the answer.
        reason: Why it failed.
        first_s: Time to the first event.
        pause_s: Longest pause between events.
        total_s: Time to the ending.
        bytes: Bytes of a stream.
    """

    request: str
    outcome: str
    route: str
    status: int | None = None
    reason: str | None = None
    first_s: float | None = None
    pause_s: float | None = None
    total_s: float
    bytes: int | None = None
