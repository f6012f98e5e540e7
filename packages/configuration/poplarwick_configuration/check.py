"""Validates the constraints of a document that its types do not express."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable
from collections.abc import Iterator

from poplarwick_configuration import document
from poplarwick_core import errors
from poplarwick_core import findings
from poplarwick_core import jsonc

MAX_PORT = 65_535


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """A validation error of a document.

    Attributes:
        source: File name or other origin of the text.
        line: Line number, starting at 1, or None if unknown.
        path: JSON path in the document, such as `$.models[0].id`.
        message: The invalid value and the allowed values.
    """

    source: str
    line: int | None
    path: str
    message: str

    def __str__(self) -> str:
        location = (
            self.source if self.line is None else f"{self.source}:{self.line}"
        )
        return f"{location}: {self.path}: {self.message}"


def check_document(text: str, source: str) -> tuple[Problem, ...]:
    """Validates a document.

    Args:
        text: The document in JSON with comments.
        source: Origin of the text, shown in problems.

    Returns:
        The problems found; empty if the document is valid.
    """
    try:
        parsed = jsonc.decode(text, document.Document, source)
    except errors.DocumentError as error:
        return (Problem(source, error.line, error.path, error.problem),)
    problems = tuple(find_problems(parsed))
    if not problems:
        return ()
    lines = jsonc.find_positions(text)
    return tuple(
        Problem(source, lines.find_line(p.path), p.path, p.message)
        for p in problems
    )


def find_problems(parsed: document.Document) -> Iterator[findings.Finding]:
    """Yields what makes a document invalid, in the order of the checks."""
    yield from _check_unique_ids(parsed)
    yield from _check_keys(parsed)
    yield from _check_models(parsed)
    yield from _check_services(parsed)
    yield from _check_endpoints(parsed)
    yield from _check_coverage(parsed)


def _check_unique_ids(parsed: document.Document) -> Iterator[findings.Finding]:
    groups: dict[str, Iterable[str]] = {
        "organisations": (o.id for o in parsed.organisations),
        "models": (m.id for m in parsed.models),
        "services": (s.id for s in parsed.services),
        "domains": (d.id for d in parsed.domains),
        "endpoints": (e.id for e in parsed.endpoints),
    }
    for group, values in groups.items():
        paths = ((v, f"$.{group}[{i}].id") for i, v in enumerate(values))
        yield from _find_duplicates(paths, "id")
    addresses = (
        (e.address, f"$.endpoints[{i}].address")
        for i, e in enumerate(parsed.endpoints)
    )
    yield from _find_duplicates(addresses, "address")
    instances = (
        (name, f"$.instances_out[{i}]")
        for i, name in enumerate(parsed.instances_out)
    )
    yield from _find_duplicates(instances, "instance")


def _check_keys(parsed: document.Document) -> Iterator[findings.Finding]:
    digests: list[tuple[str, str]] = []
    for index, organisation in enumerate(parsed.organisations):
        groups = {
            "keys": organisation.keys,
            "administrators": organisation.administrators,
        }
        for group, keys in groups.items():
            base = f"$.organisations[{index}].{group}"
            names = ((k.id, f"{base}[{i}].id") for i, k in enumerate(keys))
            yield from _find_duplicates(names, "key id")
            digests += [
                (key.sha256, f"{base}[{i}].sha256")
                for i, key in enumerate(keys)
            ]
    yield from _find_duplicates(digests, "key digest")


def _check_models(parsed: document.Document) -> Iterator[findings.Finding]:
    for index, model in enumerate(parsed.models):
        base = f"$.models[{index}]"
        if model.timeout_s > model.max_timeout_s:
            yield _make_problem(
                f"{base}.timeout_s",
                f"found {model.timeout_s:g}; at most max_timeout_s, which is "
                f"{model.max_timeout_s:g}",
            )
        if model.cold_start.concurrent > model.max_batch:
            yield _make_problem(
                f"{base}.cold_start.concurrent",
                f"found {model.cold_start.concurrent}; at most max_batch, "
                f"which is {model.max_batch}",
            )
        if (
            model.context_tokens > model.memory_tokens
            and not model.spreads_prompts
        ):
            yield _make_problem(
                f"{base}.context_tokens",
                f"found {model.context_tokens}; at most memory_tokens, which "
                f"is {model.memory_tokens}, unless spreads_prompts is true",
            )


def _check_services(parsed: document.Document) -> Iterator[findings.Finding]:
    for index, service in enumerate(parsed.services):
        base = f"$.services[{index}]"
        if not service.routes:
            yield _make_problem(
                f"{base}.routes", "found none; at least one route"
            )
        paths = (
            (f"{method} {route.path}", f"{base}.routes[{i}].path")
            for i, route in enumerate(service.routes)
            for method in route.methods
        )
        yield from _find_duplicates(paths, "route")
        for number, route in enumerate(service.routes):
            if not route.methods:
                yield _make_problem(
                    f"{base}.routes[{number}].methods",
                    "found none; at least one HTTP method",
                )


def _check_endpoints(parsed: document.Document) -> Iterator[findings.Finding]:
    models = {m.id for m in parsed.models}
    services = {s.id for s in parsed.services}
    domains = {d.id for d in parsed.domains}
    for index, endpoint in enumerate(parsed.endpoints):
        base = f"$.endpoints[{index}]"
        yield from _check_reference(f"{base}.domain", endpoint.domain, domains)
        yield from _check_reference(f"{base}.model", endpoint.model, models)
        yield from _check_reference(
            f"{base}.service", endpoint.service, services
        )
        if (endpoint.model is None) == (endpoint.service is None):
            found = "neither" if endpoint.model is None else "both"
            yield _make_problem(
                base, f"found {found} of model and service; exactly one"
            )
        port = int(endpoint.address.rpartition(":")[2])
        if not 0 < port <= MAX_PORT:
            yield _make_problem(
                f"{base}.address", f"found port {port}; 1 to {MAX_PORT}"
            )


def _check_reference(
    path: str, name: str | None, known: set[str]
) -> Iterator[findings.Finding]:
    if name is None or name in known:
        return
    allowed = ", ".join(sorted(known)) or "none is defined"
    yield _make_problem(path, f'found "{name}"; one of: {allowed}')


def _check_coverage(parsed: document.Document) -> Iterator[findings.Finding]:
    served = collections.Counter(e.model for e in parsed.endpoints)
    for index, model in enumerate(parsed.models):
        if not served[model.id]:
            yield _make_problem(
                f"$.models[{index}].id",
                f'model "{model.id}" has no endpoint; at least one endpoint, '
                "or remove the model",
            )
    served = collections.Counter(e.service for e in parsed.endpoints)
    for index, service in enumerate(parsed.services):
        if not served[service.id]:
            yield _make_problem(
                f"$.services[{index}].id",
                f'service "{service.id}" has no endpoint; at least one '
                "endpoint, or remove the service",
            )


def _find_duplicates(
    values: Iterable[tuple[str, str]], kind: str
) -> Iterator[findings.Finding]:
    first: dict[str, str] = {}
    for value, path in values:
        if value in first:
            yield _make_problem(
                path, f'{kind} "{value}" is already used at {first[value]}'
            )
        else:
            first[value] = path


def _make_problem(path: str, message: str) -> findings.Finding:
    return findings.make_error(findings.Rule.INVALID, path, message)
