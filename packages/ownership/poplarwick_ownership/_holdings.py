"""All tenures of one instance and what is remembered of ended ones."""

from __future__ import annotations

import asyncio
import functools
import random
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator

from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_ownership import _claims
from poplarwick_ownership import _electorate
from poplarwick_ownership import _holding
from poplarwick_ownership import _view
from poplarwick_ownership import tenure
from poplarwick_platform import kv

RELEASE_TIMEOUT_S = 5.0
RELEASE_RETRY_S = 0.5


class Holdings:
    """Begins, ends and releases the tenures of one instance.

    Args:
        listener: Learns about beginning and end of tenures.
        writer: Writes releases.
        announcer: Tells others about claims after unplanned ends.
        may_act: Returns whether tenures that hang on a lease are valid now.
        read_clock: Returns monotonic seconds.
        notify: Called when a tenure has ended.
    """

    def __init__(
        self,
        listener: tenure.TenureListener,
        writer: _claims.ClaimWriter,
        announcer: _electorate.Announcer,
        may_act: Callable[[kv.LeaseId], bool],
        read_clock: Callable[[], float],
        notify: Callable[[], None],
    ) -> None:
        self._listener = listener
        self._writer = writer
        self._announcer = announcer
        self._may_act = may_act
        self._read_clock = read_clock
        self._notify = notify
        self._current: dict[tenure.ResourceKey, _holding.Holding] = {}
        self._began_s: dict[tenure.ResourceKey, float] = {}
        self._ended: dict[tenure.ResourceKey, ids.Epoch] = {}
        self._served: dict[tenure.ResourceKey, ids.Epoch] = {}
        self._releasing: set[tenure.ResourceKey] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def __iter__(self) -> Iterator[_holding.Holding]:
        return iter(tuple(self._current.values()))

    def __len__(self) -> int:
        return len(self._current)

    def find(self, resource: tenure.Resource) -> _holding.Holding | None:
        """Returns the tenure of a resource, or None."""
        return self._current.get(resource.key)

    def is_releasing(self, resource: tenure.Resource) -> bool:
        """Whether a resource is being handed over."""
        return resource.key in self._releasing

    def has_ended(self, resource: tenure.Resource, epoch: int) -> bool:
        """Whether the tenure with this epoch was here and has ended."""
        return epoch <= self._ended.get(resource.key, 0)

    def has_served(self, resource: tenure.Resource, epoch: int) -> bool:
        """Whether the tenure with this epoch acted here and has ended."""
        return epoch <= self._served.get(resource.key, 0)

    def read_age_s(self, resource: tenure.Resource) -> float:
        """Returns the time since the last claim of a resource."""
        return self._read_clock() - self._began_s.get(resource.key, 0.0)

    def begin(
        self, resource: tenure.Resource, known: _view.KnownOwner, wait_s: float
    ) -> None:
        """Begins a tenure that was claimed.

        Args:
            resource: The resource.
            known: Its record, which names this instance.
            wait_s: Time until the earlier tenure has surely ended.
        """
        holding = _holding.Holding(
            resource,
            ids.Epoch(known.revision),
            self._listener,
            functools.partial(self._may_act, known.record.lease),
        )
        self._current[resource.key] = holding
        self._began_s[resource.key] = self._read_clock()
        is_heard = known.record.follows_planned_end
        self._start(self._live(holding, wait_s, is_heard))

    def stop_all(self) -> None:
        """Ends all tenures at once."""
        for holding in self:
            holding.stop()

    def start_hand_over(self, leaving: list[_holding.Holding]) -> None:
        """Hands tenures over in the background."""
        self._start(self.hand_over(leaving))

    async def hand_over(self, leaving: list[_holding.Holding]) -> None:
        """Ends tenures in a planned way and records that."""
        resources = {holding.tenure.resource.key for holding in leaving}
        self._releasing |= resources
        try:
            for holding in leaving:
                holding.request_hand_over()
            await asyncio.gather(*(holding.ended.wait() for holding in leaving))
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                await self._release([h for h in leaving if h.has_served])
        except TimeoutError:
            logs.log_event("release_failed", resources=len(resources))
        finally:
            self._releasing -= resources

    async def close(self) -> None:
        """Waits until all tenures have ended."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _live(
        self, holding: _holding.Holding, wait_s: float, is_heard: bool
    ) -> None:
        key, epoch = holding.tenure.resource.key, holding.tenure.epoch
        try:
            if not is_heard:
                heard_s = await self._announcer.ensure_heard(holding)
                wait_s = max(wait_s, heard_s)
            await holding.run(wait_s)
        finally:
            if holding.has_served:
                self._served[key] = epoch
            self._ended[key] = max(self._ended.get(key, ids.Epoch(0)), epoch)
            if self._current.get(key) is holding:
                del self._current[key]
            self._notify()

    async def _release(self, ended: list[_holding.Holding]) -> None:
        epochs = [(h.tenure.resource, h.tenure.epoch) for h in ended]
        while True:
            try:
                await self._writer.release(epochs)
                return
            except kv.KvError as error:
                logs.log_event("release_delayed", reason=error)
                await asyncio.sleep(RELEASE_RETRY_S * random.uniform(0.5, 1.5))

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logs.log_event("tenure_failed", "ERROR", reason=task.exception())
