"""Selects the headers that are forwarded."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

import multidict

from poplarwick_core import http_headers

BODY_HEADERS = frozenset({"content-length", "expect"})
"""Headers that are generated anew because the body is buffered."""


def select_headers(
    headers: Mapping[str, str], dropped: Iterable[str] = ()
) -> multidict.CIMultiDict[str]:
    """Returns the headers to forward.

    Args:
        headers: Headers as received; names may repeat.
        dropped: Further names, in lower case, to leave out.
    """
    connection_options = {
        token.strip().lower()
        for token in headers.get("Connection", "").split(",")
    }
    excluded = (
        http_headers.HOP_BY_HOP
        | BODY_HEADERS
        | connection_options
        | frozenset(dropped)
    )
    return multidict.CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in excluded
    )
