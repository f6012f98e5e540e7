"""Calls of the users' platform: its clients, balancer, keys and answers."""

from __future__ import annotations

import zlib
from collections.abc import Mapping

from poplarwick_standins import platform_documents as documents

READY_PATH = "/v1/ready"
CONFIGURATION_KEY = "op/config"
SIGNATURE_HEADER = "Response-Stamp"
SIGNATURE_PREFIX = "s-"
"""What the stand-in of a replica puts before its name as a signature."""

SHARED_TOKENS = 40
"""Tokens at the start of each prompt that requests share."""


def make_endpoint_key(name: str) -> str:
    """Returns the key of a replica's entry."""
    return f"servers/{name}"


def make_evacuation_key(domain: str) -> str:
    """Returns the key by which operators take a zone out."""
    return f"op/evacuate/{domain}"


def make_headers(
    request: str,
    key: str,
    deadline_s: float,
    prompt_tokens: int | None = None,
    events: int = 0,
) -> dict[str, str]:
    """Returns the headers of a client's request.

    Args:
        request: Its id.
        key: Key of its tenant.
        deadline_s: How long its client waits.
        prompt_tokens: Length of its prompt; None for plain services.
        events: Events that its stream has.
    """
    headers = {
        "Host": documents.HOST,
        "Request-Id": request,
        "Deadline-Ms": str(round(deadline_s * 1_000)),
        "X-Api-Key": key,
    }
    if prompt_tokens is not None:
        own = zlib.crc32(request.encode())
        headers["Token-Counts"] = f"{prompt_tokens},{events}"
        headers["Model"] = "m"
        headers["Prompt-Prefix"] = (
            f"ab12:{SHARED_TOKENS},{own:x}:{prompt_tokens - SHARED_TOKENS}"
        )
    return headers


def read_event_count(headers: Mapping[str, str]) -> int:
    """Returns the events that a client's request asks for."""
    _, _, events = headers["Token-Counts"].partition(",")
    return int(events)


def read_tenant(headers: Mapping[str, str]) -> str | None:
    """Returns the tenant that a request was sent on for."""
    return headers.get("Tenant")


def has_key(headers: Mapping[str, str]) -> bool:
    """Tells whether a request still carries its client's key."""
    return "X-Api-Key" in headers
