"""Memory of responses that are being gathered."""

from __future__ import annotations

import pytest

from poplarwick_entry import response_memory

MAX_BYTES = response_memory.MAX_COUNTED_BYTES
ORDINARY_BYTES = response_memory.ORDINARY_BYTES


def test_large_response_is_given_up_once_all_together_take_too_much():
    memory = response_memory.ResponseMemory()
    with memory.hold() as first, memory.hold() as second:
        first.add(MAX_BYTES // 2 + ORDINARY_BYTES)
        second.add(MAX_BYTES // 2 + ORDINARY_BYTES)
        with pytest.raises(response_memory.ResponseMemoryError):
            second.add(1)
    assert memory.counted_bytes == 0


def test_ordinary_response_is_gathered_whatever_others_take():
    memory = response_memory.ResponseMemory()
    with memory.hold() as large, memory.hold() as ordinary:
        with pytest.raises(response_memory.ResponseMemoryError):
            large.add(MAX_BYTES + ORDINARY_BYTES + 1)
        ordinary.add(ORDINARY_BYTES)


def test_memory_of_a_response_that_was_given_up_is_free_again():
    memory = response_memory.ResponseMemory()
    with pytest.raises(response_memory.ResponseMemoryError):
        with memory.hold() as held:
            held.add(MAX_BYTES + ORDINARY_BYTES + 1)
    with memory.hold() as held:
        held.add(MAX_BYTES + ORDINARY_BYTES)
