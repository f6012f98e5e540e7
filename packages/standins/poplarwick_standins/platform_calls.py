"""Paths, store keys and headers of the users' platform."""

from __future__ import annotations

import zlib
from collections.abc import Mapping

from poplarwick_standins import platform_documents as documents

READY_PATH = "/v1/ready"
CONFIGURATION_KEY = "op/config"
SIGNATURE_HEADER = "Response-Stamp"
LEAVING_HEADERS = {"Server-Leaving": "1"}
LIMIT_HEADER = "Server-Limit"
SIGNATURE_PREFIX = "s-"
"""Prefix of a replica's signature; the replica's name follows."""

SHARED_TOKENS = 40
"""Length of the prompt prefix that all requests share."""


def make_endpoint_key(name: str) -> str:
    """Returns the store key of a replica's entry."""
    return f"servers/{name}"


def is_endpoint_key(key: str) -> bool:
    """Returns whether a store key holds a replica's entry."""
    return key.startswith(make_endpoint_key(""))


def make_evacuation_key(domain: str) -> str:
    """Returns the store key with which operators evacuate a failure domain."""
    return f"op/evacuate/{domain}"


def make_headers(
    request_id: str,
    api_key: str,
    deadline_s: float,
    prompt_tokens: int | None = None,
    event_count: int = 0,
    extra_part: str = "",
) -> dict[str, str]:
    """Returns the headers of a client's request.

    Args:
        request_id: Id of the request.
        api_key: API key of the tenant.
        deadline_s: Timeout of the client.
        prompt_tokens: Length of the prompt; None for plain services.
        event_count: Number of events in the response stream.
        extra_part: Id of a further part of the prompt; empty for none.
    """
    headers = {
        "Host": documents.HOST,
        "Request-Id": request_id,
        "Deadline-Ms": str(round(deadline_s * 1_000)),
        "X-Api-Key": api_key,
    }
    if prompt_tokens is not None:
        suffix = zlib.crc32(request_id.encode())
        headers["Token-Counts"] = f"{prompt_tokens},{event_count}"
        headers["Model"] = "m"
        extra = f"{extra_part}:{SHARED_TOKENS}," if extra_part else ""
        own_tokens = prompt_tokens - (2 if extra else 1) * SHARED_TOKENS
        headers["Prompt-Prefix"] = (
            f"ab12:{SHARED_TOKENS},{extra}{suffix:x}:{own_tokens}"
        )
    return headers


def read_event_count(headers: Mapping[str, str]) -> int:
    """Returns the number of events that a client's request asks for."""
    _, _, event_count = headers["Token-Counts"].partition(",")
    return int(event_count)


def read_tenant(headers: Mapping[str, str]) -> str | None:
    """Returns the tenant in the headers of a forwarded request."""
    return headers.get("Tenant")


def has_key(headers: Mapping[str, str]) -> bool:
    """Returns whether a request contains its client's API key."""
    return "X-Api-Key" in headers
