"""Rendezvous hashing of resources to instances."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from poplarwick_core import ids
from poplarwick_ownership import tenure


def rank_owners(
    resource: tenure.Resource, candidates: Iterable[ids.InstanceId]
) -> list[ids.InstanceId]:
    """Returns the candidates ranked by rendezvous hashing, highest first.

    A candidate that joins or leaves changes the highest-ranked candidate of
    its own share of the resources only (Thaler and Ravishankar, 1998).
    """
    suffix = f"\0{resource.kind.value}\0{resource.id}"
    return sorted(
        candidates,
        key=lambda instance: (
            xxhash.xxh3_64_intdigest((instance + suffix).encode()),
            instance,
        ),
        reverse=True,
    )
