"""Tells which route and organisation a request belongs to."""

from __future__ import annotations

import dataclasses
import enum

from poplarwick_catalogue import routing
from poplarwick_catalogue import types
from poplarwick_core import ids
from poplarwick_forwarding import dialect


class Rejection(enum.Enum):
    """Why a request is not accepted; the value is the answer's status."""

    UNREADABLE = 400
    UNAUTHORISED = 401
    NO_ROUTE = 404
    BODY_TOO_LARGE = 413


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """A request that the configuration allows.

    Attributes:
        route: Its route.
        organisation: Its organisation; None where there are none, or where
            the route is open to all.
    """

    route: types.Route
    organisation: types.Organisation | None

    @property
    def priority(self) -> int:
        """Rank of the request; the organisation's goes first."""
        if self.organisation and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority

    @property
    def regions(self) -> frozenset[ids.RegionId] | None:
        """Regions that may run the request; empty means all, None means none.

        Where the route and the organisation both name regions, both bind.
        """
        by_route = frozenset(self.route.regions)
        by_organisation = frozenset(
            self.organisation.regions if self.organisation else ()
        )
        if by_route and by_organisation:
            return (by_route & by_organisation) or None
        return by_route or by_organisation


def admit(
    rules: routing.Routing, host: str, target: str, call: dialect.Call
) -> Admitted | Rejection:
    """Finds a request's route and organisation.

    Args:
        rules: Configuration in force.
        host: Value of the Host header.
        target: Path and query of the request.
        call: What its headers tell.
    """
    route = rules.find_route(host, target.partition("?")[0])
    if route is None:
        return Rejection.NO_ROUTE
    organisation = None
    if rules.organisations_by_key is not None and call.key is not None:
        organisation = rules.organisations_by_key.get(call.key)
    needs_key = rules.organisations_by_key is not None and not route.is_public
    if needs_key and organisation is None:
        return Rejection.UNAUTHORISED
    return Admitted(route, organisation)
