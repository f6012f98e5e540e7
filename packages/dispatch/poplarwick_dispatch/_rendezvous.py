"""Rendezvous hashing (Thaler and Ravishankar, 1998)."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from poplarwick_core import ids


def rank(
    key: bytes, instances: Iterable[ids.InstanceId]
) -> list[ids.InstanceId]:
    """Returns the instances sorted by their hashes combined with a key.

    When an instance leaves, only the keys for which it ranked first get another
    first instance.
    """
    return sorted(
        instances,
        key=lambda instance: xxhash.xxh3_64_intdigest(key + instance.encode()),
        reverse=True,
    )
