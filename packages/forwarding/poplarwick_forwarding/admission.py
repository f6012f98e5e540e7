"""Finds the route and the organisation of a request."""

from __future__ import annotations

import dataclasses
import enum

from poplarwick_catalogue import routing
from poplarwick_catalogue import types
from poplarwick_core import ids
from poplarwick_forwarding import dialect


class Rejection(enum.Enum):
    """Why a request is rejected; the value is the status of the response."""

    UNREADABLE = 400
    UNAUTHORISED = 401
    NO_ROUTE = 404
    BODY_TOO_LARGE = 413


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """Route and organisation of a request that the configuration allows.

    Attributes:
        route: Route of the request.
        organisation: Organisation of the caller; None if the configuration
            has no organisations or the route is public.
    """

    route: types.Route
    organisation: types.Organisation | None

    @property
    def priority(self) -> int:
        """Priority of the request; the organisation's overrides the route's."""
        if self.organisation and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority

    @property
    def regions(self) -> frozenset[ids.RegionId] | None:
        """Regions that may run the request; empty means all, None means none.

        If the route and the organisation both restrict the regions, both
        restrictions apply.
        """
        by_route = frozenset(self.route.regions)
        by_organisation = frozenset(
            self.organisation.regions if self.organisation else ()
        )
        if by_route and by_organisation:
            return (by_route & by_organisation) or None
        return by_route or by_organisation


def admit(
    rules: routing.Routing,
    host: str,
    target: str,
    metadata: dialect.RequestMetadata,
) -> Admission | Rejection:
    """Finds the route and the organisation of a request.

    Args:
        rules: Configuration in force.
        host: Value of the Host header.
        target: Path and query of the request.
        metadata: Parsed headers of the request.
    """
    route = rules.find_route(host, target.partition("?")[0])
    if route is None:
        return Rejection.NO_ROUTE
    organisation = None
    if rules.organisations_by_key is not None and metadata.api_key is not None:
        organisation = rules.organisations_by_key.get(metadata.api_key)
    needs_key = rules.organisations_by_key is not None and not route.is_public
    if needs_key and organisation is None:
        return Rejection.UNAUTHORISED
    return Admission(route, organisation)
