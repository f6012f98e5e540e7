"""HTTP headers that an instance does not forward."""

from __future__ import annotations

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that apply to a single connection, in lower case (RFC 9110, section
7.6.1)."""
