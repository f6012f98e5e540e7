"""Keeps work on large texts from holding up an instance's requests."""

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
    """Calls a function, on a thread of its own if the text is large.

    Args:
        text: The text that the work grows with.
        function: The function.
        *arguments: Its arguments.
        **options: Its keyword arguments.
    """
    if len(text) <= MAX_INLINE_CHARACTERS:
        return function(*arguments, **options)
    return await asyncio.to_thread(function, *arguments, **options)
