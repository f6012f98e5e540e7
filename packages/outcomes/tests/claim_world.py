"""Owners, entries and callers of one shard, with faults drawn from a seed."""

import asyncio
import collections
import random

from kv_fake import Faults
from kv_fake import KvFake
from kv_fake import KvFakeClient

from poplarwick_core import ids
from poplarwick_outcomes.claims import client as clients
from poplarwick_outcomes.claims import journal as journals
from poplarwick_outcomes.claims import keys
from poplarwick_outcomes.claims import records
from poplarwick_outcomes.claims import replies
from poplarwick_outcomes.claims import shard as shards
from poplarwick_ownership import tenure as tenures

EPOCH_START_S = 1_000_000.0
RUN_TIMEOUT_S = 5.0
NOT_RUN = "not-run"
UNKNOWN = "unknown"


class Owner:
    """One tenure of the shard; it can lie about its validity."""

    def __init__(self, world, epoch):
        self.epoch = epoch
        self.is_valid = True
        self.kv_client = KvFakeClient(
            world.service, world.random.random(), world.kv_faults
        )
        resource = tenures.Resource(
            tenures.ResourceKind.SHARD, "shard-00", ids.RegionId("r")
        )
        tenure = tenures.Tenure(resource, epoch, lambda: self.is_valid)
        self.journal = journals.Journal(self.kv_client, "test", 0, epoch)
        self.shard = shards.Shard(
            self.journal, tenure, world.timing, world.wall_time_s
        )
        self.is_dead = False

    async def die(self):
        self.is_dead = True
        await self.shard.__aexit__(None, None, None)


class FaultyPeer:
    """Access to an owner whose requests and replies can be lost."""

    def __init__(self, world, owner):
        self._world = world
        self._owner = owner

    async def claim(self, attempt, timeout_s):
        return await self._call(
            lambda: self._owner.shard.claim(attempt, timeout_s)
        )

    async def resolve(self, attempt, answer):
        return await self._call(
            lambda: self._owner.shard.resolve(attempt, answer)
        )

    async def release(self, attempt):
        return await self._call(lambda: self._owner.shard.release(attempt))

    async def _call(self, call):
        await asyncio.sleep(self._world.random.uniform(0, 0.002))
        if self._owner.is_dead or self._world.happens("rpc_lost_before"):
            raise clients.PeerError("lost before")
        reply = await call()
        if self._owner.is_dead or self._world.happens("rpc_lost_after"):
            raise clients.PeerError("lost after")
        return reply


