"""In-memory key-value service with lost replies, delays and outages."""

import asyncio
import random

from poplarwick_platform import kv


class KvFake:
    """Key-value store shared by all clients.

    Attributes:
        is_down: Whether the service refuses all calls.
        writes: Number of transactions received.
        largest_value: Size of the largest value written, in bytes.
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
    """Probability of each fault in a commit.

    Attributes:
        request_lost: The request is lost and never takes effect.
        reply_lost: The request takes effect and its reply is lost.
        delayed: The reply is lost and the request takes effect later.
        refused: The service refuses the request.
        max_delay_s: Maximum delay of a delayed request.
    """

    def __init__(
        self,
        request_lost=0.0,
        reply_lost=0.0,
        delayed=0.0,
        refused=0.0,
        max_delay_s=3.0,
    ):
        self.request_lost = request_lost
        self.reply_lost = reply_lost
        self.delayed = delayed
        self.refused = refused
        self.max_delay_s = max_delay_s


class KvFakeClient:
    """Client of one instance; clear `resumed` to pause its calls."""

    def __init__(self, service, seed=0, faults=None):
        self.service = service
        self.faults = faults or Faults()
        self.resumed = asyncio.Event()
        self.resumed.set()
        self.calls = 0
        self._rng = random.Random(seed)
        self._delayed_tasks = set()

    async def read(self, key, purpose, *, is_prefix=False):
        self.calls += 1
        await self._delay()
        entries = self.service.find(key, is_prefix)
        revision = self.service.revision
        await self._delay()
        return kv.Snapshot(entries, revision)

    async def commit(self, conditions, operations, purpose):
        self.calls += 1
        await self._delay()
        if self._should_inject(self.faults.refused):
            raise kv.UnavailableError("refused")
        if self._should_inject(self.faults.request_lost):
            raise kv.UnknownResultError("request lost")
        if self._should_inject(self.faults.delayed):
            self._apply_delayed(conditions, operations)
            raise kv.UnknownResultError("request delayed")
        result = self.service.apply(conditions, operations)
        if self._should_inject(self.faults.reply_lost):
            raise kv.UnknownResultError("reply lost")
        await asyncio.sleep(self._rng.uniform(0.0005, 0.004))
        return result

    def _apply_delayed(self, conditions, operations):
        delay_s = self._rng.uniform(0, self.faults.max_delay_s)

        async def apply():
            await asyncio.sleep(delay_s)
            self.service.apply(conditions, operations)

        task = asyncio.create_task(apply())
        self._delayed_tasks.add(task)
        task.add_done_callback(self._delayed_tasks.discard)

    async def _delay(self):
        await asyncio.sleep(self._rng.uniform(0.0005, 0.004))
        await self.resumed.wait()
        if self.service.is_down:
            raise kv.UnavailableError("service is down")

    def _should_inject(self, probability):
        return self._rng.random() < probability
