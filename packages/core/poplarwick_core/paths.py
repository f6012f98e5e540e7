"""Segments of request paths that an endpoint might read as another path."""

from __future__ import annotations

import re
import urllib.parse

_UNSAFE_CHARACTER = re.compile(r"[\x00-\x1f\x7f\\]")


def is_unsafe(segment: str) -> bool:
    """Returns whether a segment of a raw path is not forwarded.

    Those are dot segments, also if encoded twice, and segments with an encoded
    separator or a control character.
    """
    decoded = urllib.parse.unquote(segment)
    return (
        decoded in (".", "..")
        or urllib.parse.unquote(decoded) in (".", "..")
        or "/" in decoded
        or _UNSAFE_CHARACTER.search(decoded) is not None
    )
