"""Finds limits of a routing configuration that contradict each other."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator

from poplarwick_catalogue import routing
from poplarwick_catalogue import types
from poplarwick_core import findings

_POSITIVE_PROFILE_FIELDS = (
    "slots",
    "memory_tokens",
    "prefill_tokens_per_s",
    "chunk_tokens",
    "stride",
)

_OTHER_PROFILE_FIELDS = (
    "step_s",
    "step_per_sequence_s",
    "step_per_context_token_s",
    "prefill_pair_s",
    "hop_s",
    "report_lag_s",
)


def find_contradictions(
    entries: routing.Entries,
) -> Iterator[findings.Finding]:
    """Yields limits that are impossible, alone or beside another one.

    Paths are those of `routing.Entries`.
    """
    for index, route in enumerate(entries.routes):
        yield from _check_route(f"$.routes[{index}]", route)
    for index, service in enumerate(entries.services):
        yield from _check_service(f"$.services[{index}]", service)
    limits = entries.limits
    yield from _check_positive(
        "$.limits",
        limits,
        ("header_bytes", "header_timeout_s", "idle_timeout_s"),
    )
    yield from _check_not_negative("$.limits", limits, ("body_bytes",))
    for index, membership in enumerate(entries.memberships or ()):
        if membership.organisation.priority is not None:
            yield from _check_not_negative(
                f"$.memberships[{index}]",
                membership.organisation,
                ("priority",),
            )


def _check_route(base: str, route: types.Route) -> Iterator[findings.Finding]:
    yield from _check_positive(
        base, route, ("timeout_s", "target_latency_s", "max_attempts")
    )
    yield from _check_not_negative(base, route, ("priority",))
    if 0 < route.timeout_s < route.target_latency_s:
        yield findings.make_error(
            findings.Rule.TIMEOUT_BELOW_TARGET,
            f"{base}.timeout_s",
            f"found {route.timeout_s:g} s; at least the latency objective, "
            f"which is {route.target_latency_s:g} s: callers get 504 while "
            "an answer would still be on time",
        )
    if route.kind is types.RequestKind.NON_IDEMPOTENT and route.may_resume:
        yield findings.make_error(
            findings.Rule.RESUME_NOT_STREAM,
            f"{base}.may_resume",
            "found true on a route whose requests may run once only and are "
            "no streams; requests that may have run would be sent again",
        )
    is_stream = route.kind is types.RequestKind.STREAM
    if is_stream and route.pause_limit_s is not None:
        yield from _check_positive(base, route, ("pause_limit_s",))
        if route.pause_limit_s > route.timeout_s > 0:
            yield findings.make_warning(
                findings.Rule.PAUSE_ABOVE_TIMEOUT,
                f"{base}.pause_limit_s",
                f"found {route.pause_limit_s:g} s; at most the time-out, "
                f"which is {route.timeout_s:g} s, or it limits nothing",
            )
    for number, destination in enumerate(route.destinations):
        yield from _check_not_negative(
            f"{base}.destinations[{number}]", destination, ("weight",)
        )


def _check_service(
    base: str, service: types.Service
) -> Iterator[findings.Finding]:
    yield from _check_not_negative(
        base,
        service,
        ("max_connections", "cold_start_s", "cold_requests_per_s"),
    )
    engine = service.engine
    if engine is None:
        return
    yield from _check_positive(
        f"{base}.engine", engine, _POSITIVE_PROFILE_FIELDS
    )
    yield from _check_not_negative(
        f"{base}.engine", engine, _OTHER_PROFILE_FIELDS
    )
    if 0 < service.max_connections < engine.slots:
        yield findings.make_warning(
            findings.Rule.SLOTS_ABOVE_CONNECTIONS,
            f"{base}.engine.slots",
            f"found {engine.slots}; an endpoint accepts "
            f"{service.max_connections} connections with one request each, "
            "so its other slots stay empty",
        )


def _check_positive(
    base: str, item: object, fields: Iterable[str]
) -> Iterator[findings.Finding]:
    for field in fields:
        value = getattr(item, field)
        if value <= 0:
            yield _make_out_of_range(f"{base}.{field}", value, "more than 0")


def _check_not_negative(
    base: str, item: object, fields: Iterable[str]
) -> Iterator[findings.Finding]:
    for field in fields:
        value = getattr(item, field)
        if value < 0:
            yield _make_out_of_range(f"{base}.{field}", value, "at least 0")


def _make_out_of_range(
    path: str, value: float, allowed: str
) -> findings.Finding:
    unit = " s" if path.endswith("_s") else ""
    return findings.make_error(
        findings.Rule.OUT_OF_RANGE, path, f"found {value:g}{unit}; {allowed}"
    )
