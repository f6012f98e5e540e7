"""Finds entries of a document that no request can ever match."""

from __future__ import annotations

import re
from collections.abc import Iterator

from poplarwick_configuration import document
from poplarwick_core import findings
from poplarwick_core import paths

_METHOD = re.compile(r"[A-Z][A-Z-]*")


def find_unreachable(parsed: document.Document) -> Iterator[findings.Finding]:
    """Yields routes, methods, keys and targets that serve no request."""
    for index, service in enumerate(parsed.services):
        yield from _check_routes(f"$.services[{index}]", service)
    for index, organisation in enumerate(parsed.organisations):
        yield from _check_keys(f"$.organisations[{index}]", organisation)
    yield from _check_in_service(parsed)


def _check_routes(
    base: str, service: document.Service
) -> Iterator[findings.Finding]:
    # A path with and without slashes at its end matches the same requests.
    longest: dict[str, str] = {}
    for route in service.routes:
        stem = route.path.rstrip("/")
        longest[stem] = max(longest.get(stem, ""), route.path, key=len)
    for index, route in enumerate(service.routes):
        place = f"{base}.routes[{index}]"
        stem = route.path.rstrip("/")
        if _is_rejected(stem):
            yield findings.make_error(
                findings.Rule.ROUTE_NEVER_MATCHES,
                f"{place}.path",
                f"found {findings.quote(route.path)}; requests with an empty "
                "or unsafe segment are rejected, so it never matches",
            )
        elif len(longest[stem]) > len(route.path):
            yield findings.make_error(
                findings.Rule.ROUTE_NEVER_MATCHES,
                f"{place}.path",
                f"found {findings.quote(route.path)}; all of its requests "
                f"match the longer {findings.quote(longest[stem])}",
            )
        for number, method in enumerate(route.methods):
            if not _METHOD.fullmatch(method):
                yield findings.make_error(
                    findings.Rule.METHOD_NEVER_MATCHES,
                    f"{place}.methods[{number}]",
                    f"found {findings.quote(method)}; HTTP methods are in "
                    "upper case, so it never matches",
                )


def _is_rejected(stem: str) -> bool:
    """Returns whether all requests with a path prefix are rejected."""
    return "//" in stem or any(map(paths.is_unsafe, stem.split("/")[1:]))


def _check_keys(
    base: str, organisation: document.Organisation
) -> Iterator[findings.Finding]:
    for index, key in enumerate(organisation.keys):
        if not key.revoked and not document.is_current(key):
            yield findings.make_warning(
                findings.Rule.KEY_NEVER_ACCEPTED,
                f"{base}.keys[{index}].expires_s",
                f"key {findings.quote(key.id)} has expired; its callers get "
                "401",
            )
    if not any(document.is_current(key) for key in organisation.keys):
        yield findings.make_warning(
            findings.Rule.NO_KEY,
            f"{base}.keys",
            f"organisation {findings.quote(organisation.id)} has no valid key; "
            "all of its callers get 401",
        )


def _check_in_service(
    parsed: document.Document,
) -> Iterator[findings.Finding]:
    domains_out = {d.id for d in parsed.domains if not d.in_service}
    in_service = [
        e
        for e in parsed.endpoints
        if e.in_service and e.domain not in domains_out
    ]
    # A target without any endpoint is invalid and reported as such.
    groups = (
        (
            "models",
            [m.id for m in parsed.models],
            {e.model for e in parsed.endpoints},
            {e.model for e in in_service},
        ),
        (
            "services",
            [s.id for s in parsed.services],
            {e.service for e in parsed.endpoints},
            {e.service for e in in_service},
        ),
    )
    for group, names, with_endpoint, served in groups:
        for index, name in enumerate(names):
            if name in with_endpoint and name not in served:
                yield findings.make_error(
                    findings.Rule.NOTHING_IN_SERVICE,
                    f"$.{group}[{index}].id",
                    f"all endpoints of {findings.quote(name)}, or their "
                    "domains, are out of service; its callers are refused",
                )
