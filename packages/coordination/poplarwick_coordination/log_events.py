"""Events of placing for all instances."""

from __future__ import annotations

from poplarwick_core import logs


class RegistrationFailed(logs.Event, frozen=True, kw_only=True):
    """This instance's entry could not be written.

    Attributes:
        reason: What the call met.
    """

    level = "WARNING"

    reason: str


class PlacerFailed(logs.Event, frozen=True, kw_only=True):
    """The placer of this instance ended by a fault.

    Attributes:
        reason: The fault.
    """

    level = "ERROR"

    reason: str


class SessionOpened(logs.Event, frozen=True, kw_only=True):
    """This placer serves an instance.

    Attributes:
        peer: The instance.
        epoch: Number of the tenure.
    """

    peer: str
    epoch: int


class SessionClosed(logs.Event, frozen=True, kw_only=True):
    """This placer no longer serves an instance.

    Attributes:
        peer: The instance.
        reason: Why.
    """

    peer: str
    reason: str


class EndpointDoubted(logs.Event, frozen=True, kw_only=True):
    """An engine gave no report twice in a row.

    Attributes:
        endpoint: Id of the endpoint.
    """

    level = "WARNING"

    endpoint: str


class PeerLost(logs.Event, frozen=True, kw_only=True):
    """An instance could not be reached.

    Attributes:
        peer: The instance.
        reason: What the connection met.
    """

    peer: str
    reason: str


class PlacerFollowed(logs.Event, frozen=True, kw_only=True):
    """This instance asks a placer for places.

    Attributes:
        placer: Instance of the placer.
        epoch: Number of its tenure.
    """

    placer: str
    epoch: int


class PlacerLost(logs.Event, frozen=True, kw_only=True):
    """This instance has no placer and places alone.

    Attributes:
        placer: Instance of the former placer.
        reason: Why.
    """

    level = "WARNING"

    placer: str
    reason: str


class PlacerNotWaitedFor(logs.Event, frozen=True, kw_only=True):
    """The placer was silent; the request is placed alone.

    Attributes:
        request: Id of the request.
        placer: Instance of the placer.
        silent_s: Time since it was heard.
    """

    level = "WARNING"

    request: str
    placer: str
    silent_s: float


class TenureLeaseLost(logs.Event, frozen=True, kw_only=True):
    """The lease of the tenure has ended.

    Attributes:
        reason: What the store said.
    """

    level = "WARNING"

    reason: str


class TenureCallFailed(logs.Event, frozen=True, kw_only=True):
    """A call for the tenure failed and is tried again.

    Attributes:
        reason: What the call met.
    """

    level = "WARNING"

    reason: str


class TenureSuperseded(logs.Event, frozen=True, kw_only=True):
    """Another instance holds a later tenure.

    Attributes:
        own: Number of the own tenure.
        later: Number of the later one.
    """

    level = "WARNING"

    own: int
    later: int


class TenureNotReturned(logs.Event, frozen=True, kw_only=True):
    """The lease could not be ended; it runs out.

    Attributes:
        reason: What the call met.
    """

    level = "WARNING"

    reason: str


class TenureTaken(logs.Event, frozen=True, kw_only=True):
    """This instance places for all.

    Attributes:
        epoch: Number of the tenure.
    """

    epoch: int


class TenureEnded(logs.Event, frozen=True, kw_only=True):
    """This instance no longer places for all.

    Attributes:
        epoch: Number of the tenure.
    """

    epoch: int


class TenureHandedOver(logs.Event, frozen=True, kw_only=True):
    """This instance stops and lets another one place for all.

    Attributes:
        peer: The other instance.
        epoch: Number of its tenure.
    """

    peer: str
    epoch: int


class PlacerIsolated(logs.Event, frozen=True, kw_only=True):
    """This placer reaches less than half of the instances and steps down.

    Attributes:
        epoch: Number of its tenure.
    """

    level = "WARNING"
    epoch: int


class MemberForgotten(logs.Event, frozen=True, kw_only=True):
    """An instance was unreachable for long; its entry is removed.

    Attributes:
        peer: The instance.
    """

    peer: str


class PlacerTold(logs.Event, frozen=True, kw_only=True):
    """The placer was told changes that the store did not tell it.

    Attributes:
        placer: The placing instance.
        since: Revision that it knew.
        revision: Revision that it knows now.
    """

    placer: str
    since: int
    revision: int
