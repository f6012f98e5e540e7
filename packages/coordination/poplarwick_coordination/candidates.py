"""Derives the candidate endpoints and retry budget of a scheduler."""

from __future__ import annotations

import enum
import zlib
from collections.abc import Callable

from poplarwick_catalogue import catalogue
from poplarwick_catalogue import deployment
from poplarwick_catalogue import types
from poplarwick_core import ids
from poplarwick_placement import rate_limiter
from poplarwick_placement import retry_budget
from poplarwick_placement import service_pool

PLACER_COLD_SHARE = 0.4
"""Share of a cold endpoint's request limit that one placer uses. Two placers
may overlap during a takeover, and instances without a placer need the rest."""

OVERLAPPING_PLACERS = 2
"""Placers that may be active within the same second."""

PLACER_RETRY_SHARE = 0.5
"""Share of the retry allowance that one placer uses. A new placer starts with
half of it spent, to cover retries by its predecessor in the same window."""

LOCAL_RETRY_SHARE = 1 - 1.5 * PLACER_RETRY_SHARE
"""Share of the retry allowance for all instances without a placer together."""


class Scope(enum.Enum):
    """Whose requests a scheduler decides on."""

    FLEET = "fleet"
    INSTANCE = "instance"


def make_candidates(
    catalogue_: catalogue.Catalogue,
    deployment_: deployment.Deployment,
    scope: Scope,
) -> list[service_pool.Candidate]:
    """Returns the known endpoints as candidates with their limits.

    Args:
        catalogue_: Routing configuration, endpoints and members.
        deployment_: Deployment of this instance.
        scope: Whose requests the scheduler decides on.
    """
    if catalogue_.routing is None:
        return []
    turn = _find_turn(catalogue_, deployment_)
    candidates = []
    for tracked in catalogue_.endpoints.values():
        service = catalogue_.routing.services.get(tracked.endpoint.service)
        if service is None:
            continue
        is_open = (
            tracked.endpoint.state is types.EndpointState.READY
            and tracked.endpoint.domain not in catalogue_.evacuated
            and tracked.endpoint.id not in catalogue_.leaving
        )
        limit = _calculate_cold_limit(
            service, deployment_.bounds, scope, turn, tracked.endpoint.id
        )
        candidates.append(
            service_pool.Candidate(
                tracked.endpoint,
                service.engine,
                is_open,
                tracked.cold_until_s,
                limit,
                deployment_.regions_by_domain.get(tracked.endpoint.domain),
                _make_rate_limit(catalogue_, scope, turn, tracked.endpoint.id),
            )
        )
    return candidates


def _find_turn(
    catalogue_: catalogue.Catalogue, deployment_: deployment.Deployment
) -> rate_limiter.Turn:
    instances = sorted({*catalogue_.members, deployment_.instance})
    return rate_limiter.Turn(
        instances.index(deployment_.instance), len(instances)
    )


def _make_rate_limit(
    catalogue_: catalogue.Catalogue,
    scope: Scope,
    turn: rate_limiter.Turn,
    endpoint: ids.EndpointId,
) -> rate_limiter.RateLimit | None:
    per_s = catalogue_.find_rate_limit(endpoint)
    if per_s is None:
        return None
    return rate_limiter.RateLimit(
        per_s, turn if scope is Scope.INSTANCE else None
    )


def _calculate_cold_limit(
    service: types.Service,
    bounds: deployment.Bounds,
    scope: Scope,
    turn: rate_limiter.Turn,
    endpoint: ids.EndpointId,
) -> int:
    """Returns a scheduler's share of the request limit of a cold endpoint.

    The part not used by placers is divided among the instances in whole
    requests. The endpoint's id decides which instances receive the remainder.
    If there are fewer requests than instances, the other instances send none
    to the endpoint while they have no placer.
    """
    total = service.cold_requests_per_s * bounds.cold_factor + bounds.cold_slack
    placer_limit = int(total * PLACER_COLD_SHARE)
    if scope is Scope.FLEET:
        return placer_limit
    share, remainder = divmod(
        int(total) - OVERLAPPING_PLACERS * placer_limit, turn.instances
    )
    offset = turn.number + zlib.crc32(endpoint.encode())
    return share + (offset % turn.instances < remainder)


def make_retry_budget(
    read_bounds: Callable[[], deployment.Bounds],
    scope: Scope,
    count_instances: Callable[[], int],
    now_s: float,
) -> retry_budget.RetryBudget:
    """Returns a scheduler's share of the fleet's retry allowance.

    Args:
        read_bounds: Returns the bounds in force.
        scope: Whose requests the scheduler decides on.
        count_instances: Returns how many instances divide the share that is
            not the placer's. It is called each time, because an instance that
            has just started does not know all members yet.
        now_s: Monotonic time.
    """
    share = PLACER_RETRY_SHARE if scope is Scope.FLEET else LOCAL_RETRY_SHARE

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
