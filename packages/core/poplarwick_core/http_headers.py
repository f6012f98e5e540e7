"""Headers of HTTP that no instance passes on."""

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
"""Headers that concern one connection only, in lower case (RFC 9110, section
7.6.1)."""
