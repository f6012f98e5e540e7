"""Events of placer election and of sessions with the placer."""

from __future__ import annotations

from poplarwick_core import logs


class RegistrationFailed(logs.Event, frozen=True, kw_only=True):
    """The member entry of this instance could not be written.

    Attributes:
        reason: Error of the call.
    """

    level = "WARNING"

    reason: str


class RegistrationNotWithdrawn(logs.Event, frozen=True, kw_only=True):
    """This instance did not remove its member entry as it ends.

    The placer removes it, unless another process has written it.

    Attributes:
        reason: Error of the call, or how the entry has changed meanwhile.
    """

    level = "WARNING"

    reason: str


class QuarantineNotStored(logs.Event, frozen=True, kw_only=True):
    """A quarantine could not be written to the store; the write is retried.

    Attributes:
        quarantine: Id of the quarantine.
        reason: Error of the call.
    """

    level = "WARNING"

    quarantine: str
    reason: str


class EndpointCrashed(logs.Event, frozen=True, kw_only=True):
    """An endpoint that cut answers off was found to have ended.

    Attributes:
        endpoint: Id of the endpoint.
        cuts: Number of answers that it cut off.
        suspects: Number of requests that may have caused it.
        headless: Number of answers that it cut off before their heads.
        parts: Parts of the suspects' prompts, the most suspected first.
    """

    level = "WARNING"

    endpoint: str
    cuts: int
    suspects: int
    headless: int
    parts: str | None


class CrashRetracted(logs.Event, frozen=True, kw_only=True):
    """An endpoint that cut answers off lives; this speaks against no request.

    Attributes:
        endpoint: Id of the endpoint.
        cause: What showed it: report or progress.
        was_confirmed: Whether `endpoint_crashed` was logged before.
    """

    endpoint: str
    cause: str
    was_confirmed: bool


class EndpointSlow(logs.Event, frozen=True, kw_only=True):
    """An endpoint does less work than its peers and gets fewer requests.

    Attributes:
        endpoint: Id of the endpoint.
        slowdown: Time of its requests relative to its peers'.
    """

    level = "WARNING"

    endpoint: str
    slowdown: float


class EndpointRecovered(logs.Event, frozen=True, kw_only=True):
    """A slow endpoint does as much as its peers, or is tried again.

    Attributes:
        endpoint: Id of the endpoint.
    """

    endpoint: str


class BookingRaised(logs.Event, frozen=True, kw_only=True):
    """Preemptions raised the memory that is reserved for a service.

    Attributes:
        service: The service.
        quantile: Quantile of the outputs for which memory is reserved.
    """

    service: str
    quantile: float


class ShareExceeded(logs.Event, frozen=True, kw_only=True):
    """An organisation uses more than its share of a service.

    Only the largest few are logged, every ten seconds at most. While others
    wait for their shares, its requests wait for them.

    Attributes:
        service: Id of the service.
        organisation: Id of the organisation.
        factor: Its usage as a multiple of its share.
        held_back: Times that a request of it waited for others, so far.
    """

    level = "INFO"

    service: str
    organisation: str
    factor: float
    held_back: int


class EarlierCutReported(logs.Event, frozen=True, kw_only=True):
    """An instance reports an answer that was cut off under another placer.

    Attributes:
        peer: The instance.
        endpoint: Id of the endpoint.
        request: Id of the request.
    """

    level = "INFO"

    peer: str
    endpoint: str
    request: str


class AwaitsPlacer(logs.Event, frozen=True, kw_only=True):
    """A request that may have crashed an endpoint waits for the next placer.

    Attributes:
        request: Id of the request.
    """

    level = "INFO"

    request: str


class PlacerFailed(logs.Event, frozen=True, kw_only=True):
    """The placer of this instance stopped because of an exception.

    Attributes:
        reason: The exception.
    """

    level = "ERROR"

    reason: str


class SessionOpened(logs.Event, frozen=True, kw_only=True):
    """This placer opened a session for an instance.

    Attributes:
        peer: The instance.
        epoch: Epoch of the tenure.
    """

    peer: str
    epoch: int


class SessionClosed(logs.Event, frozen=True, kw_only=True):
    """This placer closed the session of an instance.

    Attributes:
        peer: The instance.
        reason: Why the session was closed.
    """

    peer: str
    reason: str


class LoadInherited(logs.Event, frozen=True, kw_only=True):
    """An engine runs requests that no instance knows, or does so no longer.

    Attributes:
        endpoint: The engine.
        requests: Number of these requests; 0 when they have ended.
        memory_tokens: Engine memory that they hold.
    """

    endpoint: str
    requests: int
    memory_tokens: int


class EndpointDoubted(logs.Event, frozen=True, kw_only=True):
    """An engine did not return two reports in a row and is suspected.

    Attributes:
        endpoint: Id of the endpoint.
    """

    level = "WARNING"

    endpoint: str


