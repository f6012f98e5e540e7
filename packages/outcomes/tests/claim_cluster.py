"""Simulated owners, entries and callers of one shard, with seeded faults."""

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
    """Owner of the shard during one tenure.

    It can remain valid in its own view after the tenure was superseded.
    """

    def __init__(self, cluster, epoch):
        self.epoch = epoch
        self.is_valid = True
        self.kv_client = KvFakeClient(
            cluster.service, cluster.rng.random(), cluster.kv_faults
        )
        resource = tenures.Resource(
            tenures.ResourceKind.SHARD, "shard-00", ids.RegionId("r")
        )
        tenure = tenures.Tenure(resource, epoch, lambda: self.is_valid)
        self.journal = journals.Journal(self.kv_client, "test", 0, epoch)
        self.shard = shards.Shard(
            self.journal, tenure, cluster.timing, cluster.wall_time_s
        )
        self.has_crashed = False

    async def crash(self):
        self.has_crashed = True
        await self.shard.__aexit__(None, None, None)


class FaultyPeer:
    """Peer whose requests and replies can be lost."""

    def __init__(self, cluster, owner):
        self._cluster = cluster
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
        await asyncio.sleep(self._cluster.rng.uniform(0, 0.002))
        if self._owner.has_crashed or self._cluster.should_inject(
            "rpc_request_lost"
        ):
            raise clients.PeerError("request lost")
        reply = await call()
        if self._owner.has_crashed or self._cluster.should_inject(
            "rpc_reply_lost"
        ):
            raise clients.PeerError("reply lost")
        return reply


class ClaimCluster:
    """Simulated cluster with one shard.

    Attributes:
        runs: Nonces of the attempts that ran each key.
        results: Key, nonce and reported result of each attempt.
        violations: Violations of the guarantees found during the simulation.
        outcomes: Number of attempts by reported result.
    """

    def __init__(self, seed, probabilities=None, kv_faults=None, timing=None):
        self.rng = random.Random(seed)
        self.probabilities = collections.defaultdict(float, probabilities or {})
        self.kv_faults = kv_faults or Faults()
        self.timing = timing or shards.Timing()
        self.service = KvFake()
        self.owners = []
        self.runs = collections.defaultdict(list)
        self.results = []
        self.violations = []
        self.outcomes = collections.Counter()

    def wall_time_s(self):
        return EPOCH_START_S + asyncio.get_running_loop().time()

    def should_inject(self, fault):
        return self.rng.random() < self.probabilities[fault]

    async def take_over(self):
        """Starts a new owner; the previous one may be unaware of it."""
        if self.owners:
            previous = self.owners[-1]
            match self.rng.choice(("crashes", "notified", "unaware", "paused")):
                case "crashes":
                    await previous.crash()
                case "notified":
                    previous.is_valid = False
                case "paused":
                    previous.kv_client.resumed.clear()
                    asyncio.get_running_loop().call_later(
                        self.rng.uniform(0, 5), previous.kv_client.resumed.set
                    )
        owner = Owner(self, ids.Epoch(len(self.owners) + 1))
        self.owners.append(owner)
        await owner.shard.__aenter__()

    def find_owner(self, shard):
        if not self.owners:
            return None
        owner = self.owners[-1]
        if self.should_inject("stale_view"):
            owner = self.rng.choice(self.owners)
        return FaultyPeer(self, owner)

    def make_key(self, number, age_s=0.0):
        now_ms = int((self.wall_time_s() - age_s) * 1000)
        return keys.ClaimKey(number.to_bytes(16), now_ms)

    async def attempt(self, client, key, content=b"c" * 16, timeout_s=4.0):
        """Runs one attempt of an entry and returns the reported result."""
        run_until_ms = int((self.wall_time_s() + RUN_TIMEOUT_S) * 1000)
        attempt = clients.make_attempt(key, content, run_until_ms)
        reply = await client.claim(attempt, timeout_s)
        result = await self._handle_reply(client, attempt, reply)
        self.results.append((key.digest, attempt.nonce, result))
        self.outcomes[result if isinstance(result, str) else "answer"] += 1
        return result

    async def _handle_reply(self, client, attempt, reply):
        match reply:
            case replies.Granted():
                return await self._run(client, attempt)
            case replies.Answered(answer):
                if answer.body != _make_body(attempt.key):
                    self.violations.append("wrong answer replayed")
                return answer
            case replies.Unavailable():
                return NOT_RUN
            case replies.Conflict():
                return "conflict"
            case replies.Expired():
                return "expired"
        return UNKNOWN

    async def _run(self, client, attempt):
        if self.should_inject("entry_crash_before_run"):
            return UNKNOWN
        if self.should_inject("no_room"):
            client.release(attempt)
            return NOT_RUN
        if self.should_inject("entry_paused"):
            await asyncio.sleep(self.rng.uniform(0, 10))
        self.runs[attempt.key].append(attempt.nonce)
        await asyncio.sleep(self.rng.uniform(0, 0.5))
        if self.should_inject("entry_crash_after_run"):
            return UNKNOWN
        if self.should_inject("run_result_lost"):
            client.resolve(attempt, None)
            return UNKNOWN
        answer = records.Answer(201, (), _make_body(attempt.key))
        client.resolve(attempt, answer)
        return answer

    def check(self):
        """Returns all violations of the guarantees found so far."""
        violations = list(self.violations)
        for key, nonces in self.runs.items():
            if len(nonces) > 1:
                violations.append(f"key {key.hex()} ran {len(nonces)} times")
        for key, nonce, result in self.results:
            if result == NOT_RUN and nonce in self.runs[key]:
                violations.append(
                    f"key {key.hex()} ran although not-run was reported"
                )
        return violations

    async def stop(self):
        for owner in self.owners:
            if not owner.has_crashed:
                await owner.crash()


