"""Most memory that the requests of an engine hold together.

Load pattern: outputs that are long beside their prompts, so that requests hold
much less memory on the whole than at their ends. All requests of an engine
write at the same pace, one event in each iteration, and release their memory
when they end. When the request with the k-th longest rest ends, the k - 1 with
a longer one have written as much since now as it has. The peak is the most that
is held at one of these ends.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple


class Reservation(NamedTuple):
    """Memory of one request.

    Attributes:
        rest_tokens: Output that is still to be written.
        present_tokens: Memory of the prompt and of the output so far.
    """

    rest_tokens: int
    present_tokens: int


def make_reservation(
    memory_tokens: int, booked_tokens: int | None, written_tokens: int
) -> Reservation:
    """Returns the reservation of a request.

    Args:
        memory_tokens: Memory for its prompt and its whole output.
        booked_tokens: Output for which memory is reserved.
        written_tokens: Output so far.
    """
    rest_tokens = max((booked_tokens or 0) - written_tokens, 0)
    return Reservation(rest_tokens, memory_tokens - rest_tokens)


def calculate_peak(reservations: Iterable[Reservation]) -> int:
    """Returns the most memory that requests hold together, in tokens."""
    peak_tokens = held_tokens = 0
    for count, (rest_tokens, present_tokens) in enumerate(
        sorted(reservations, reverse=True), 1
    ):
        held_tokens += present_tokens
        peak_tokens = max(peak_tokens, held_tokens + count * rest_tokens)
    return peak_tokens


def fits(
    reservations: Sequence[Reservation],
    prompt_tokens: int,
    output_tokens: int,
    memory_tokens: int,
) -> bool:
    """Returns whether the peak with a further request is within the memory.

    Asked for each endpoint of a decision, so it ends where the memory is first
    exceeded.

    Args:
        reservations: Reservations by rest, the longest first.
        prompt_tokens: Prompt of the further request.
        output_tokens: Output for which memory is reserved.
        memory_tokens: Memory that all of them share.
    """
    held_tokens = count = 0
    is_counted = False
    for rest_tokens, present_tokens in reservations:
        if not is_counted and output_tokens >= rest_tokens:
            is_counted = True
            held_tokens += prompt_tokens
            count += 1
            if held_tokens + count * output_tokens > memory_tokens:
                return False
        held_tokens += present_tokens
        count += 1
        if held_tokens + count * rest_tokens > memory_tokens:
            return False
    if is_counted:
        return True
    held_tokens += prompt_tokens
    return held_tokens + (count + 1) * output_tokens <= memory_tokens
