"""Routing configuration and its look-ups."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Mapping
from collections.abc import Sequence

from poplarwick_catalogue import types
from poplarwick_core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Routing:
    """One version of the routing configuration.

    Attributes:
        version: Version number; later versions have higher numbers.
        routes_by_host: Routes by host, longest path prefix first.
        services: Services by id.
        limits: Limits on the requests of callers.
        organisations_by_key: Organisations by API key; None if requests carry
            no key.
    """

    version: int
    routes_by_host: Mapping[str, tuple[types.Route, ...]]
    services: Mapping[ids.ServiceId, types.Service]
    limits: types.CallerLimits
    organisations_by_key: Mapping[types.ApiKey, types.Organisation] | None

    def find_route(self, host: str, path: str) -> types.Route | None:
        """Returns the route with the longest matching prefix, None without one.

        Args:
            host: Value of the Host header; port and case are ignored.
            path: Path without the query string.
        """
        name = host.partition(":")[0].lower()
        for route in self.routes_by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """An organisation and its API keys.

    Attributes:
        organisation: The organisation.
        keys: Its API keys.
    """

    organisation: types.Organisation
    keys: tuple[types.ApiKey, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Entries:
    """One version of the routing configuration as the operator lists it.

    Attributes:
        version: Version number; later versions have higher numbers.
        routes: Routes.
        services: Services.
        limits: Limits on the requests of callers.
        memberships: Organisations and their keys; None if requests carry no
            key.
    """

    version: int
    routes: Sequence[types.Route]
    services: Sequence[types.Service]
    limits: types.CallerLimits
    memberships: Sequence[Membership] | None


def make_routing(entries: Entries) -> Routing:
    """Builds the look-up tables of a routing configuration."""
    routes_by_host: dict[str, list[types.Route]] = {}
    for route in entries.routes:
        routes_by_host.setdefault(route.host.lower(), []).append(route)
    for host_routes in routes_by_host.values():
        host_routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
    return Routing(
        entries.version,
        {
            host: tuple(host_routes)
            for host, host_routes in routes_by_host.items()
        },
        {service.id: service for service in entries.services},
        entries.limits,
        None
        if entries.memberships is None
        else {
            key: membership.organisation
            for membership in entries.memberships
            for key in membership.keys
        },
    )


def get_engine(
    routing: Routing, service: ids.ServiceId
) -> types.EngineProfile | None:
    """Returns the profile of a service's engines; None for a plain service."""
    known = routing.services.get(service)
    return None if known is None else known.engine


def choose_service(route: types.Route, rng: random.Random) -> ids.ServiceId:
    """Selects one of a route's services at random by weight.

    If all weights are 0, it is the first service.
    """
    destinations = route.destinations
    if len(destinations) == 1:
        return destinations[0].service
    weights = [destination.weight for destination in destinations]
    if not any(weights):
        return destinations[0].service
    return rng.choices(destinations, weights)[0].service
