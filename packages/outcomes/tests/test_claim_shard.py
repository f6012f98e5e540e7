"""Tests of one shard of claims, its gRPC service and the claim client."""

import asyncio
import contextlib

import claim_cluster
import pytest
import virtual_loop
from grpclib import testing
from kv_fake import Faults
from kv_fake import KvFake
from kv_fake import KvFakeClient

from poplarwick_core import ids
from poplarwick_outcomes import verdicts
from poplarwick_outcomes.claims import answers
from poplarwick_outcomes.claims import client as clients
from poplarwick_outcomes.claims import keys
from poplarwick_outcomes.claims import records
from poplarwick_outcomes.claims import remote
from poplarwick_outcomes.claims import replies
from poplarwick_outcomes.claims import service as services
from poplarwick_outcomes.claims import shard as shards
from poplarwick_ownership import tenure as tenures

CONTENT = b"c" * 16
ANSWER = records.Answer(201, (("Content-Type", "text/plain"),), b"made")
ORGANISATION = ids.OrganisationId("soaps")


@contextlib.asynccontextmanager
async def open_cluster(faults=None):
    cluster = claim_cluster.ClaimCluster(1, kv_faults=faults)
    await cluster.take_over()
    await asyncio.sleep(0.1)
    try:
        yield cluster, cluster.owners[-1].shard
    finally:
        await cluster.stop()


def make_attempt(cluster, number=1, content=CONTENT, age_s=0.0):
    key = cluster.make_key(number, age_s)
    run_until_ms = int((cluster.wall_time_s() + 10) * 1000)
    return clients.make_attempt(key, content, run_until_ms)


def test_retry_during_run_gets_same_answer():
    async def main():
        async with open_cluster() as (cluster, shard):
            first = make_attempt(cluster)
            assert await shard.claim(first, 1) == replies.Granted()
            retry = asyncio.create_task(shard.claim(make_attempt(cluster), 8))
            await asyncio.sleep(1)
            assert not retry.done()
            stored = await shard.resolve(first, ANSWER)
            assert stored is replies.ChangeReply.STORED
            assert await retry == replies.Answered(ANSWER)

    virtual_loop.run(main())


def test_next_owner_replays_answer():
    async def main():
        async with open_cluster() as (cluster, shard):
            first = make_attempt(cluster)
            await shard.claim(first, 1)
            await shard.resolve(first, ANSWER)
            await cluster.take_over()
            await asyncio.sleep(0.1)
            reply = await cluster.owners[-1].shard.claim(
                make_attempt(cluster), 1
            )
            assert reply == replies.Answered(ANSWER)

    virtual_loop.run(main())


def test_claim_without_result_is_lost_after_run_deadline():
    async def main():
        async with open_cluster() as (cluster, shard):
            await shard.claim(make_attempt(cluster), 1)
            while_running = await shard.claim(make_attempt(cluster), 1)
            assert while_running == replies.Running()
            after_deadline = await shard.claim(make_attempt(cluster), 30)
            assert after_deadline == replies.Lost()

    virtual_loop.run(main())


def test_large_answer_is_cached_only_by_its_owner():
    async def main():
        async with open_cluster() as (cluster, shard):
            first = make_attempt(cluster)
            await shard.claim(first, 1)
            body = b"x" * (answers.MAX_STORED_BYTES + 1)
            large = records.Answer(200, (), body)
            await shard.resolve(first, large)
            again = await shard.claim(make_attempt(cluster), 1)
            assert again == replies.Answered(large)
            await cluster.take_over()
            await asyncio.sleep(0.1)
            reply = await cluster.owners[-1].shard.claim(
                make_attempt(cluster), 1
            )
            assert reply == replies.AnswerDropped(200)

    virtual_loop.run(main())


def test_same_key_with_different_content_conflicts():
    async def main():
        async with open_cluster() as (cluster, shard):
            await shard.claim(make_attempt(cluster), 1)
            other = make_attempt(cluster, content=b"d" * 16)
            assert await shard.claim(other, 1) == replies.Conflict()

    virtual_loop.run(main())


def test_released_claim_can_be_granted_again():
    async def main():
        async with open_cluster() as (cluster, shard):
            first = make_attempt(cluster)
            await shard.claim(first, 1)
            retry = asyncio.create_task(shard.claim(make_attempt(cluster), 5))
            await shard.release(first)
            assert await retry == replies.Granted()

    virtual_loop.run(main())


