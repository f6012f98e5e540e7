"""Requests that are known to run, with the copies of each one."""

from __future__ import annotations

import dataclasses
from collections.abc import Hashable
from collections.abc import Iterator
from collections.abc import Set

from poplarwick_core import ids
from poplarwick_placement import messages

Key = Hashable
"""Identifies a submitted request."""


@dataclasses.dataclass(slots=True)
class RunningRequest:
    """A request that was placed and has not ended.

    Attributes:
        request: The request as it was placed.
        endpoint: Endpoint that runs it.
        helpers: Endpoints that prefill parts of its prompt.
        placed_at_s: Monotonic time of the placement.
    """

    request: messages.PlacementRequest
    endpoint: ids.EndpointId
    helpers: tuple[ids.EndpointId, ...]
    placed_at_s: float


class RunningRequests:
    """The running requests by key and by fingerprint."""

    def __init__(self) -> None:
        self._by_key: dict[Key, RunningRequest] = {}
        self._copies: dict[ids.RequestFingerprint, set[Key]] = {}

    def __len__(self) -> int:
        """Returns the number of running requests."""
        return len(self._by_key)

    def __iter__(self) -> Iterator[Key]:
        """Iterates over the keys of a copy, so that requests may be removed."""
        return iter(list(self._by_key))

    def get(self, key: Key) -> RunningRequest | None:
        """Returns a running request, None if it is not known."""
        return self._by_key.get(key)

    def iter_requests(self) -> Iterator[RunningRequest]:
        """Iterates over the running requests."""
        return iter(self._by_key.values())

    def add(self, key: Key, running: RunningRequest) -> None:
        """Adds a request."""
        self._by_key[key] = running
        fingerprint = running.request.fingerprint
        if fingerprint is not None:
            self._copies.setdefault(fingerprint, set()).add(key)

    def remove(self, key: Key) -> None:
        """Removes a request that is known."""
        fingerprint = self._by_key.pop(key).request.fingerprint
        if fingerprint is None:
            return
        copies = self._copies[fingerprint]
        copies.discard(key)
        if not copies:
            del self._copies[fingerprint]

    def find_copies(self, fingerprint: ids.RequestFingerprint) -> Set[Key]:
        """Returns the keys of the running copies of a request."""
        return self._copies.get(fingerprint, frozenset())
