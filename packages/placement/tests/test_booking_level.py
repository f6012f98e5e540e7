"""Tests for which share of outputs memory is reserved.

Guards against reservations that stay low while engines preempt streams, and
against a peak of several requests that is above the memory.
"""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from poplarwick_core import ids
from poplarwick_placement import booking_level
from poplarwick_placement import memory_peak

SERVICE = ids.ServiceId("pool")


def test_preemptions_raise_the_level_and_their_absence_lowers_it():
    levels = booking_level.BookingLevels()
    initial = levels.get(SERVICE, 0.0)
    for second in range(5):
        levels.record_preemption(SERVICE, float(second))
    assert levels.get(SERVICE, 5.0) == booking_level.MAX_LEVEL > initial
    assert levels.get(SERVICE, 300.0) == booking_level.MIN_LEVEL


def test_preemptions_of_one_moment_count_once():
    levels = booking_level.BookingLevels()
    initial = levels.get(SERVICE, 0.0)
    for number in range(10):
        levels.record_preemption(SERVICE, 0.01 * number)
    assert levels.get(SERVICE, 1.0) == initial + booking_level.RAISE


RESERVATIONS = st.lists(
    st.builds(memory_peak.Reservation, st.integers(0, 60), st.integers(1, 60)),
    max_size=8,
)


@given(RESERVATIONS)
def test_peak_is_the_most_that_is_held_at_any_step(reservations):
    held_tokens = [
        sum(
            r.present_tokens + step
            for r in reservations
            if r.rest_tokens >= step
        )
        for step in range(61)
    ]
    assert memory_peak.calculate_peak(reservations) == max(held_tokens)


@given(
    RESERVATIONS, st.integers(1, 60), st.integers(0, 60), st.integers(1, 800)
)
def test_request_fits_if_the_peak_with_it_does(
    reservations, prompt, output, memory
):
    ordered = sorted(reservations, reverse=True)
    added = memory_peak.Reservation(output, prompt)
    peak = memory_peak.calculate_peak([*reservations, added])
    fits = memory_peak.fits(ordered, prompt, output, memory)
    assert fits == (peak <= memory)
