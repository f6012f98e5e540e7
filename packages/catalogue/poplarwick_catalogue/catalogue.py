"""Decoded view of routing, endpoints and members in the store."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Protocol

from poplarwick_catalogue import log_events
from poplarwick_catalogue import quarantines
from poplarwick_catalogue import rate_limits
from poplarwick_catalogue import routing
from poplarwick_catalogue import types
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_platform import kv
from poplarwick_platform import mirror

MAX_LEAVING_STARTS = 1_024
"""Maximum number of leaving endpoints that are remembered; more than leave
within the time that endpoints take to end."""

LAPSE_GRACE_S = 2.0
"""Time after a store outage within which the entry of a running endpoint
reappears. The platform guarantees this."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingItem:
    """Decoded version of the routing configuration."""

    routing: routing.Routing


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointItem:
    """Decoded entry of an endpoint."""

    endpoint: types.Endpoint


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationItem:
    """Failure domain that operators took out of service."""

    domain: ids.DomainId


@dataclasses.dataclass(frozen=True, slots=True)
class MemberItem:
    """Decoded member entry of an instance.

    Attributes:
        instance: Name of the instance.
        address: Host and port of its service for other instances.
        strength: Processor time and network bandwidth relative to a typical
            instance, at most 1.
        domain: Its failure domain; empty if it is unknown.
    """

    instance: ids.InstanceId
    address: str
    strength: float = 1.0
    domain: ids.DomainId = ids.DomainId("")


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidItem:
    """Stored value that cannot be decoded or used.

    Attributes:
        problem: Why the value is invalid.
    """

    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineItem:
    """Decoded quarantine of parts of prompts."""

    quarantine: quarantines.Quarantine


Item = (
    RoutingItem
    | EndpointItem
    | EvacuationItem
    | MemberItem
    | QuarantineItem
    | InvalidItem
)


class Decoder(Protocol):
    """Decodes stored values into items."""

    def __call__(self, key: str, value: bytes) -> Item | None:
        """Decodes a value, or returns None if the key is not relevant."""
        ...


@dataclasses.dataclass(slots=True)
class TrackedEndpoint:
    """Endpoint with the state that this instance tracks for its entry.

    Attributes:
        endpoint: The endpoint as described by its entry.
        cold_until_s: Monotonic time until which it is cold.
        lapsed_at_s: Monotonic time at which its entry disappeared during a
            store outage; None while the entry exists.
    """

    endpoint: types.Endpoint
    cold_until_s: float
    lapsed_at_s: float | None = None


