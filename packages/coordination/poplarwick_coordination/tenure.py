"""Elects the placer, the instance that schedules for all, through the store.

The placer holds a key with a short lease. The key's revision and the era of the
store determine the epoch of its tenure, and instances use the placer with the
highest epoch. A placer that cannot renew the lease continues until it learns of
a later epoch: overload is prevented by the checks of the endpoints and by
static shares, not by the lease.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
import secrets
from collections.abc import Callable
from collections.abc import Mapping

from poplarwick_catalogue import catalogue
from poplarwick_coordination import log_events
from poplarwick_coordination import store_followers
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_platform import kv
from poplarwick_platform import mirror

LEASE_TTL_S = 1.5
"""Lease time after which a lost placer is replaced. A process that freezes for
less than this keeps the tenure."""

RENEW_PERIOD_S = 0.4
"""Renewal interval. Three renewals fit into a lease, so it survives two lost
responses."""

CAMPAIGN_STEP_S = 0.1
"""Delay per rank before an instance campaigns. It exceeds the time of a commit
and of the watch event that announces it."""

CAMPAIGN_RANKS = 8
"""Number of ranks with a delay of their own."""

CAMPAIGN_SPREAD_S = 1.0
"""Time over which instances of lower rank, or of none yet, campaign, at random.
Each campaign costs two writes, and one succeeds."""

EPOCH_STEP = 1_000
"""Gap between the epochs of tenures taken through the store. It leaves numbers
for tenures that are handed over or begin during an outage."""

ERA_STRIDE = 1 << 40
"""Factor of the store's era in the number that an epoch follows from. Epochs
rise over a restore, after which revisions begin at a lower number; no store
reaches so many revisions."""

INCUMBENT_WAIT_S = 1.0
"""Time for which instances that have a placer leave a vacant key to it. Its
lease has ended, or it took the tenure over without one; a placer that is lost
is disconnected sooner than its lease ends."""

OUTAGE_WAIT_S = 1.0
"""Time without a placer and without the store after which an instance takes
over without the store. A hand-over takes less."""

OUTAGE_STEP_S = 0.3
"""Delay per rank before an instance takes over during an outage. A new placer
reaches the other instances in less."""

STEP_DOWN_BACKOFF_S = 3.0
"""Time for which an instance that has lost the majority does not campaign."""

POLL_PERIOD_S = 0.1
"""Interval between checks of the key in the mirror. A change of the key ends
the wait."""


@dataclasses.dataclass(frozen=True, slots=True)
class TakeoverState:
    """State that decides whether an instance takes over without the store.

    Attributes:
        is_store_unreachable: Whether the store does not answer this instance.
        disconnected_s: Time without a placer; None while one is connected.
        last_epoch: Highest epoch seen by this instance.
    """

    is_store_unreachable: bool
    disconnected_s: float | None
    last_epoch: int


class Tenure:
    """Campaigns for the tenure and renews it while held.

    Args:
        client: Client of the store.
        store_mirror: Local copy of the store.
        key: Key that the placer holds.
        instance: This instance.
        read_members: Returns the known members.
        lease_ttl_min_s: Shortest lease that the store grants.
        read_takeover_state: Returns the state that decides whether to take
            over without the store.
    """

    def __init__(
        self,
        client: kv.KvClient,
        store_mirror: mirror.Mirror,
        key: str,
        instance: ids.InstanceId,
        read_members: Callable[
            [], Mapping[ids.InstanceId, catalogue.MemberItem]
        ],
        lease_ttl_min_s: float,
        read_takeover_state: Callable[[], TakeoverState],
    ) -> None:
        self._read_takeover_state = read_takeover_state
        self._campaign_after_s = 0.0
        self._has_no_tenure = asyncio.Event()
        self._has_no_tenure.set()
        self.epoch: ids.Epoch | None = None
        self._client = client
        self._mirror = store_mirror
        self._key = key
        self._instance = instance
        self._read_members = read_members
        self._ttl_s = max(LEASE_TTL_S, lease_ttl_min_s)
        self._lease: kv.LeaseId | None = None
        self._may_campaign = True
        self._on_change: Callable[[ids.Epoch | None], None] | None = None
        self._value: bytes | None = None
        self._predecessor: ids.InstanceId | None = None
        self._has_read_store = bool(store_mirror.revision)
        self._key_changed = asyncio.Event()
        store_mirror.add_listener(self._handle_changes)

    def on_change(self, listener: Callable[[ids.Epoch | None], None]) -> None:
        """Calls `listener` with the new epoch when the tenure begins or ends.

        The epoch is None when the tenure ends.
        """
        self._on_change = listener

    async def run(self) -> None:
        """Campaigns for the tenure and renews it until cancelled."""
        while True:
            try:
                if self._lease is not None:
                    await self._renew()
                elif (
                    # Without the store's content, neither the key nor this
                    # instance's rank is known.
                    self._mirror.revision
                    and self._can_campaign()
                    and self._is_vacant()
                ):
                    await self._campaign()
                else:
                    self._take_over_in_outage()
                    await self._wait_for_change()
            except kv.LeaseLostError as error:
                self._lease = None
                logs.log(log_events.TenureLeaseLost(reason=str(error)))
            except kv.KvError as error:
                logs.log(log_events.TenureCallFailed(reason=str(error)))
                self._take_over_in_outage()
                await asyncio.sleep(RENEW_PERIOD_S)

    def observe_epoch(self, epoch: ids.Epoch, placer: ids.InstanceId) -> None:
        """Ends this instance's tenure if that of another placer goes first.

        Args:
            epoch: Epoch of the placer. Two may begin with the same one: they
                were handed it in turn, or took over in an outage without
                knowing of each other.
            placer: Instance of the placer; decides between equal epochs.
        """
        if self.epoch is not None and (epoch, placer) > (
            self.epoch,
            self._instance,
        ):
            logs.log(log_events.TenureSuperseded(own=self.epoch, later=epoch))
            self._lease = None
            self._set_epoch(None)

    def accept_handover(
        self, epoch: ids.Epoch, predecessor: ids.InstanceId
    ) -> None:
        """Takes over from a stopping placer.

        Args:
            epoch: Epoch of the new tenure.
            predecessor: The stopping placer, whose key is replaced.
        """
        if self._may_campaign and epoch > (self.epoch or 0):
            self._predecessor = predecessor
            self._set_epoch(epoch)
            self._key_changed.set()

    async def wait_until_ended(self, timeout_s: float) -> bool:
        """Waits until this instance does not hold the tenure.

        Returns:
            Whether the tenure has ended.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._has_no_tenure.wait()
        return self.epoch is None

    async def step_down(self) -> None:
        """Gives up the tenure temporarily, after the majority was lost."""
        self._campaign_after_s = clock.now_s() + STEP_DOWN_BACKOFF_S
        await self._give_up()

    async def resign(self) -> None:
        """Gives up the tenure permanently; another instance takes over."""
        self._may_campaign = False
        await self._give_up()

    async def _give_up(self) -> None:
        lease, self._lease = self._lease, None
        self._set_epoch(None)
        if lease is None:
            return
        try:
            await self._client.revoke_lease(lease)
        except kv.KvError as error:
            logs.log(log_events.TenureNotReturned(reason=str(error)))

    def _handle_changes(self, changes: tuple[kv.Change, ...]) -> None:
        if not self._has_read_store or any(
            change.key == self._key for change in changes
        ):
            self._has_read_store = True
            self._key_changed.set()

    async def _wait_for_change(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(POLL_PERIOD_S):
                await self._key_changed.wait()
        self._key_changed.clear()

    def _can_campaign(self) -> bool:
        return self._may_campaign and clock.now_s() >= self._campaign_after_s

    def _take_over_in_outage(self) -> None:
        """Begins a tenure without a lease if store and placer are both lost.

        If several instances begin, the one with the best rank has the highest
        epoch. A placer that does not reach a majority steps down. An instance
        that does not know its own entry yet has no rank and may lack those of
        others: it would place for itself only, with an epoch that is not its
        own.
        """
        state = self._read_takeover_state()
        if self.epoch is not None or not self._can_campaign():
            return
        if not state.is_store_unreachable or state.disconnected_s is None:
            return
        members = self._read_members()
        if self._instance not in members:
            return
        rank = min(
            store_followers.rank_instance(self._instance, members),
            CAMPAIGN_RANKS,
        )
        if state.disconnected_s < OUTAGE_WAIT_S + rank * OUTAGE_STEP_S:
            return
        if state.last_epoch % EPOCH_STEP < EPOCH_STEP / 2:
            self._set_epoch(
                ids.Epoch(state.last_epoch + 2 + CAMPAIGN_RANKS - rank)
            )

    def _is_vacant(self) -> bool:
        """Returns whether the key is missing or stale.

        After a restore of the store, the placer itself takes its tenure anew
        at once. The key may have come back with the copy, without its lease,
        or be gone.
        """
        entry = self._mirror.get(self._key)
        if entry is None:
            return True
        if self.epoch is not None:
            return (
                self._mirror.is_carried(self._key)
                or self._is_stale(entry)
                or self._is_handed_over(entry)
            )
        return self._is_left_behind(entry) or self._is_stale(entry)

    def _is_handed_over(self, entry: kv.Entry) -> bool:
        """Returns whether the key is still that of the placer's predecessor.

        It does not renew its lease any longer. Without a lease of its own, the
        placer would lose the tenure to whoever campaigns first after that.
        """
        owner = entry.value.split(b" ")[0]
        return (
            self._predecessor is not None
            and owner == self._predecessor.encode()
        )

    def _is_left_behind(self, entry: kv.Entry) -> bool:
        """Returns whether an earlier process of this instance has the key.

        It has ended, so nobody renews the lease, but the key stays until the
        lease expires.
        """
        return (
            entry.value.split(b" ")[0] == self._instance.encode()
            and entry.value != self._value
        )

    def _is_stale(self, entry: kv.Entry) -> bool:
        """Returns whether the key was restored and nobody renews its lease."""
        if not self._mirror.is_restored(self._key):
            return False
        if self._mirror.is_carried(self._key):
            return False
        if entry.value.split(b" ")[0] == self._instance.encode():
            return True
        disconnected_s = self._read_takeover_state().disconnected_s
        return disconnected_s is not None and disconnected_s > 2 * self._ttl_s

    async def _campaign(self) -> None:
        await self._wait_for_incumbent()
        await asyncio.sleep(self._calculate_campaign_delay_s())
        if (
            not self._is_vacant()
            or not self._may_campaign
            or not self._mirror.revision
        ):
            await asyncio.sleep(POLL_PERIOD_S)
            return
        stale = self._mirror.get(self._key)
        condition: kv.Condition = kv.KeyAbsent(self._key)
        if stale is not None and not self._mirror.is_carried(self._key):
            condition = kv.KeyUnchanged(self._key, stale.mod_revision)
        lease = await self._client.grant_lease(self._ttl_s, kv.Purpose.LEASE)
        value = f"{self._instance} {secrets.token_hex(8)}".encode()
        self._value = value
        try:
            result = await self._client.commit(
                (condition,),
                (kv.Put(self._key, value, lease),),
                kv.Purpose.LEASE,
            )
        except kv.UnknownResultError:
            snapshot = await self._client.read(self._key, kv.Purpose.LEASE)
            is_ours = snapshot.entries and snapshot.entries[0].value == value
            if not is_ours:
                return
            result = kv.Committed(
                snapshot.entries[0].mod_revision, snapshot.era
            )
        if not isinstance(result, kv.Committed):
            # Another instance has changed the key; the mirror shows it soon.
            await self._wait_for_change()
        elif self._may_campaign:
            self._lease = lease
            self._predecessor = None
            # A placer that lost only its lease keeps its epoch and sessions.
            if self.epoch is None:
                self._set_epoch(self._calculate_epoch(result.position))

    async def _wait_for_incumbent(self) -> None:
        """Leaves a vacant key to the placer for a while, if there is one."""
        until_s = clock.now_s() + INCUMBENT_WAIT_S
        while (
            self.epoch is None
            and self._read_takeover_state().disconnected_s is None
            and self._is_vacant()
            and clock.now_s() < until_s
        ):
            await self._wait_for_change()

    def _calculate_epoch(self, taken_at: kv.Position) -> ids.Epoch:
        """Returns an epoch above those of all tenures that began before.

        The last epoch seen counts too, in case the store names no era.
        """
        number = taken_at.era * ERA_STRIDE + taken_at.revision
        last_epoch = self._read_takeover_state().last_epoch
        return ids.Epoch(max(number, last_epoch // EPOCH_STEP + 1) * EPOCH_STEP)

    def _calculate_campaign_delay_s(self) -> float:
        entry = self._mirror.get(self._key)
        if self.epoch is not None or (
            entry is not None and self._is_left_behind(entry)
        ):
            return 0.0
        members = self._read_members()
        if self._instance not in members:
            # The size of a fleet that starts for the first time is unknown.
            return random.uniform(0, CAMPAIGN_SPREAD_S)
        rank = store_followers.rank_instance(self._instance, members)
        if rank < CAMPAIGN_RANKS:
            return rank * CAMPAIGN_STEP_S
        return CAMPAIGN_RANKS * CAMPAIGN_STEP_S + random.uniform(
            0, CAMPAIGN_SPREAD_S
        )

    async def _renew(self) -> None:
        assert self._lease is not None
        await self._client.keep_alive(self._lease)
        await asyncio.sleep(RENEW_PERIOD_S)

    def _set_epoch(self, epoch: ids.Epoch | None) -> None:
        if epoch == self.epoch:
            return
        previous, self.epoch = self.epoch, epoch
        if epoch is None:
            self._has_no_tenure.set()
        else:
            self._has_no_tenure.clear()
        if epoch is not None:
            logs.log(log_events.TenureTaken(epoch=epoch))
        elif previous is not None:
            logs.log(log_events.TenureEnded(epoch=previous))
        if self._on_change is not None:
            self._on_change(epoch)
