"""The routing and the endpoints that this instance knows of."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Protocol

from poplarwick_catalogue import log_events
from poplarwick_catalogue import routing
from poplarwick_catalogue import types
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_platform import kv
from poplarwick_platform import mirror

LAPSE_HOLD_S = 2.0
"""An entry that vanished while the store was away is back this soon after the
store's return if its endpoint lives (the platform's promise)."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingItem:
    """A decoded version of the routing configuration."""

    routing: routing.Routing


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointItem:
    """A decoded entry of an endpoint."""

    endpoint: types.Endpoint


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationItem:
    """A failure domain that operators took out of service."""

    domain: ids.DomainId


@dataclasses.dataclass(frozen=True, slots=True)
class MemberItem:
    """Another instance of the system.

    Attributes:
        instance: Name of the instance.
        address: Host and port of its service for other instances.
        strength: Processor time and link against those of a usual instance,
            at most 1.
    """

    instance: ids.InstanceId
    address: str
    strength: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidItem:
    """A value that cannot be used.

    Attributes:
        problem: What is wrong with it.
    """

    problem: str


Item = RoutingItem | EndpointItem | EvacuationItem | MemberItem | InvalidItem


class Decoder(Protocol):
    """Turns stored values into items."""

    def __call__(self, key: str, value: bytes) -> Item | None:
        """Decodes one value; None means that the key is not of interest."""
        ...


@dataclasses.dataclass(slots=True)
class TrackedEndpoint:
    """An endpoint with what this instance noted about its entry.

    Attributes:
        endpoint: The endpoint as its entry tells.
        cold_until_s: Monotonic time until which it is cold.
        lapsed_at_s: When its entry vanished during an outage of the store;
            None while the entry is there.
    """

    endpoint: types.Endpoint
    cold_until_s: float
    lapsed_at_s: float | None = None


class Catalogue:
    """Follows a mirror of the store and keeps its decoded content.

    Args:
        mirror_: Mirror of the platform's store.
        decode: Turns stored values into items.
    """

    def __init__(self, mirror_: mirror.Mirror, decode: Decoder) -> None:
        self.routing: routing.Routing | None = None
        self.endpoints: dict[ids.EndpointId, TrackedEndpoint] = {}
        self.evacuated: set[ids.DomainId] = set()
        self.members: dict[ids.InstanceId, MemberItem] = {}
        self.invalid_count = 0
        self._decode = decode
        self._items: dict[str, Item] = {}
        self._doubt_until_s = 0.0
        self._listeners: list[Callable[[], None]] = []
        mirror_.add_listener(self._apply)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Calls `listener` after each change."""
        self._listeners.append(listener)

    def remove_listener(self, listener: Callable[[], None]) -> None:
        """Undoes `add_listener`."""
        self._listeners.remove(listener)

    def refresh(self) -> None:
        """Has listeners look again: what they derive from has changed."""
        self._notify()

    def record_store_outage(self) -> None:
        """Notes that the store does not answer now.

        Entries that vanish until shortly after its return may have lapsed
        while their endpoints live.
        """
        self._doubt_until_s = clock.now_s() + LAPSE_HOLD_S

    def remove_lapsed_endpoints(self) -> None:
        """Removes endpoints whose entries did not come back in time."""
        now = clock.now_s()
        if now < self._doubt_until_s:
            return
        gone = [
            endpoint
            for endpoint, known in self.endpoints.items()
            if known.lapsed_at_s is not None
        ]
        for endpoint in gone:
            del self.endpoints[endpoint]
            logs.log(log_events.EndpointGone(endpoint=endpoint, lapsed=True))
        if gone:
            self._notify()

    def _apply(self, changes: tuple[kv.Change, ...]) -> None:
        for change in changes:
            before = self._items.pop(change.key, None)
            if change.entry is None:
                self._remove(before)
                continue
            item = self._decode(change.key, change.entry.value)
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
                self._keep_through_foreign(change.key, before)
                continue
            self._items[change.key] = item
            self._add(item, change.revision)
        self._notify()

    def _keep_through_foreign(self, key: str, before: Item | None) -> None:
        # A configuration that cannot be read does not undo the last good one;
        # an endpoint whose entry cannot be read is not used.
        if isinstance(before, RoutingItem):
            self._items[key] = before
        else:
            self._remove(before)

    def _add(self, item: Item, revision: kv.Revision) -> None:
        match item:
            case RoutingItem(found):
                self._set_routing(found, revision)
            case EndpointItem(endpoint):
                self._set_endpoint(endpoint, revision)
            case EvacuationItem(domain):
                self.evacuated.add(domain)
                logs.log(
                    log_events.DomainTakenOut(domain=domain, revision=revision)
                )
            case MemberItem(instance):
                self.members[instance] = item
            case InvalidItem():
                pass

    def _set_routing(
        self, found: routing.Routing, revision: kv.Revision
    ) -> None:
        if self.routing and found.version < self.routing.version:
            logs.log(
                log_events.ConfigurationIgnored(
                    version=found.version, in_force=self.routing.version
                )
            )
            return
        self.routing = found
        logs.log(
            log_events.ConfigurationInForce(
                version=found.version, revision=revision
            )
        )

    def _set_endpoint(
        self, endpoint: types.Endpoint, revision: kv.Revision
    ) -> None:
        now = clock.now_s()
        before = self.endpoints.get(endpoint.id)
        self.endpoints[endpoint.id] = TrackedEndpoint(
            endpoint, now + endpoint.cold_left_s
        )
        if before is None or before.endpoint != endpoint:
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
            case _:
                # The last routing stays in force without its entry.
                pass

    def _remove_endpoint(self, endpoint: ids.EndpointId) -> None:
        known = self.endpoints.get(endpoint)
        if known is None:
            return
        if clock.now_s() < self._doubt_until_s:
            known.lapsed_at_s = clock.now_s()
            logs.log(log_events.EndpointEntryLapsed(endpoint=endpoint))
            return
        del self.endpoints[endpoint]
        logs.log(log_events.EndpointGone(endpoint=endpoint, lapsed=False))

    def _notify(self) -> None:
        for listener in tuple(self._listeners):
            listener()