class Catalogue:
    """Holds the decoded content of a store mirror and follows its changes.

    Args:
        store_mirror: Local copy of the platform's store.
        decode: Decodes stored values into items.

    Attributes:
        routing: Routing configuration in force; None before the first.
        endpoints: Endpoints by id, including those that have lapsed.
        evacuated: Failure domains taken out of service.
        members: Member entries of the instances.
        member_revisions: Revisions of the store at which these were written, in
            the era in which this instance learned of them.
        leaving: Endpoints that have said themselves that they leave.
        quarantines: Parts of prompts that crash endpoints.
        rate_limits: Rates of requests that endpoints have named.
        invalid_count: Number of invalid values seen so far.
    """

    def __init__(self, store_mirror: mirror.Mirror, decode: Decoder) -> None:
        self.routing: routing.Routing | None = None
        self.endpoints: dict[ids.EndpointId, TrackedEndpoint] = {}
        self.evacuated: set[ids.DomainId] = set()
        self.members: dict[ids.InstanceId, MemberItem] = {}
        self.member_revisions: dict[ids.InstanceId, kv.Revision] = {}
        self.leaving: frozenset[ids.EndpointId] = frozenset()
        self.quarantines = quarantines.Quarantines()
        self.rate_limits = rate_limits.RateLimits()
        self.invalid_count = 0
        self._decode = decode
        self._items: dict[str, Item] = {}
        self._leaving_starts: dict[types.EndpointStart, None] = {}
        self._lapse_grace_until_s = 0.0
        self._listeners: list[Callable[[], None]] = []
        store_mirror.add_listener(self._apply)
        self.rate_limits.add_listener(self._notify)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Calls `listener` after each batch of changes."""
        self._listeners.append(listener)

    def remove_listener(self, listener: Callable[[], None]) -> None:
        """Removes a listener added by `add_listener`."""
        self._listeners.remove(listener)

    def refresh(self) -> None:
        """Notifies listeners that data outside the store has changed.

        They derive their state from the settings as well.
        """
        self._notify()

    def record_store_outage(self) -> None:
        """Records that the store does not answer at this time.

        Entries that disappear until shortly after the outage may belong to
        endpoints that still run.
        """
        self._lapse_grace_until_s = clock.now_s() + LAPSE_GRACE_S

    def find_start(
        self, endpoint: ids.EndpointId
    ) -> types.EndpointStart | None:
        """Returns the known start of an endpoint; None if there is none."""
        tracked = self.endpoints.get(endpoint)
        return None if tracked is None else tracked.endpoint.start

    def record_leaving(self, start: types.EndpointStart) -> bool:
        """Records that an endpoint has said that it leaves.

        It gets no new requests before it has started again.

        Returns:
            Whether this was not known.
        """
        if start in self._leaving_starts:
            return False
        self._leaving_starts[start] = None
        while len(self._leaving_starts) > MAX_LEAVING_STARTS:
            del self._leaving_starts[next(iter(self._leaving_starts))]
        logs.log(log_events.EndpointLeaving(endpoint=start.endpoint))
        self._update_leaving()
        self._notify()
        return True

    def has_left(self, start: types.EndpointStart) -> bool:
        """Returns whether a start of an endpoint has said that it leaves."""
        return start in self._leaving_starts

    def find_rate_limit(self, endpoint: ids.EndpointId) -> float | None:
        """Returns the requests a second that an endpoint takes, if limited."""
        start = self.find_start(endpoint)
        return None if start is None else self.rate_limits.get(start)

    def _update_leaving(self) -> None:
        self.leaving = frozenset(
            start.endpoint
            for start in self._leaving_starts
            if self.find_start(start.endpoint) == start
        )

    def remove_lapsed_endpoints(self) -> None:
        """Removes endpoints whose entries did not reappear in time."""
        now_s = clock.now_s()
        if now_s < self._lapse_grace_until_s:
            return
        lapsed = [
            endpoint
            for endpoint, tracked in self.endpoints.items()
            if tracked.lapsed_at_s is not None
        ]
        for endpoint in lapsed:
            del self.endpoints[endpoint]
            logs.log(log_events.EndpointGone(endpoint=endpoint, lapsed=True))
        if lapsed:
            self._notify()

    def _apply(self, changes: tuple[kv.Change, ...]) -> None:
        for change in changes:
            previous = self._items.pop(change.key, None)
            if change.entry is None:
                self._remove(previous)
                continue
            item = self._decode_safely(change.key, change.entry.value)
            if item is None:
                continue
            if isinstance(item, InvalidItem):
                self.invalid_count += 1
                logs.log(
                    log_events.ForeignEntryIgnored(
                        key=change.key,
                        revision=change.revision,
                        problem=item.problem,
                    )
                )
                self._handle_invalid_entry(change.key, previous)
                continue
            self._items[change.key] = item
            self._add(item, change)
        if self._leaving_starts:
            self._update_leaving()
        self._notify()

    def _decode_safely(self, key: str, value: bytes) -> Item | None:
        # An unexpected error in one value must not hide the others.
        try:
            return self._decode(key, value)
        except Exception as error:
            return InvalidItem(f"unexpected error: {error!r}")

    def _handle_invalid_entry(self, key: str, previous: Item | None) -> None:
        # An invalid configuration does not replace the last valid one. An
        # endpoint with an invalid entry is removed.
        if isinstance(previous, RoutingItem):
            self._items[key] = previous
        else:
            self._remove(previous)

    def _add(self, item: Item, change: kv.Change) -> None:
        revision = change.revision
        match item:
            case RoutingItem(new_routing):
                self._set_routing(new_routing, revision)
            case EndpointItem(endpoint):
                if change.is_restored and self._is_draining(endpoint):
                    # The copy is older than the drain.
                    return
                self._set_endpoint(endpoint, revision)
            case EvacuationItem(domain):
                self.evacuated.add(domain)
                logs.log(
                    log_events.DomainTakenOut(domain=domain, revision=revision)
                )
            case MemberItem(instance):
                self.members[instance] = item
                self.member_revisions[instance] = revision
            case QuarantineItem(quarantine):
                self.quarantines.merge(quarantine)
            case InvalidItem():
                pass

    def _set_routing(
        self, new_routing: routing.Routing, revision: kv.Revision
    ) -> None:
        if self.routing and new_routing.version < self.routing.version:
            logs.log(
                log_events.ConfigurationIgnored(
                    version=new_routing.version, in_force=self.routing.version
                )
            )
            return
        self.routing = new_routing
        logs.log(
            log_events.ConfigurationInForce(
                version=new_routing.version, revision=revision
            )
        )

    def _is_draining(self, endpoint: types.Endpoint) -> bool:
        """Returns whether this start of an endpoint is known to drain."""
        known = self.endpoints.get(endpoint.id)
        return (
            known is not None
            and known.endpoint.state is types.EndpointState.DRAINING
            and known.endpoint.start == endpoint.start
        )

    def _set_endpoint(
        self, endpoint: types.Endpoint, revision: kv.Revision
    ) -> None:
        now_s = clock.now_s()
        previous = self.endpoints.get(endpoint.id)
        self.endpoints[endpoint.id] = TrackedEndpoint(
            endpoint, now_s + endpoint.cold_left_s
        )
        if previous is None or previous.endpoint != endpoint:
            logs.log(
                log_events.EndpointChanged(
                    endpoint=endpoint.id,
                    service=endpoint.service,
                    address=endpoint.address,
                    domain=endpoint.domain,
                    state=endpoint.state.value,
                    cold_left_s=endpoint.cold_left_s or None,
                    revision=revision,
                )
            )

    def _remove(self, item: Item | None) -> None:
        match item:
            case EndpointItem(endpoint):
                self._remove_endpoint(endpoint.id)
            case EvacuationItem(domain):
                self.evacuated.discard(domain)
                logs.log(log_events.DomainTakenBack(domain=domain))
            case MemberItem(instance):
                self.members.pop(instance, None)
                self.member_revisions.pop(instance, None)
            case _:
                # The last routing configuration stays in force after its entry
                # is removed.
                pass

    def _remove_endpoint(self, endpoint: ids.EndpointId) -> None:
        tracked = self.endpoints.get(endpoint)
        if tracked is None:
            return
        if clock.now_s() < self._lapse_grace_until_s:
            tracked.lapsed_at_s = clock.now_s()
            logs.log(log_events.EndpointEntryLapsed(endpoint=endpoint))
            return
        del self.endpoints[endpoint]
        logs.log(log_events.EndpointGone(endpoint=endpoint, lapsed=False))

    def _notify(self) -> None:
        for listener in tuple(self._listeners):
            listener()
