"""Events of connections to endpoints through other instances."""

from __future__ import annotations

from poplarwick_core import logs


class InstanceCutOff(logs.Event, frozen=True, kw_only=True):
    """This instance reaches no endpoint; others relay its connections.

    Attributes:
        endpoints: Addresses of the endpoints that failed.
    """

    level = "WARNING"

    endpoints: str


class InstanceReachesEndpoints(logs.Event, frozen=True, kw_only=True):
    """This instance reaches endpoints again and connects directly.

    Attributes:
        after_s: Time for which it was cut off.
    """

    after_s: float


class RelayDeclined(logs.Event, frozen=True, kw_only=True):
    """An instance did not relay a connection, for the first time in a second.

    Attributes:
        relay: The instance.
        reason: Why not.
    """

    relay: str
    reason: str


class ConnectionRelayed(logs.Event, frozen=True, kw_only=True):
    """This instance relays a connection of another one.

    Attributes:
        origin: Host of the instance that asked for it.
        address: Host and port of the endpoint.
        request: Id of the request that it is for, if it is for one.
    """

    origin: str
    address: str
    request: str | None = None


class RelayedConnectionCut(logs.Event, frozen=True, kw_only=True):
    """This instance ends before a connection that it relays.

    The instance that it is relayed for goes on elsewhere if it may.

    Attributes:
        origin: Host of that instance.
        request: Id of the request that it is for, if it is for one.
        unsent_bytes: What the kernel has not taken of the answer.
    """

    level = "WARNING"

    origin: str
    request: str | None = None
    unsent_bytes: int
