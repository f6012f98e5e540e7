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


def calculate_unshared_tokens(reservations: tuple[Reservation, ...]) -> int:
    """Returns by how much the sum of reservations exceeds their peak."""
    if len(reservations) < 2:
        return 0
    return sum(map(sum, reservations)) - calculate_peak(reservations)


def calculate_growth(
    reservations: tuple[Reservation, ...], added: Reservation
) -> int:
    """Returns by how much a further request raises the peak."""
    return calculate_peak((*reservations, added)) - calculate_peak(reservations)
