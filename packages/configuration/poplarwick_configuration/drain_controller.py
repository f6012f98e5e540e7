"""Takes targets out of service, even in a store outage, and puts them back."""

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
BROADCAST_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """Result: the drain mark is in force but not stored yet.

    Attributes:
        mark: The drain mark.
        held_by: Instances that hold the mark, including this one.
        missing: Known instances that have not confirmed the mark.
    """

    mark: drain_marks.Mark
    held_by: tuple[ids.InstanceId, ...]
    missing: tuple[ids.InstanceId, ...]


TakeOutResult = result.Result[changes.Accepted | Held, changes.Refusal]


class DrainController:
    """Takes targets of one environment out of service and puts them back.

    A target can be taken out during an outage of the key-value service: all
    instances hold the drain mark until one of them can store it. Putting a
    target back requires the service.

    Args:
        client: Client of the key-value service.
        environment: Name of the environment.
        documents: Follower of the environment's document.
        peers: Transport to the other instances; None if there are none.
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
            target: Target to take out.
            author: Operator who requests the change.
            change_id: Idempotency key of the change.
            is_forced: Whether the change may leave a model or service without
                an endpoint in service.

        Returns:
            The stored or held change, or the refusal.
        """
        change = changes.TakeOut(target, is_forced)
        mark = drain_marks.Mark(
            target=target,
            author=author,
            change_id=change_id,
            time_s=clock.wall_time_s(),
        )
        stored = await self._try_store(change, mark)
        if stored.is_ok():
            return result.Ok(stored.unwrap())
        refusal = stored.unwrap_err()
        if not isinstance(refusal, changes.NotStored | changes.Unresolved):
            return result.Err(refusal)
        local_refusal = self._check_locally(change, mark)
        if local_refusal is not None:
            return result.Err(local_refusal)
        self._documents.hold((mark,))
        return result.Ok(await self._broadcast(mark))

    async def put_in(
        self, target: drain_marks.Target, *, author: str, change_id: str
    ) -> changes.ChangeResult:
        """Puts a target back into service.

        This requires the key-value service.

        Args:
            target: Target to put back.
            author: Operator who requests the change.
            change_id: Idempotency key of the change.

        Returns:
            The stored change or the refusal.
        """
        if any(mark.target == target for mark in self._documents.held):
            return result.Err(
                changes.NotStored(
                    f"the drain mark of {target} is not stored yet"
                )
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
                    known_sections=self._documents.known_sections,
                )
        except TimeoutError:
            reason = f"no response within {STORE_TIMEOUT_S:g} s"
            return result.Err(changes.Unresolved(mark.change_id, reason))

    def _check_locally(
        self, change: changes.TakeOut, mark: drain_marks.Mark
    ) -> changes.Refusal | None:
        view = self._documents.view
        if view is None:
            return changes.UnknownTarget(change.target)
        return _planning.check_take_out(change, (), mark, view.document)

    async def _broadcast(self, mark: drain_marks.Mark) -> Held:
        """Sends the drain mark to all known instances and waits for replies."""
        if self._peers is None:
            return Held(mark, (), ())
        data = snapshot.encode_marks((mark,))
        peer_ids = self._peers.list_peers()
        confirmations = await asyncio.gather(
            *(self._send(self._peers, peer, data) for peer in peer_ids)
        )
        pairs = list(zip(peer_ids, confirmations, strict=True))
        holders = (peer for peer, has_confirmed in pairs if has_confirmed)
        missing = (peer for peer, has_confirmed in pairs if not has_confirmed)
        return Held(mark, (self._peers.own, *holders), tuple(missing))

    async def _send(
        self, peers: exchange.Exchange, peer: ids.InstanceId, data: bytes
    ) -> bool:
        try:
            async with asyncio.timeout(BROADCAST_TIMEOUT_S):
                await peers.send_marks(peer, data)
        except (errors.PoplarwickError, TimeoutError):
            return False
        return True
