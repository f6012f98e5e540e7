"""Events of the catalogue."""

from __future__ import annotations

from poplarwick_core import logs


class EndpointGone(logs.Event, frozen=True, kw_only=True):
    """An endpoint was removed from service.

    Attributes:
        endpoint: Id of the endpoint.
        lapsed: Whether its entry disappeared during a store outage and did
            not reappear in time.
    """

    endpoint: str
    lapsed: bool


class EndpointEntryLapsed(logs.Event, frozen=True, kw_only=True):
    """An endpoint's entry disappeared during a store outage; it stays in use.

    Attributes:
        endpoint: Id of the endpoint.
    """

    level = "WARNING"

    endpoint: str


class EndpointChanged(logs.Event, frozen=True, kw_only=True):
    """An endpoint was added or changed.

    Attributes:
        endpoint: Id of the endpoint.
        service: Its service.
        address: Its host and port.
        domain: Its failure domain.
        state: Whether it accepts new requests.
        cold_left_s: Time for which it stays cold.
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
    """A stored value is invalid and was ignored.

    Attributes:
        key: Key of the value.
        revision: Revision of the store.
        problem: Why the value is invalid.
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
    """Operators returned a failure domain to service.

    Attributes:
        domain: The failure domain.
    """

    domain: str


class ConfigurationIgnored(logs.Event, frozen=True, kw_only=True):
    """A configuration was ignored because a later one is in force.

    Attributes:
        version: Version of the ignored configuration.
        in_force: Version in force.
    """

    level = "WARNING"

    version: int
    in_force: int


class ConfigurationInForce(logs.Event, frozen=True, kw_only=True):
    """A configuration took effect at this instance.

    Attributes:
        version: Version of the configuration.
        revision: Revision of the store.
    """

    version: int
    revision: int


class EndpointLeaving(logs.Event, frozen=True, kw_only=True):
    """An endpoint has said itself that it leaves; it gets no new requests.

    Attributes:
        endpoint: The endpoint.
    """

    endpoint: str


class QuarantineImposed(logs.Event, frozen=True, kw_only=True):
    """Copies of a request, or prompts with parts, are refused from now on.

    Attributes:
        quarantine: Id of the quarantine.
        service: Service whose endpoints crashed.
        parts: Parts that a prompt must all have to be refused.
        fingerprint: What all copies of the request have in common.
        endpoints: Endpoints that crashed; None if operators imposed it.
        imposed_by: Instance or operator that imposed it.
    """

    level = "WARNING"

    quarantine: str
    service: str
    parts: str | None = None
    fingerprint: str | None = None
    endpoints: str | None = None
    imposed_by: str


class QuarantineLifted(logs.Event, frozen=True, kw_only=True):
    """Requests that a quarantine refused are served again.

    Attributes:
        quarantine: Id of the quarantine.
        service: Service of the quarantine.
        parts: Its parts.
        fingerprint: What all copies of its request have in common.
        lifted_by: Instance or operator that lifted it.
    """

    quarantine: str
    service: str
    parts: str | None = None
    fingerprint: str | None = None
    lifted_by: str


class EndpointLimited(logs.Event, frozen=True, kw_only=True):
    """An endpoint has named the rate of requests that it takes.

    Attributes:
        endpoint: Id of the endpoint.
        limit_per_s: Requests a second from all instances together; None if it
            names no limit any more.
    """

    level = "WARNING"

    endpoint: str
    limit_per_s: float | None = None
