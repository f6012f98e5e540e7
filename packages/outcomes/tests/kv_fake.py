"""Key-value service in memory with lost answers, late effects and outages."""

import asyncio
import random

from poplarwick_platform import kv


class KvFake:
    """The stored keys, shared by all clients.

    Attributes:
        is_down: Whether calls are refused without effect.
        writes: Number of transactions received.
        largest_value: Size of the largest value written.
        most_operations: Largest number of operations in a transaction.
    """

    def __init__(self):
        self.is_down = False
        self.writes = 0
        self.largest_value = 0
        self.most_operations = 0
        self.entries = {}
        self.revision = 0

    def find(self, key, is_prefix):
        return tuple(
            entry
            for name, entry in sorted(self.entries.items())
            if name == key or (is_prefix and name.startswith(key))
        )

    def apply(self, conditions, operations):
        self.writes += 1
        self.most_operations = max(self.most_operations, len(operations))
        if not all(self._holds(condition) for condition in conditions):
            current = tuple(
                entry
                for condition in conditions
                for entry in self.find(condition.key, False)
            )
            return kv.Conflict(self.revision, current)
        self.revision += 1
        for operation in operations:
            self._change(operation)
        return kv.Committed(self.revision)

    def _holds(self, condition):
        entry = self.entries.get(condition.key)
        match condition:
            case kv.KeyAbsent():
                return entry is None
            case kv.KeyUnchanged(_, revision):
                return entry is not None and entry.mod_revision == revision

    def _change(self, operation):
        match operation:
            case kv.Put(key, value):
                assert len(value) <= kv.MAX_VALUE_BYTES
                self.largest_value = max(self.largest_value, len(value))
                old = self.entries.get(key)
                created = old.create_revision if old else self.revision
                self.entries[key] = kv.Entry(key, value, created, self.revision)
            case kv.Delete(key):
                self.entries.pop(key, None)


class Faults:
    """Odds of what goes wrong in one call.

    Attributes:
        lost_before: The call is lost and never takes effect.
        lost_after: The call takes effect and its answer is lost.
        late: The call's answer is lost and it takes effect later.
        refused: The call is refused without effect.
        longest_late_s: Longest delay of a late effect.
    """

    def __init__(
        self,
        lost_before=0.0,
        lost_after=0.0,
        late=0.0,
        refused=0.0,
        longest_late_s=3.0,
    ):
        self.lost_before = lost_before
        self.lost_after = lost_after
        self.late = late
        self.refused = refused
        self.longest_late_s = longest_late_s


class KvFakeClient:
    """Client of one instance; `awake` holds its calls back while unset."""

    def __init__(self, service, seed=0, faults=None):
        self.service = service
        self.faults = faults or Faults()
        self.awake = asyncio.Event()
        self.awake.set()
        self.calls = 0
        self._random = random.Random(seed)
        self._late = set()

    async def read(self, key, purpose, *, is_prefix=False):
        self.calls += 1
        await self._travel()
        entries = self.service.find(key, is_prefix)
        revision = self.service.revision
        await self._travel()
        return kv.Snapshot(entries, revision)

    async def commit(self, conditions, operations, purpose):
        self.calls += 1
        await self._travel()
        if self._happens(self.faults.refused):
            raise kv.UnavailableError("refused")
        if self._happens(self.faults.lost_before):
            raise kv.UnknownResultError("lost before")
        if self._happens(self.faults.late):
            self._apply_late(conditions, operations)
            raise kv.UnknownResultError("late")
        result = self.service.apply(conditions, operations)
        if self._happens(self.faults.lost_after):
            raise kv.UnknownResultError("lost after")
        await asyncio.sleep(self._random.uniform(0.0005, 0.004))
        return result

    def _apply_late(self, conditions, operations):
        delay_s = self._random.uniform(0, self.faults.longest_late_s)

        async def apply():
            await asyncio.sleep(delay_s)
            self.service.apply(conditions, operations)

        task = asyncio.create_task(apply())
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    async def _travel(self):
        await asyncio.sleep(self._random.uniform(0.0005, 0.004))
        await self.awake.wait()
        if self.service.is_down:
            raise kv.UnavailableError("down")

    def _happens(self, odds):
        return self._random.random() < odds
