"""Takes targets out of service and puts them back, in an outage too."""

from __future__ import annotations

import asyncio
import dataclasses

import result

from poplarwick_configuration import _planning
from poplarwick_configuration import changes
from poplarwick_configuration import drain_marks
from poplarwick_configuration import exchange
from poplarwick_configuration import follower
from poplarwick_configuration import snapshot
from poplarwick_configuration import store
from poplarwick_core import clock
from poplarwick_core import errors
from poplarwick_core import ids
from poplarwick_platform import kv

STORE_TIMEOUT_S = 2.0
SPREAD_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """The change is in force but not stored yet.

    Attributes:
        mark: The mark.
        held_by: Instances that hold it, this one included.
        missing: Known instances that have not confirmed it.
    """

    mark: drain_marks.Mark
    held_by: tuple[ids.InstanceId, ...]
    missing: tuple[ids.InstanceId, ...]


TakeOutResult = result.Result[changes.Accepted | Held, changes.Refusal]


class DrainController:
    """Takes targets of one environment out of service and puts them back.

    Taking out works while the key-value service is out: all instances hold
    the mark until one of them can store it. Putting back needs the service.
    """

    def __init__(
        self,
        client: kv.KvClient,
        environment: str,
        documents: follower.Follower,
        peers: exchange.Exchange | None = None,
    ) -> None:
        self._store = store.DocumentStore(client, environment)
        self._documents = documents
        self._peers = peers

    async def take_out(
        self,
        target: drain_marks.Target,
        *,
        author: str,
        change_id: str,
        is_forced: bool = False,
    ) -> TakeOutResult:
        """Takes a target out of service.

        Args:
            target: What is taken out.
            author: Operator who asks for it.
            change_id: Idempotency key of the change.
            is_forced: Whether a model may be left without an endpoint.
        """
        change = changes.TakeOut(target, is_forced)
        mark = drain_marks.Mark(
            target=target,
            author=author,
            change_id=change_id,
            time_s=clock.wall_time_s(),
        )
        made = await self._try_store(change, mark)
        if made.is_ok():
            return result.Ok(made.unwrap())
        refusal = made.unwrap_err()
        if not isinstance(refusal, changes.NotStored | changes.Unresolved):
            return result.Err(refusal)
        held_refusal = self._check(change, mark)
        if held_refusal is not None:
            return result.Err(held_refusal)
        self._documents.hold((mark,))
        return result.Ok(await self._spread(mark))

    async def put_in(
        self, target: drain_marks.Target, *, author: str, change_id: str
    ) -> changes.ChangeResult:
        """Puts a target back into service; this needs the service."""
        if any(mark.target == target for mark in self._documents.held):
            return result.Err(
                changes.NotStored(f"{target} is held out and not stored yet")
            )
        return await self._store.make_change(
            changes.PutIn(target), author=author, change_id=change_id
        )

    async def _try_store(
        self, change: changes.TakeOut, mark: drain_marks.Mark
    ) -> changes.ChangeResult:
        try:
            async with asyncio.timeout(STORE_TIMEOUT_S):
                return await self._store.make_change(
                    change,
                    author=mark.author,
                    change_id=mark.change_id,
                    time_s=mark.time_s,
                    known=self._documents.known_sections,
                )
        except TimeoutError:
            reason = f"no answer within {STORE_TIMEOUT_S:g} s"
            return result.Err(changes.Unresolved(mark.change_id, reason))

    def _check(
        self, change: changes.TakeOut, mark: drain_marks.Mark
    ) -> changes.Refusal | None:
        view = self._documents.view
        if view is None:
            return changes.UnknownTarget(change.target)
        return _planning.check_take_out(change, (), mark, view.document)

    async def _spread(self, mark: drain_marks.Mark) -> Held:
        """Has all known instances hold the mark and counts who does."""
        if self._peers is None:
            return Held(mark, (), ())
        data = snapshot.encode_marks((mark,))
        known = self._peers.list_peers()
        answers = await asyncio.gather(
            *(self._send(self._peers, peer, data) for peer in known)
        )
        pairs = list(zip(known, answers, strict=True))
        holders = (peer for peer, has_answered in pairs if has_answered)
        missing = (peer for peer, has_answered in pairs if not has_answered)
        return Held(mark, (self._peers.own, *holders), tuple(missing))

    async def _send(
        self, peers: exchange.Exchange, peer: ids.InstanceId, data: bytes
    ) -> bool:
        try:
            async with asyncio.timeout(SPREAD_TIMEOUT_S):
                await peers.send_marks(peer, data)
        except (errors.PoplarwickError, TimeoutError):
            return False
        return True
