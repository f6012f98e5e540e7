"""Drain marks, which take targets out of service outside the document text.

Drain marks are stored separately from the text, so that pushing a file without
them does not put a target back into service.
"""

from __future__ import annotations

import enum
from typing import TypeVar

import msgspec

from poplarwick_configuration import document

_Part = TypeVar("_Part", document.Domain, document.Endpoint)


class TargetKind(enum.Enum):
    """Kind of a target."""

    DOMAIN = "domain"
    INSTANCE = "instance"
    ENDPOINT = "endpoint"


class Target(msgspec.Struct, frozen=True, order=True):
    """A domain, instance or endpoint that can be taken out of service.

    Attributes:
        kind: Kind of the target.
        name: Id of the target.
    """

    kind: TargetKind
    name: str

    def __str__(self) -> str:
        return f"{self.kind.value} {self.name}"


class Mark(msgspec.Struct, frozen=True, kw_only=True):
    """A drain mark: keeps a target out of service.

    Attributes:
        target: Target that is out of service.
        author: Operator who took it out of service.
        change_id: Idempotency key of the change.
        time_s: Time of the change in seconds since the Unix epoch.
    """

    target: Target
    author: str
    change_id: str
    time_s: float


def is_known(parsed: document.Document, target: Target) -> bool:
    """Returns whether a target is valid for a document.

    The document does not list instances, so any instance id is valid.
    """
    match target.kind:
        case TargetKind.DOMAIN:
            return any(d.id == target.name for d in parsed.domains)
        case TargetKind.ENDPOINT:
            return any(e.id == target.name for e in parsed.endpoints)
        case TargetKind.INSTANCE:
            return True


def apply_marks(
    parsed: document.Document, marks: tuple[Mark, ...]
) -> document.Document:
    """Returns a copy of the document with all marked targets out of service."""
    if not marks:
        return parsed
    names: dict[TargetKind, set[str]] = {kind: set() for kind in TargetKind}
    for mark in marks:
        names[mark.target.kind].add(mark.target.name)
    instances = names[TargetKind.INSTANCE].union(parsed.instances_out)
    return msgspec.structs.replace(
        parsed,
        domains=tuple(
            _take_out(domain, names[TargetKind.DOMAIN])
            for domain in parsed.domains
        ),
        endpoints=tuple(
            _take_out(endpoint, names[TargetKind.ENDPOINT])
            for endpoint in parsed.endpoints
        ),
        instances_out=tuple(sorted(instances)),
    )


def find_idle_models(parsed: document.Document) -> tuple[str, ...]:
    """Returns the ids of models and services with no endpoint in service."""
    view = document.View(0, parsed)
    served = {
        (endpoint.model, endpoint.service)
        for endpoint in parsed.endpoints
        if view.is_in_service(endpoint)
    }
    models = (m.id for m in parsed.models if (m.id, None) not in served)
    services = (s.id for s in parsed.services if (None, s.id) not in served)
    return (*models, *services)


def _take_out(section: _Part, names: set[str]) -> _Part:
    if section.id not in names:
        return section
    return msgspec.structs.replace(section, in_service=False)
