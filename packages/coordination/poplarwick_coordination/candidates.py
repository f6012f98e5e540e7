"""Derives the endpoints that a desk may use from the catalogue."""

from __future__ import annotations

import enum
import zlib
from collections.abc import Callable
from typing import NamedTuple

from poplarwick_catalogue import catalogue
from poplarwick_catalogue import deployment
from poplarwick_catalogue import types
from poplarwick_core import ids
from poplarwick_placement import retry_budget
from poplarwick_placement import scheduler

PLACER_SHARE = 0.4
"""Part of a cold endpoint's bound that one placer uses: two may overlap while
one takes over from another, and instances without a placer need the rest."""

OVERLAPPING_PLACERS = 2
"""Placers that may be at work in the same second."""

PLACER_REPEATS = 0.5
"""Part of the allowance of repeats that one placer uses. A new one begins with
half of it spent, for what its predecessor used in the same window."""

ALONE_REPEATS = 1 - 1.5 * PLACER_REPEATS
"""Part of that allowance that all instances without a placer share."""


class Scope(enum.Enum):
    """Whose requests a desk places."""

    FLEET = "fleet"
    INSTANCE = "instance"


class _Turn(NamedTuple):
    """An instance's number in an order that all agree on, and how many."""

    number: int
    instances: int


def make_candidates(
    known: catalogue.Catalogue,
    place: deployment.Deployment,
    scope: Scope,
) -> list[scheduler.Candidate]:
    """Returns all known endpoints with what bounds their use."""
    if known.routing is None:
        return []
    turn = _find_turn(known, place)
    found = []
    for noted in known.endpoints.values():
        service = known.routing.services.get(noted.endpoint.service)
        if service is None:
            continue
        is_open = (
            noted.endpoint.state is types.EndpointState.READY
            and noted.endpoint.domain not in known.evacuated
        )
        limit = _calculate_cold_limit(
            service, place.bounds, scope, turn, noted.endpoint.id
        )
        found.append(
            scheduler.Candidate(
                noted.endpoint,
                service.engine,
                is_open,
                noted.cold_until_s,
                limit,
                place.regions_by_domain.get(noted.endpoint.domain),
            )
        )
    return found


def _find_turn(
    known: catalogue.Catalogue, place: deployment.Deployment
) -> _Turn:
    instances = sorted({*known.members, place.instance})
    return _Turn(instances.index(place.instance), len(instances))


def _calculate_cold_limit(
    service: types.Service,
    bounds: deployment.Bounds,
    scope: Scope,
    turn: _Turn,
    endpoint: ids.EndpointId,
) -> int:
    """Returns a desk's share of the sends that a cold endpoint bears.

    What placers leave is dealt out to instances in whole sends, each
    endpoint's from another instance on: where there are fewer sends than
    instances, the others send nothing to it while they are alone.
    """
    whole = service.cold_requests_per_s * bounds.cold_factor + bounds.cold_slack
    placers = int(whole * PLACER_SHARE)
    if scope is Scope.FLEET:
        return placers
    share, rest = divmod(
        int(whole) - OVERLAPPING_PLACERS * placers, turn.instances
    )
    number = turn.number + zlib.crc32(endpoint.encode())
    return share + (number % turn.instances < rest)


def make_budget(
    read_bounds: Callable[[], deployment.Bounds],
    scope: Scope,
    count_instances: Callable[[], int],
    now_s: float,
) -> retry_budget.RetryBudget:
    """Returns a desk's share of the fleet's allowance of repeats.

    Args:
        read_bounds: Tells the bounds in force.
        scope: Whose requests the desk places.
        count_instances: Tells how many instances share what is not the
            placer's; an instance that has just started learns of others later.
        now_s: Monotonic time.
    """
    share = PLACER_REPEATS if scope is Scope.FLEET else ALONE_REPEATS

    def read_allowance() -> retry_budget.RetryAllowance:
        bounds = read_bounds()
        extra = bounds.repeat_extra * share
        if scope is Scope.INSTANCE:
            extra /= max(count_instances(), 1)
        return retry_budget.RetryAllowance(
            bounds.repeat_ratio * share, extra, bounds.repeat_window_s
        )

    budget = retry_budget.RetryBudget(read_allowance)
    if scope is Scope.FLEET:
        budget.charge(round(read_allowance().extra / 2), now_s)
    return budget