async def run_scenario(
    seed, probabilities, kv_faults, *, callers, takeovers, outages
):
    """Runs callers that retry under faults, then once more without faults."""
    cluster = ClaimCluster(seed, probabilities, kv_faults)
    await cluster.take_over()
    async with clients.ClaimClient(cluster.find_owner) as client:
        faults_task = asyncio.create_task(
            _inject_faults(cluster, takeovers, outages)
        )
        keys_used = [cluster.make_key(n) for n in range(callers)]
        await asyncio.gather(
            *(_call_until_answered(cluster, client, k) for k in keys_used)
        )
        await faults_task
        _remove_faults(cluster)
        await cluster.take_over()
        await asyncio.sleep(RUN_TIMEOUT_S + 1)
        final_results = [
            await cluster.attempt(client, key) for key in keys_used
        ]
    await cluster.stop()
    return cluster, final_results


async def _call_until_answered(cluster, client, key):
    await asyncio.sleep(cluster.rng.uniform(0, 10))
    for _ in range(12):
        result = await cluster.attempt(client, key)
        if not isinstance(result, str):
            return
        await asyncio.sleep(cluster.rng.uniform(0, 1))


async def _inject_faults(cluster, takeovers, outages):
    for _ in range(max(takeovers, outages)):
        await asyncio.sleep(cluster.rng.uniform(0, 3))
        if takeovers > 0:
            takeovers -= 1
            await cluster.take_over()
        if outages > 0:
            outages -= 1
            cluster.service.is_down = True
            await asyncio.sleep(cluster.rng.uniform(0, 4))
            cluster.service.is_down = False


def _remove_faults(cluster):
    cluster.probabilities = collections.defaultdict(float)
    for owner in cluster.owners:
        owner.kv_client.resumed.set()
    faults = cluster.kv_faults
    faults.request_lost = faults.reply_lost = faults.delayed = (
        faults.refused
    ) = 0


def _make_body(key):
    return b"answer to " + key
