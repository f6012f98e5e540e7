"""Log events of callers' requests."""

from __future__ import annotations

from poplarwick_core import logs


class ReservationNotRenewed(logs.Event, frozen=True, kw_only=True):
    """A memory reservation could not be renewed; the renewal is retried.

    Attributes:
        endpoint: Id of the endpoint.
        ticket: Id of the reservation.
        reason: Error of the call to the engine.
    """

    level = "WARNING"

    endpoint: str
    ticket: str
    reason: str


class ReservationNotReleased(logs.Event, frozen=True, kw_only=True):
    """A memory reservation could not be released; the release is retried.

    Attributes:
        endpoint: Id of the endpoint.
        ticket: Id of the reservation.
        reason: Error of the call to the engine.
    """

    level = "WARNING"

    endpoint: str
    ticket: str
    reason: str


class RequestUnreadable(logs.Event, frozen=True, kw_only=True):
    """A request has a header that cannot be parsed.

    Attributes:
        request: Id of the request.
        reason: Name of the header and the error.
    """

    level = "WARNING"

    request: str | None = None
    reason: str


class RequestRejected(logs.Event, frozen=True, kw_only=True):
    """A request is not allowed by the configuration.

    Attributes:
        request: Id of the request.
        status: Status of the response.
        version: Version of the configuration in force.
    """

    request: str
    status: int
    version: int


class RequestReceived(logs.Event, frozen=True, kw_only=True):
    """A request was accepted and routed.

    Attributes:
        request: Id of the request.
        fingerprint: What all copies of the request have in common.
        route: Name of its route.
        service: Service that runs it.
        version: Version of the configuration in force.
        priority: Priority of the request; 0 is the highest.
        prompt_tokens: Length of its prompt.
        time_left_s: Time until its deadline.
    """

    request: str
    fingerprint: str
    route: str
    service: str
    version: int
    priority: int
    prompt_tokens: int | None = None
    time_left_s: float


class RequestRefused(logs.Event, frozen=True, kw_only=True):
    """A request was refused before it was routed.

    Attributes:
        request: Id of the request.
        reason: Why it was refused.
    """

    level = "WARNING"

    request: str | None = None
    reason: str


class RequestPlaced(logs.Event, frozen=True, kw_only=True):
    """A request was placed and is sent to an endpoint.

    Attributes:
        request: Id of the request.
        endpoint: Id of the endpoint.
        address: Host and port of the endpoint.
        helpers: Ids of the engines that prefill parts of the prompt.
        reserved_tokens: KV-cache memory reserved at the helpers, in tokens.
        expected_first_s: Expected time to the response or the first event.
        expected_tokens: Expected length of the output, where it is estimated.
        cost_samples: Earlier requests that the estimate relies on; 0 if it is
            the caller's own.
        reason: Rule that selected the endpoint.
        placer: Instance that placed the request; "own" if placed locally.
        waited_s: Time that the placement took.
        send: Number of this attempt, starting at 1.
        resumes_after: Id of the event after which the stream is resumed.
    """

    request: str
    endpoint: str
    address: str
    helpers: str | None = None
    reserved_tokens: int | None = None
    expected_first_s: float
    expected_tokens: int | None = None
    cost_samples: int | None = None
    reason: str
    placer: str
    waited_s: float
    send: int
    resumes_after: int | None = None


class RequestNotPlaced(logs.Event, frozen=True, kw_only=True):
    """A request was not placed.

    Attributes:
        request: Id of the request.
        service: Service that was to run it.
        reason: Why it was not placed.
        placer: Instance that decided; "own" if decided locally.
        waited_s: Time that the decision took.
        retry_after_s: Time after which the caller is told to retry.
        served_first: Queued requests that the forecast of capacity expects to
            be served before it; absent if no forecast decided.
        capacity_in_s: Time until capacity is expected and kept for the caller;
            absent if there is none before its deadline.
    """

    level = "WARNING"

    request: str
    service: str
    reason: str
    placer: str
    waited_s: float
    retry_after_s: float
    served_first: int | None = None
    capacity_in_s: float | None = None


class RequestQuarantined(logs.Event, frozen=True, kw_only=True):
    """A request was refused because it, or its prompt, crashes endpoints.

    Attributes:
        request: Id of the request.
        service: Service that was to run it.
        quarantine: Id of the quarantine.
    """

    request: str
    service: str
    quarantine: str


