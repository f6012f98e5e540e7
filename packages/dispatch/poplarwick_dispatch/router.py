"""Ranks the instances to send an acquire request to."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from collections.abc import Iterable

from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_dispatch import _rendezvous
from poplarwick_peers import membership
from poplarwick_peers.wire import grant_pb2

MAX_HOPS = 4
HINT_TTL_S = 2.0
ABSENT_TTL_S = 5.0
BUSY_QUEUE_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class _Hint:
    queue_s: float
    free_tokens: int
    recorded_at_s: float


class Router:
    """Ranks instances by prompt prefix and by hints about their capacity.

    The router stores one hint for each pair of instance and target and no
    state per endpoint. Hints only change the order: the owner decides.

    Args:
        now_s: Monotonic clock.
    """

    def __init__(self, now_s: Callable[[], float] = clock.now_s) -> None:
        self._now_s = now_s
        self._hints: dict[tuple[ids.InstanceId, str], _Hint] = {}
        self._absent_since: dict[tuple[ids.InstanceId, str], float] = {}

    def rank(
        self,
        request: grant_pb2.AcquireRequest,
        members: Iterable[membership.Member],
    ) -> list[ids.InstanceId]:
        """Returns the instances to contact, best first.

        Args:
            request: Acquire request to route.
            members: Live instances of the region.

        Returns:
            At most `MAX_HOPS` instances. If there are fewer, the best one is
            repeated for a model, because a request is queued only at the last
            hop.
        """
        target = request.model or request.service
        instances = (member.instance for member in members)
        ranked = _rendezvous.rank(_make_hash_key(request), instances)
        rechecked = self._find_instance_to_recheck(ranked, target)
        ranked.sort(
            key=lambda instance: (
                (instance, target) in self._absent_since
                and instance != rechecked,
                self._is_busy(instance, target, request),
            )
        )
        if ranked and request.model:
            ranked += [ranked[0]] * (MAX_HOPS - len(ranked))
        return ranked[:MAX_HOPS]

    def record_hints(
        self, instance: ids.InstanceId, rooms: Iterable[grant_pb2.Room]
    ) -> None:
        """Records the hints that arrived with a reply."""
        now_s = self._now_s()
        for room in rooms:
            key = (instance, room.model or room.service)
            if room.is_absent:
                self._absent_since[key] = now_s
                continue
            self._hints[key] = _Hint(room.queue_s, room.free_tokens, now_s)
            self._absent_since.pop(key, None)

    def record_refusal(
        self,
        instance: ids.InstanceId,
        target: str,
        reason: grant_pb2.RefusalReason,
    ) -> None:
        """Records that an instance owns no endpoint of a target."""
        if reason == grant_pb2.REFUSAL_NOT_OWNER:
            self._absent_since[(instance, target)] = self._now_s()

    def forget(self, instance: ids.InstanceId) -> None:
        """Removes all hints of an instance that has left."""
        for hints in (self._hints, self._absent_since):
            for key in [k for k in hints if k[0] == instance]:
                del hints[key]

    def _find_instance_to_recheck(
        self, ranked: list[ids.InstanceId], target: str
    ) -> ids.InstanceId | None:
        """Returns the one instance that may own an endpoint by now.

        Only one instance is contacted again per request, so that many hints
        that expire together cannot use up its hops.
        """
        newest_expired_s = self._now_s() - ABSENT_TTL_S
        for instance in ranked:
            recorded_at_s = self._absent_since.get((instance, target))
            if recorded_at_s is not None and recorded_at_s < newest_expired_s:
                return instance
        return None

    def _is_busy(
        self,
        instance: ids.InstanceId,
        target: str,
        request: grant_pb2.AcquireRequest,
    ) -> bool:
        hint = self._hints.get((instance, target))
        if hint is None or self._now_s() - hint.recorded_at_s > HINT_TTL_S:
            return False
        if hint.queue_s > BUSY_QUEUE_S:
            return True
        needed = request.prompt_tokens + request.output_tokens
        return bool(request.model) and hint.free_tokens < needed


def _make_hash_key(request: grant_pb2.AcquireRequest) -> bytes:
    target = (request.model or request.service).encode()
    if request.prefix_digests:
        return target + request.prefix_digests[0].to_bytes(8, "big")
    return target + request.request_id.encode()