class World:
    """One shard and everything around it.

    Attributes:
        runs: Nonces of the attempts that ran each key.
        told: What each attempt's caller was told, by key and nonce.
        problems: Broken promises.
    """

    def __init__(self, seed, odds=None, kv_faults=None, timing=None):
        self.random = random.Random(seed)
        self.odds = collections.defaultdict(float, odds or {})
        self.kv_faults = kv_faults or Faults()
        self.timing = timing or shards.Timing()
        self.service = KvFake()
        self.owners = []
        self.runs = collections.defaultdict(list)
        self.told = []
        self.problems = []
        self.outcomes = collections.Counter()

    def wall_time_s(self):
        return EPOCH_START_S + asyncio.get_running_loop().time()

    def happens(self, fault):
        return self.random.random() < self.odds[fault]

    async def take_over(self):
        """Starts a new owner; the earlier one may live on unknowing."""
        if self.owners:
            old = self.owners[-1]
            match self.random.choice(("dies", "knows", "lies", "paused")):
                case "dies":
                    await old.die()
                case "knows":
                    old.is_valid = False
                case "paused":
                    old.kv_client.awake.clear()
                    asyncio.get_running_loop().call_later(
                        self.random.uniform(0, 5), old.kv_client.awake.set
                    )
        owner = Owner(self, ids.Epoch(len(self.owners) + 1))
        self.owners.append(owner)
        await owner.shard.__aenter__()

    def find_owner(self, shard):
        if not self.owners:
            return None
        owner = self.owners[-1]
        if self.happens("stale_view"):
            owner = self.random.choice(self.owners)
        return FaultyPeer(self, owner)

    def make_key(self, number, age_s=0.0):
        now_ms = int((self.wall_time_s() - age_s) * 1000)
        return keys.ClaimKey(number.to_bytes(16), now_ms)

    async def attempt(self, client, key, content=b"c" * 16, timeout_s=4.0):
        """Plays one attempt of an entry; returns what the caller is told."""
        until_ms = int((self.wall_time_s() + RUN_TIMEOUT_S) * 1000)
        attempt = clients.make_attempt(key, content, until_ms)
        reply = await client.claim(attempt, timeout_s)
        told = await self._act(client, attempt, reply)
        self.told.append((key.digest, attempt.nonce, told))
        self.outcomes[told if isinstance(told, str) else "answer"] += 1
        return told

    async def _act(self, client, attempt, reply):
        match reply:
            case replies.Granted():
                return await self._run(client, attempt)
            case replies.Answered(answer):
                if answer.body != _make_body(attempt.key):
                    self.problems.append("wrong answer replayed")
                return answer
            case replies.Unavailable():
                return NOT_RUN
            case replies.Conflict():
                return "conflict"
            case replies.Expired():
                return "expired"
        return UNKNOWN

    async def _run(self, client, attempt):
        if self.happens("entry_dies_before"):
            return UNKNOWN
        if self.happens("no_room"):
            client.release(attempt)
            return NOT_RUN
        if self.happens("entry_paused"):
            await asyncio.sleep(self.random.uniform(0, 10))
        self.runs[attempt.key].append(attempt.nonce)
        await asyncio.sleep(self.random.uniform(0, 0.5))
        if self.happens("entry_dies_after"):
            return UNKNOWN
        if self.happens("run_lost"):
            client.resolve(attempt, None)
            return UNKNOWN
        answer = records.Answer(201, (), _make_body(attempt.key))
        client.resolve(attempt, answer)
        return answer

    def check(self):
        """Returns the broken promises seen so far."""
        problems = list(self.problems)
        for key, nonces in self.runs.items():
            if len(nonces) > 1:
                problems.append(f"key {key.hex()} ran {len(nonces)} times")
        for key, nonce, told in self.told:
            if told == NOT_RUN and nonce in self.runs[key]:
                problems.append(f"false not run for {key.hex()}")
        return problems

    async def stop(self):
        for owner in self.owners:
            if not owner.is_dead:
                await owner.die()


async def play(seed, odds, kv_faults, *, callers, take_overs, outages):
    """Plays callers that retry until an answer, under faults, then heals."""
    world = World(seed, odds, kv_faults)
    await world.take_over()
    async with clients.ClaimClient(world.find_owner) as client:
        troubles = asyncio.create_task(_trouble(world, take_overs, outages))
        keys_used = [world.make_key(n) for n in range(callers)]
        await asyncio.gather(*(_call(world, client, k) for k in keys_used))
        await troubles
        _heal(world)
        await world.take_over()
        await asyncio.sleep(RUN_TIMEOUT_S + 1)
        last = [await world.attempt(client, key) for key in keys_used]
    await world.stop()
    return world, last


async def _call(world, client, key):
    await asyncio.sleep(world.random.uniform(0, 10))
    for _ in range(12):
        told = await world.attempt(client, key)
        if not isinstance(told, str):
            return
        await asyncio.sleep(world.random.uniform(0, 1))


async def _trouble(world, take_overs, outages):
    for _ in range(max(take_overs, outages)):
        await asyncio.sleep(world.random.uniform(0, 3))
        if take_overs > 0:
            take_overs -= 1
            await world.take_over()
        if outages > 0:
            outages -= 1
            world.service.is_down = True
            await asyncio.sleep(world.random.uniform(0, 4))
            world.service.is_down = False


def _heal(world):
    world.odds = collections.defaultdict(float)
    for owner in world.owners:
        owner.kv_client.awake.set()
    faults = world.kv_faults
    faults.lost_before = faults.lost_after = faults.late = faults.refused = 0


def _make_body(key):
    return b"answer to " + key