def test_expired_key_is_refused_even_after_takeover():
    async def main():
        async with open_cluster() as (cluster, shard):
            first = make_attempt(cluster)
            await shard.claim(first, 1)
            await shard.resolve(first, ANSWER)
            await asyncio.sleep(shards.RETENTION_S + 2 * 300)
            await shard.claim(make_attempt(cluster, 2), 1)
            expired = claim_cluster.clients.make_attempt(
                keys.ClaimKey(first.key, first.key_time_ms), CONTENT, 0
            )
            assert await shard.claim(expired, 1) == replies.Expired()
            # The clock of the next owner is a day behind.
            cluster.wall_time_s = lambda: claim_cluster.EPOCH_START_S - 86_400
            await cluster.take_over()
            await asyncio.sleep(0.1)
            next_shard = cluster.owners[-1].shard
            assert await next_shard.claim(expired, 1) == replies.Expired()

    virtual_loop.run(main())


def test_claims_fail_fast_during_outage_and_recover():
    async def main():
        async with open_cluster() as (cluster, shard):
            cluster.service.is_down = True
            first = await shard.claim(make_attempt(cluster), 5)
            assert isinstance(first, replies.Unavailable)
            start_s = asyncio.get_running_loop().time()
            for number in range(100):
                reply = await shard.claim(make_attempt(cluster, 2 + number), 5)
                assert isinstance(reply, replies.Unavailable)
            assert asyncio.get_running_loop().time() - start_s < 1
            cluster.service.is_down = False
            await asyncio.sleep(1)
            reply = await shard.claim(make_attempt(cluster), 5)
            assert reply == replies.Granted()

    virtual_loop.run(main())


@pytest.mark.parametrize("kind", ["request_lost", "reply_lost", "delayed"])
def test_key_can_be_claimed_again_after_in_doubt_write(kind):
    async def main():
        faults = Faults()
        async with open_cluster(faults) as (cluster, shard):
            setattr(faults, kind, 1.0)
            first = make_attempt(cluster)
            reply = await shard.claim(first, 5)
            if reply == replies.Granted():
                assert kind == "reply_lost"
                return
            assert isinstance(reply, replies.Unavailable)
            setattr(faults, kind, 0.0)
            await asyncio.sleep(6)
            reply = await shard.claim(make_attempt(cluster), 5)
            assert reply == replies.Granted()
            index = [r.nonce for r in shard._table.index.values()]
            assert first.nonce not in index

    virtual_loop.run(main())


def test_refused_attempt_is_not_granted_on_retry():
    async def main():
        faults = Faults(max_delay_s=0.01)
        async with open_cluster(faults) as (cluster, shard):
            faults.delayed = 1.0
            first = make_attempt(cluster)
            reply = await shard.claim(first, 5)
            assert isinstance(reply, replies.Unavailable)
            faults.delayed = 0.0
            cluster.service.is_down = True
            await asyncio.sleep(0.3)
            reply = await shard.claim(first, 5)
            assert isinstance(reply, replies.Unavailable)

    virtual_loop.run(main())


def test_attempt_is_not_granted_while_release_is_pending():
    async def main():
        async with open_cluster() as (cluster, shard):
            first = make_attempt(cluster)
            claiming = asyncio.create_task(shard.claim(first, 5))
            await asyncio.sleep(0.0001)
            # The commit is in progress: the claim is stored, then released.
            await shard.release(first)
            assert isinstance(await claiming, replies.Unavailable)
            await asyncio.sleep(0.05)
            assert first.key in shard._table.index
            reply = await shard.claim(first, 1)
            assert isinstance(reply, replies.Unavailable)
            reply = await shard.claim(make_attempt(cluster), 5)
            assert reply == replies.Granted()

    virtual_loop.run(main())


def test_write_rate_is_independent_of_call_rate():
    async def main():
        async with open_cluster() as (cluster, shard):

            async def call(number):
                await asyncio.sleep(cluster.rng.uniform(0, 20))
                attempt = make_attempt(cluster, number)
                if await shard.claim(attempt, 5) == replies.Granted():
                    await shard.resolve(attempt, ANSWER)

            before = cluster.service.writes
            await asyncio.gather(*(call(number) for number in range(4_000)))
            elapsed_s = asyncio.get_running_loop().time()
            writes = cluster.service.writes - before
            assert writes <= elapsed_s / shards.MIN_COMMIT_INTERVAL_S + 1
            states = [r.state for r in shard._table.index.values()]
            assert states == [records.State.ANSWERED] * 4_000
            all_shards = keys.SHARD_COUNT / shards.MIN_COMMIT_INTERVAL_S
            assert all_shards <= 50

    virtual_loop.run(main())


