"""Events of the catalogue."""

from __future__ import annotations

from poplarwick_core import logs


class EndpointGone(logs.Event, frozen=True, kw_only=True):
    """An endpoint is no longer used.

    Attributes:
        endpoint: Id of the endpoint.
        lapsed: Whether its entry vanished during an outage of the store and
            did not come back in time.
    """

    endpoint: str
    lapsed: bool


class EndpointEntryLapsed(logs.Event, frozen=True, kw_only=True):
    """An endpoint's entry vanished while the store was away; it is still used.

    Attributes:
        endpoint: Id of the endpoint.
    """

    level = "WARNING"

    endpoint: str


class EndpointChanged(logs.Event, frozen=True, kw_only=True):
    """An endpoint came into service or changed.

    Attributes:
        endpoint: Id of the endpoint.
        service: Its service.
        address: Its host and port.
        domain: Its failure domain.
        state: Whether it takes new work.
        cold_left_s: Time that it stays cold.
        revision: Revision of the store.
    """

    endpoint: str
    service: str
    address: str
    domain: str
    state: str
    cold_left_s: float | None = None
    revision: int


class ForeignEntryIgnored(logs.Event, frozen=True, kw_only=True):
    """A stored value cannot be read and is left out.

    Attributes:
        key: Its key.
        revision: Revision of the store.
        problem: What is wrong with it.
    """

    level = "WARNING"

    key: str
    revision: int
    problem: str


class DomainTakenOut(logs.Event, frozen=True, kw_only=True):
    """Operators took a failure domain out of service.

    Attributes:
        domain: The failure domain.
        revision: Revision of the store.
    """

    domain: str
    revision: int


class DomainTakenBack(logs.Event, frozen=True, kw_only=True):
    """Operators took a failure domain back into service.

    Attributes:
        domain: The failure domain.
    """

    domain: str


class ConfigurationIgnored(logs.Event, frozen=True, kw_only=True):
    """A configuration is older than the one in force.

    Attributes:
        version: Its version.
        in_force: Version in force.
    """

    level = "WARNING"

    version: int
    in_force: int


class ConfigurationInForce(logs.Event, frozen=True, kw_only=True):
    """A configuration is in force at this instance.

    Attributes:
        version: Its version.
        revision: Revision of the store.
    """

    version: int
    revision: int
