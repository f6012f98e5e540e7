"""Runs work on large texts in a thread, so it does not block the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import ParamSpec
from typing import TypeVar

MAX_INLINE_CHARACTERS = 20_000

P = ParamSpec("P")
T = TypeVar("T")


async def run_for_text(
    text: str,
    function: Callable[P, T],
    *arguments: P.args,
    **options: P.kwargs,
) -> T:
    """Calls a function, in a worker thread if the text is large.

    Args:
        text: Text whose length determines the cost of the call.
        function: Function to call.
        *arguments: Positional arguments.
        **options: Keyword arguments.

    Returns:
        The return value of the function.
    """
    if len(text) <= MAX_INLINE_CHARACTERS:
        return function(*arguments, **options)
    return await asyncio.to_thread(function, *arguments, **options)