def test_remote_instance_can_claim():
    async def main():
        service = services.ClaimService(KvFakeClient(KvFake()), "test")
        tenure = tenures.Tenure(
            services.make_resources([ids.RegionId("r")])[0],
            ids.Epoch(1),
            lambda: True,
        )
        await service.begin_tenure(tenure)
        async with testing.ChannelFor([service]) as channel:
            peer = remote.RemotePeer(channel)
            async with clients.ClaimClient(lambda shard: peer) as client:
                key = keys.ClaimKey(bytes(16), 1 << 50)
                first = clients.make_attempt(key, CONTENT, 1 << 50)
                assert await client.claim(first, 5) == replies.Granted()
                client.resolve(first, ANSWER)
                again = clients.make_attempt(key, CONTENT, 1 << 50)
                reply = await client.claim(again, 5)
                assert reply == replies.Answered(ANSWER)
        await service.end_tenure(tenure, is_planned=True)
        assert await service.claim(first, 1) == replies.NotOwner()

    asyncio.run(main())


def test_owner_of_all_shards_limits_probes_during_outage():
    async def main():
        store = KvFake()
        client = KvFakeClient(store)
        service = services.ClaimService(client, "test")
        store.is_down = True
        resources = services.make_resources([ids.RegionId("r")])
        for resource in resources:
            tenure = tenures.Tenure(resource, ids.Epoch(1), lambda: True)
            await service.begin_tenure(tenure)
        await asyncio.sleep(60)
        assert client.calls <= 60
        store.is_down = False
        await asyncio.sleep(shards.MAX_BACKOFF_S * 1.25 + 1)
        key = keys.ClaimKey((15).to_bytes(8) + bytes(8), 1 << 50)
        attempt = clients.make_attempt(key, CONTENT, 1 << 50)
        assert await service.claim(attempt, 1) == replies.Granted()
        for resource in resources:
            tenure = tenures.Tenure(resource, ids.Epoch(1), lambda: True)
            await service.end_tenure(tenure, is_planned=False)

    virtual_loop.run(main())


def test_claim_without_owner_is_refused_within_timeout():
    async def main():
        async with clients.ClaimClient(lambda shard: None) as client:
            key = keys.ClaimKey(bytes(16), 1)
            attempt = clients.make_attempt(key, CONTENT, 1)
            reply = await client.claim(attempt, 30)
            assert isinstance(reply, replies.Unavailable)
            elapsed_s = asyncio.get_running_loop().time()
            assert elapsed_s <= clients.OWNER_TIMEOUT_S + 1

    virtual_loop.run(main())


NOW_MS = 1_800_000_000_000
GOOD_KEY = "01a3185c-5000-7abc-8def-0123456789ab"


def test_key_contains_time_and_is_scoped_to_organisation():
    key = keys.parse_key(GOOD_KEY, ORGANISATION, NOW_MS).unwrap()
    other = keys.parse_key(GOOD_KEY, ids.OrganisationId("roads"), NOW_MS)
    assert key.time_ms == int("01a3185c5000", 16)
    assert other.unwrap().digest != key.digest
    upper = keys.parse_key(f'"{GOOD_KEY.upper()}"', ORGANISATION, NOW_MS)
    assert upper.unwrap() == key


@pytest.mark.parametrize(
    "value",
    [
        None,
        "",
        "order-17",
        "6ba7b810-9dad-11d1-80b4-00c04fd430c8",
        "f" * 10_000,
        "ffffffff-ffff-7abc-8def-0123456789ab",
        GOOD_KEY + "0",
        GOOD_KEY.replace("-", ""),
    ],
)
def test_invalid_keys_are_refused(value):
    refused = keys.parse_key(value, ORGANISATION, NOW_MS).unwrap_err()
    assert refused.param == keys.HEADER
    verdict = verdicts.decide_outcome(
        refused, may_have_run=False, is_idempotent=False
    )
    assert verdict.status == 400