class PeerLost(logs.Event, frozen=True, kw_only=True):
    """An instance could not be reached.

    Attributes:
        peer: The instance.
        reason: Error of the connection.
    """

    peer: str
    reason: str


class PlacerFollowed(logs.Event, frozen=True, kw_only=True):
    """This instance submits its requests to a placer.

    Attributes:
        placer: Instance of the placer.
        epoch: Epoch of its tenure.
    """

    placer: str
    epoch: int


class PlacerLost(logs.Event, frozen=True, kw_only=True):
    """This instance lost its placer and schedules its requests locally.

    Attributes:
        placer: Instance of the former placer.
        reason: Why the connection ended.
    """

    level = "WARNING"

    placer: str
    reason: str


class PlacerNotWaitedFor(logs.Event, frozen=True, kw_only=True):
    """The placer was unresponsive; a request is scheduled locally.

    Attributes:
        request: Id of the request.
        placer: Instance of the placer.
        silent_s: Time since its last message.
    """

    level = "WARNING"

    request: str
    placer: str
    silent_s: float


class TenureLeaseLost(logs.Event, frozen=True, kw_only=True):
    """The lease of the tenure was lost.

    Attributes:
        reason: Error of the store.
    """

    level = "WARNING"

    reason: str


class TenureCallFailed(logs.Event, frozen=True, kw_only=True):
    """A store call for the tenure failed and is retried.

    Attributes:
        reason: Error of the call.
    """

    level = "WARNING"

    reason: str


class TenureSuperseded(logs.Event, frozen=True, kw_only=True):
    """Another instance holds a tenure with a later epoch.

    Attributes:
        own: Epoch of this instance's tenure.
        later: The later epoch.
    """

    level = "WARNING"

    own: int
    later: int


class TenureNotReturned(logs.Event, frozen=True, kw_only=True):
    """The lease could not be revoked and expires by itself.

    Attributes:
        reason: Error of the call.
    """

    level = "WARNING"

    reason: str


class TenureTaken(logs.Event, frozen=True, kw_only=True):
    """This instance became the placer.

    Attributes:
        epoch: Epoch of the tenure.
    """

    epoch: int


class TenureEnded(logs.Event, frozen=True, kw_only=True):
    """This instance is no longer the placer.

    Attributes:
        epoch: Epoch of the tenure.
    """

    epoch: int


class TenureHandedOver(logs.Event, frozen=True, kw_only=True):
    """This instance stops, or is behind, and hands the tenure over.

    Attributes:
        peer: Instance that takes over.
        epoch: Epoch of its tenure.
    """

    peer: str
    epoch: int


class PlacerIsolated(logs.Event, frozen=True, kw_only=True):
    """This placer reaches less than half of the others and steps down.

    Instances that ended in order do not count.

    Attributes:
        epoch: Epoch of its tenure.
    """

    level = "WARNING"
    epoch: int


class MemberForgotten(logs.Event, frozen=True, kw_only=True):
    """The member entry of an instance that no longer runs was removed.

    Attributes:
        peer: The instance.
    """

    peer: str


class MemberNotForgotten(logs.Event, frozen=True, kw_only=True):
    """The member entry of an ended instance could not be removed.

    The placer tries again some seconds later.

    Attributes:
        reason: The error.
    """

    level = "WARNING"

    reason: str


class PlacerTold(logs.Event, frozen=True, kw_only=True):
    """The placer was sent store changes that it had not received itself.

    Attributes:
        placer: Instance of the placer.
        since: Store revision that it had reached.
        revision: Store revision of the changes sent.
    """

    placer: str
    since: int
    revision: int


class EndpointPaused(logs.Event, frozen=True, kw_only=True):
    """An endpoint turned a request away and asked for a pause.

    Attributes:
        endpoint: The endpoint.
        pause_s: Time for which this instance sends it nothing.
    """

    endpoint: str
    pause_s: float


class MessageUnknown(logs.Event, frozen=True, kw_only=True):
    """Another instance sends messages that this release does not know.

    They are ignored. Logged once for each connection.

    Attributes:
        peer: The instance.
    """

    level = "INFO"

    peer: str


class UnknownValueReceived(logs.Event, frozen=True, kw_only=True):
    """An instance of a later version sent a value that is unknown here.

    Attributes:
        kind: What the value says.
        value: The value.
        assumed: Known value that is used in its place.
    """

    level = "WARNING"

    kind: str
    value: str
    assumed: str


class MessageRejected(logs.Event, frozen=True, kw_only=True):
    """A message of another instance could not be handled; it is ignored.

    Attributes:
        peer: The instance.
        kind: Kind of the message.
        reason: The error.
    """

    level = "ERROR"

    peer: str
    kind: str
    reason: str