class SilentEndpointKept(logs.Event, frozen=True, kw_only=True):
    """A request stays at a silent endpoint: no other one may have it.

    Attributes:
        request: The request.
        reason: Why it was not placed elsewhere.
    """

    request: str
    reason: str


class AttemptFailed(logs.Event, frozen=True, kw_only=True):
    """An attempt got no usable response from an endpoint.

    Attributes:
        request: Id of the request.
        endpoint: Id of the endpoint.
        result: Result of the attempt, as counted for the endpoint.
        may_have_run: Whether the endpoint may have run the request.
        reason: Error that ended the attempt.
        repeated: Whether the request is retried.
        obstacle: Why it is not retried.
        fingerprint: What all copies of the request have in common.
        parts: Parts of its prompt that other requests may share.
        written_s: Time from the head of the response to its last event; None
            without a head.
        relay: Instance through which the endpoint was connected.
    """

    level = "WARNING"

    request: str
    endpoint: str
    result: str
    may_have_run: bool
    reason: str
    repeated: bool
    obstacle: str | None = None
    fingerprint: str
    parts: str | None = None
    written_s: float | None = None
    relay: str | None = None


class AttemptRelayed(logs.Event, frozen=True, kw_only=True):
    """An endpoint answers an attempt through another instance.

    Attributes:
        request: Id of the request.
        endpoint: Id of the endpoint.
        relay: The instance, which logs `connection_relayed`.
    """

    request: str
    endpoint: str
    relay: str


class RequestEnded(logs.Event, frozen=True, kw_only=True):
    """A routed request ended; logged once per request.

    Attributes:
        request: Id of the request.
        outcome: answered, streamed, cut, failed, caller_left or error.
        route: Name of its route.
        status: Status of the response.
        reason: Why it failed.
        first_s: Time to the first event.
        pause_s: Longest pause between events.
        total_s: Time to the end of the request.
        bytes: Bytes of events sent to the caller.
        output_tokens: Length of the output of a complete stream.
        expected_tokens: Length that was expected when it was placed.
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
    output_tokens: int | None = None
    expected_tokens: int | None = None


class RequestAbandoned(logs.Event, frozen=True, kw_only=True):
    """A request ended with its connection before or after it was run.

    Attributes:
        request: Id of the request.
        stage: `reading` if its body or the configuration was missing,
            `answering` if its answer was being sent.
        total_s: Time since its head was read.
    """

    level = "WARNING"

    request: str | None = None
    stage: str
    total_s: float


class RequestLeftAtStop(logs.Event, frozen=True, kw_only=True):
    """A request is still in progress shortly before its instance ends.

    The process may be killed from now on. A request that ends before that has
    its usual lines as well.

    Attributes:
        request: Id of the request; None if it has none.
        stage: How far it has come: `reading`, `running` or `answering`.
        unsent_bytes: Bytes that have not been sent to the caller.
    """

    level = "WARNING"

    request: str | None = None
    stage: str
    unsent_bytes: int


class ConnectionCut(logs.Event, frozen=True, kw_only=True):
    """A stopping instance closes a connection that is still in use.

    Attributes:
        request: Id of its request; None if it carries none.
        stage: How far the request has come: `reading`, `running` or
            `answering`.
        unsent_bytes: Bytes that have not been sent to the caller.
    """

    level = "WARNING"

    request: str | None = None
    stage: str | None = None
    unsent_bytes: int


class CallerCutOff(logs.Event, frozen=True, kw_only=True):
    """A caller's connection was closed because it does not read.

    Attributes:
        request: Id of its request; None if there is none in progress.
        unread_s: Time for which it has not read.
        unsent_bytes: Bytes that waited to be sent.
        reason: `unread`, or `memory` if requests could not be accepted.
    """

    level = "WARNING"

    request: str | None = None
    unread_s: float
    unsent_bytes: int
    reason: str


class AnswerNotDelivered(logs.Event, frozen=True, kw_only=True):
    """A caller's connection was lost before it had its complete answer.

    Attributes:
        request: Id of the request; None if it has none.
        reason: Error of the connection.
    """

    request: str | None
    reason: str


class UnreadResponseCut(logs.Event, frozen=True, kw_only=True):
    """An endpoint cut a response whose caller did not read it.

    The endpoint is not blamed.

    Attributes:
        request: Id of the request.
        unread_s: Time for which the caller had been behind.
    """

    request: str
    unread_s: float
