"""Derives the resources that need an owner from the configuration."""

from __future__ import annotations

from poplarwick_configuration import document
from poplarwick_core import ids
from poplarwick_dispatch import dispatcher
from poplarwick_dispatch import limits
from poplarwick_outcomes.claims import service as shards
from poplarwick_ownership import tenure


def apply_view(
    view: document.View,
    local: dispatcher.Dispatcher,
    owner: tenure.Ownership,
    limiter: limits.Limiter,
) -> None:
    """Applies a new version of the configuration to the local components."""
    local.apply_view(view)
    limiter.apply_view(view)
    excluded = map(ids.InstanceId, view.document.instances_out)
    owner.set_excluded(frozenset(excluded))
    owner.set_resources((*list_endpoints(view), *list_shards(view)))


def list_shards(view: document.View) -> tuple[tenure.Resource, ...]:
    """Returns the claim shards, distributed over the regions."""
    regions = sorted({domain.region for domain in view.document.domains})
    if not regions:
        return ()
    return shards.make_resources([ids.RegionId(region) for region in regions])


def list_endpoints(
    view: document.View | None,
) -> tuple[tenure.Resource, ...]:
    """Returns the endpoints; each belongs to the region of its domain."""
    if view is None:
        return ()
    resources = []
    for endpoint in view.document.endpoints:
        domain = view.find_domain(ids.DomainId(endpoint.domain))
        if domain is None:
            continue
        resources.append(
            tenure.Resource(
                tenure.ResourceKind.ENDPOINT,
                endpoint.id,
                ids.RegionId(domain.region),
                is_fenced=endpoint.checks_epochs,
            )
        )
    return tuple(resources)
