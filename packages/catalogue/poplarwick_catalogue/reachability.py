"""Finds entries of a routing configuration that no request can ever reach."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
from collections.abc import Set

from poplarwick_catalogue import routing
from poplarwick_catalogue import types
from poplarwick_core import findings
from poplarwick_core import ids

MAX_NAMES = 3
"""Organisations that a finding names; further ones are counted."""


def find_unreachable(
    entries: routing.Entries, regions: Set[ids.RegionId] | None = None
) -> Iterator[findings.Finding]:
    """Yields routes, services and keys without effect.

    Paths are those of `routing.Entries`.

    Args:
        entries: The configuration.
        regions: Regions of the deployment; None if they are unknown.
    """
    yield from _check_names(entries)
    yield from _check_routes(entries.routes)
    yield from _check_destinations(entries)
    if entries.memberships is not None:
        yield from _check_keys(entries.memberships)
        yield from _check_common_regions(entries.routes, entries.memberships)
    if regions is not None:
        for index, route in enumerate(entries.routes):
            yield from _check_regions(
                f"$.routes[{index}]", route.regions, regions
            )
        for index, membership in enumerate(entries.memberships or ()):
            yield from _check_regions(
                f"$.memberships[{index}]",
                membership.organisation.regions,
                regions,
            )


def _check_names(entries: routing.Entries) -> Iterator[findings.Finding]:
    groups = (
        (
            "routes",
            [route.name for route in entries.routes],
            "logs and metrics do not tell them apart",
        ),
        (
            "services",
            [service.id for service in entries.services],
            "only the last one counts",
        ),
        (
            "memberships",
            [m.organisation.id for m in entries.memberships or ()],
            "they share what one organisation may use",
        ),
    )
    for group, names, effect in groups:
        seen: set[str] = set()
        for index, name in enumerate(names):
            if name in seen:
                yield findings.make_error(
                    findings.Rule.NAME_REUSED,
                    f"$.{group}[{index}].name",
                    f"found {findings.quote(name)}, the name of an earlier "
                    f"one in the list; {effect}",
                )
            seen.add(name)


def _check_routes(
    routes: Iterable[types.Route],
) -> Iterator[findings.Finding]:
    first: dict[tuple[str, str], types.Route] = {}
    for index, route in enumerate(routes):
        base = f"$.routes[{index}]"
        prefix = route.path_prefix
        if ":" in route.host:
            yield _make_unmatched(
                f"{base}.host",
                f"found {findings.quote(route.host)}; hosts are compared "
                "without their port, so it never matches",
            )
        if not prefix.startswith("/") or "?" in prefix:
            yield _make_unmatched(
                f"{base}.path_prefix",
                f"found {findings.quote(prefix)}; paths begin with a slash "
                "and have no question mark, so it never matches",
            )
        elif not prefix.endswith("/"):
            yield findings.make_warning(
                findings.Rule.OUT_OF_RANGE,
                f"{base}.path_prefix",
                f"found {findings.quote(prefix)}; without a slash at its end "
                "it also matches longer names",
            )
        earlier = first.setdefault((route.host.lower(), prefix), route)
        if earlier is not route:
            yield _make_unmatched(
                f"{base}.path_prefix",
                f"found {findings.quote(prefix)}; all of its requests match "
                f"the earlier route {findings.quote(earlier.name)}",
            )


def _make_unmatched(path: str, message: str) -> findings.Finding:
    return findings.make_error(findings.Rule.ROUTE_NEVER_MATCHES, path, message)


def _check_destinations(
    entries: routing.Entries,
) -> Iterator[findings.Finding]:
    known = {service.id for service in entries.services}
    used: set[ids.ServiceId] = set()
    for index, route in enumerate(entries.routes):
        has_weight = any(d.weight > 0 for d in route.destinations)
        for number, destination in enumerate(route.destinations):
            base = f"$.routes[{index}].destinations[{number}]"
            used.add(destination.service)
            if destination.service not in known:
                yield findings.make_error(
                    findings.Rule.SERVICE_UNKNOWN,
                    f"{base}.service",
                    f"found {findings.quote(destination.service)}, which is "
                    "not defined; its share of the callers gets 503",
                )
            if destination.weight == 0 and (has_weight or number > 0):
                yield findings.make_warning(
                    findings.Rule.DESTINATION_NEVER_SELECTED,
                    f"{base}.weight",
                    f"found 0; {findings.quote(destination.service)} gets no "
                    "request of this route",
                )
    for index, service in enumerate(entries.services):
        if service.id not in used:
            yield findings.make_warning(
                findings.Rule.SERVICE_UNUSED,
                f"$.services[{index}].name",
                f"no route leads to {findings.quote(service.id)}",
            )


def _check_keys(
    memberships: Sequence[routing.Membership],
) -> Iterator[findings.Finding]:
    # A key is a secret: messages give its place only.
    last = {
        key: index
        for index, membership in enumerate(memberships)
        for key in membership.keys
    }
    for index, membership in enumerate(memberships):
        seen: set[types.ApiKey] = set()
        for number, key in enumerate(membership.keys):
            place = f"$.memberships[{index}].keys[{number}]"
            if last[key] != index:
                owner = memberships[last[key]].organisation.id
                yield findings.make_error(
                    findings.Rule.KEY_NEVER_ACCEPTED,
                    place,
                    f"the same key belongs to {findings.quote(owner)}, too; "
                    "its callers are taken for that organisation",
                )
            elif key in seen:
                yield findings.make_warning(
                    findings.Rule.KEY_NEVER_ACCEPTED,
                    place,
                    "the organisation has the same key twice",
                )
            seen.add(key)
    for index, membership in enumerate(memberships):
        if not membership.keys:
            name = findings.quote(membership.organisation.id)
            yield findings.make_warning(
                findings.Rule.NO_KEY,
                f"$.memberships[{index}].keys",
                f"{name} has no key; its callers get 401",
            )


def _check_common_regions(
    routes: Iterable[types.Route], memberships: Iterable[routing.Membership]
) -> Iterator[findings.Finding]:
    # Few sets of regions are shared by many organisations.
    names_by_regions: dict[frozenset[ids.RegionId], list[str]] = (
        collections.defaultdict(list)
    )
    for membership in memberships:
        organisation = membership.organisation
        if organisation.regions:
            names_by_regions[frozenset(organisation.regions)].append(
                organisation.id
            )
    for index, route in enumerate(routes):
        if not route.regions:
            continue
        excluded = [
            name
            for regions, names in names_by_regions.items()
            if regions.isdisjoint(route.regions)
            for name in names
        ]
        if excluded:
            yield findings.make_warning(
                findings.Rule.NO_COMMON_REGION,
                f"$.routes[{index}].regions",
                f"no region in common with {_format_names(excluded)}; their "
                "requests to this route get 503",
            )


def _check_regions(
    base: str, allowed: Sequence[ids.RegionId], known: Set[ids.RegionId]
) -> Iterator[findings.Finding]:
    is_any_known = any(region in known for region in allowed)
    for number, region in enumerate(allowed):
        if region not in known:
            severity = findings.Severity.ERROR
            effect = "no region is left, so all requests get 503"
            if is_any_known:
                severity = findings.Severity.WARNING
                effect = "it has no effect"
            yield findings.Finding(
                f"{base}.regions[{number}]",
                severity,
                findings.Rule.REGION_UNKNOWN,
                f"found {findings.quote(region)}, which the deployment does "
                f"not have; {effect}",
            )


def _format_names(names: list[str]) -> str:
    shown = ", ".join(findings.quote(name) for name in names[:MAX_NAMES])
    rest = len(names) - MAX_NAMES
    return f"{shown} and {rest} more" if rest > 0 else shown
