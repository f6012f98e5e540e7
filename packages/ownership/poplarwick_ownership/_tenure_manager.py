"""Management of all tenures of one instance."""

from __future__ import annotations

import asyncio
import functools
import random
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator

from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_ownership import _claims
from poplarwick_ownership import _held_tenure
from poplarwick_ownership import _owner_view
from poplarwick_ownership import _quorum
from poplarwick_ownership import tenure
from poplarwick_platform import kv

RELEASE_TIMEOUT_S = 5.0
RELEASE_RETRY_S = 0.5


class TenureManager:
    """Starts, ends and releases the tenures of one instance.

    Args:
        listener: Notified of the start and end of tenures.
        writer: Writes releases.
        announcer: Announces claims that follow unplanned ends.
        is_lease_valid: Returns whether tenures under a lease are valid now.
        read_clock: Returns monotonic seconds.
        notify: Called when a tenure has ended.
    """

    def __init__(
        self,
        listener: tenure.TenureListener,
        writer: _claims.ClaimWriter,
        announcer: _quorum.ClaimAnnouncer,
        is_lease_valid: Callable[[kv.LeaseId], bool],
        read_clock: Callable[[], float],
        notify: Callable[[], None],
    ) -> None:
        self._listener = listener
        self._writer = writer
        self._announcer = announcer
        self._is_lease_valid = is_lease_valid
        self._read_clock = read_clock
        self._notify = notify
        self._held_tenures: dict[
            tenure.ResourceKey, _held_tenure.HeldTenure
        ] = {}
        self._claimed_s: dict[tenure.ResourceKey, float] = {}
        self._ended_epochs: dict[tenure.ResourceKey, ids.Epoch] = {}
        self._served_epochs: dict[tenure.ResourceKey, ids.Epoch] = {}
        self._releasing: set[tenure.ResourceKey] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def __iter__(self) -> Iterator[_held_tenure.HeldTenure]:
        return iter(tuple(self._held_tenures.values()))

    def __len__(self) -> int:
        return len(self._held_tenures)

    def find(self, resource: tenure.Resource) -> _held_tenure.HeldTenure | None:
        """Returns the tenure of a resource, or None if it is not held."""
        return self._held_tenures.get(resource.key)

    def is_releasing(self, resource: tenure.Resource) -> bool:
        """Returns whether a resource is being handed over."""
        return resource.key in self._releasing

    def has_ended(self, resource: tenure.Resource, epoch: int) -> bool:
        """Returns whether a local tenure with this epoch has ended."""
        return epoch <= self._ended_epochs.get(resource.key, 0)

    def has_served(self, resource: tenure.Resource, epoch: int) -> bool:
        """Returns whether a local tenure was active and has ended."""
        return epoch <= self._served_epochs.get(resource.key, 0)

    def compute_age_s(self, resource: tenure.Resource) -> float:
        """Returns the seconds since the last claim of a resource."""
        return self._read_clock() - self._claimed_s.get(resource.key, 0.0)

    def begin(
        self,
        resource: tenure.Resource,
        stored: _owner_view.StoredOwner,
        wait_s: float,
    ) -> None:
        """Starts a tenure after a successful claim.

        Args:
            resource: The resource.
            stored: Its record, with this instance as holder.
            wait_s: Time in seconds after which the previous tenure is certain
                to have ended.
        """
        held_tenure = _held_tenure.HeldTenure(
            resource,
            ids.Epoch(stored.revision),
            self._listener,
            functools.partial(self._is_lease_valid, stored.record.lease),
        )
        self._held_tenures[resource.key] = held_tenure
        self._claimed_s[resource.key] = self._read_clock()
        skip_announcement = stored.record.follows_planned_end
        self._spawn(self._run_tenure(held_tenure, wait_s, skip_announcement))

    def stop_all(self) -> None:
        """Ends all tenures immediately."""
        for held_tenure in self:
            held_tenure.stop()

    def start_hand_over(
        self,
        outgoing: list[_held_tenure.HeldTenure],
        renew_lease: Callable[[], Awaitable[bool]],
    ) -> None:
        """Hands over tenures in the background if the service is available.

        During an outage no other instance could claim the resources.

        Args:
            outgoing: Tenures to hand over.
            renew_lease: Renews the lease and returns whether this succeeded.
        """
        self._spawn(self._hand_over_if_possible(outgoing, renew_lease))

    async def _hand_over_if_possible(
        self,
        outgoing: list[_held_tenure.HeldTenure],
        renew_lease: Callable[[], Awaitable[bool]],
    ) -> None:
        resources = {
            held_tenure.tenure.resource.key for held_tenure in outgoing
        }
        self._releasing |= resources
        try:
            if await renew_lease():
                await self.hand_over(outgoing)
        finally:
            self._releasing -= resources

    async def hand_over(self, outgoing: list[_held_tenure.HeldTenure]) -> None:
        """Ends tenures as planned and writes their release."""
        resources = {
            held_tenure.tenure.resource.key for held_tenure in outgoing
        }
        self._releasing |= resources
        try:
            for held_tenure in outgoing:
                held_tenure.request_hand_over()
            await asyncio.gather(
                *(held_tenure.ended.wait() for held_tenure in outgoing)
            )
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                await self._release([h for h in outgoing if h.has_served])
        except TimeoutError:
            logs.log_event("release_failed", resources=len(resources))
        finally:
            self._releasing -= resources

    async def close(self) -> None:
        """Waits until all tenures have ended."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run_tenure(
        self,
        held_tenure: _held_tenure.HeldTenure,
        wait_s: float,
        skip_announcement: bool,
    ) -> None:
        key, epoch = held_tenure.tenure.resource.key, held_tenure.tenure.epoch
        try:
            if not skip_announcement:
                announcement_wait_s = (
                    await self._announcer.wait_for_acknowledgement(held_tenure)
                )
                wait_s = max(wait_s, announcement_wait_s)
            await held_tenure.run(wait_s)
        finally:
            if held_tenure.has_served:
                self._served_epochs[key] = epoch
            self._ended_epochs[key] = max(
                self._ended_epochs.get(key, ids.Epoch(0)), epoch
            )
            if self._held_tenures.get(key) is held_tenure:
                del self._held_tenures[key]
            self._notify()

    async def _release(self, ended: list[_held_tenure.HeldTenure]) -> None:
        epochs = [(h.tenure.resource, h.tenure.epoch) for h in ended]
        while True:
            try:
                await self._writer.release(epochs)
                return
            except kv.KvError as error:
                logs.log_event("release_delayed", reason=error)
                await asyncio.sleep(RELEASE_RETRY_S * random.uniform(0.5, 1.5))

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_done)

    def _handle_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logs.log_event("tenure_failed", "ERROR", reason=task.exception())
