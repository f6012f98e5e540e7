"""Which headers are passed on."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

import multidict

from poplarwick_core import http_headers

LENGTH = frozenset({"content-length", "expect"})
"""Headers that are made anew for a body that was read whole."""


def select_headers(
    headers: Mapping[str, str], dropped: Iterable[str] = ()
) -> multidict.CIMultiDict[str]:
    """Returns the headers that go on to the other side.

    Args:
        headers: Headers as received, names may repeat.
        dropped: Further names, in lower case, to leave out.
    """
    named = {
        token.strip().lower()
        for token in headers.get("Connection", "").split(",")
    }
    left_out = http_headers.HOP_BY_HOP | LENGTH | named | frozenset(dropped)
    return multidict.CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in left_out
    )
