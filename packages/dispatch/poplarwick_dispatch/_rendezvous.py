"""Rendezvous hashing (Thaler and Ravishankar, 1998)."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from poplarwick_core import ids


def rank(
    key: bytes, instances: Iterable[ids.InstanceId]
) -> list[ids.InstanceId]:
    """Returns the instances in the order of their hashes with a key.

    An instance that leaves moves only the keys that it came first for.
    """
    return sorted(
        instances,
        key=lambda instance: xxhash.xxh3_64_intdigest(key + instance.encode()),
        reverse=True,
    )
