"""Derives the endpoints that a desk may use from the catalogue."""

from __future__ import annotations

import enum

from poplarwick_catalogue import catalogue
from poplarwick_catalogue import deployment
from poplarwick_catalogue import types
from poplarwick_placement import desk

PLACER_SHARE = 0.4
"""Part of a cold endpoint's bound that one placer uses: two may overlap while
one takes over from another, and instances without a placer need the rest."""

ALONE_SHARE = 1 - 2 * PLACER_SHARE
"""Part of the bound that all instances without a placer share."""


class Scope(enum.Enum):
    """Whose requests a desk places."""

    FLEET = "fleet"
    INSTANCE = "instance"


def make_candidates(
    known: catalogue.Catalogue,
    bounds: deployment.Bounds,
    scope: Scope,
) -> list[desk.Candidate]:
    """Returns all known endpoints with what bounds their use."""
    if known.routing is None:
        return []
    found = []
    for noted in known.endpoints.values():
        service = known.routing.services.get(noted.endpoint.service)
        if service is None:
            continue
        is_open = (
            noted.endpoint.state is types.EndpointState.READY
            and noted.endpoint.domain not in known.evacuated
        )
        limit = _calculate_cold_limit(service, bounds, scope, known)
        found.append(
            desk.Candidate(
                noted.endpoint,
                service.engine,
                is_open,
                noted.cold_until_s,
                limit,
            )
        )
    return found


def _calculate_cold_limit(
    service: types.Service,
    bounds: deployment.Bounds,
    scope: Scope,
    known: catalogue.Catalogue,
) -> float:
    whole = service.cold_requests_per_s * bounds.cold_factor + bounds.cold_slack
    if scope is Scope.FLEET:
        return whole * PLACER_SHARE
    return max(whole * ALONE_SHARE / max(len(known.members), 1), 1.0)
