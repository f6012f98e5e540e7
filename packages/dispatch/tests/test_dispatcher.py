"""Tests of the dispatcher's grants and refusals."""

from __future__ import annotations

import asyncio

import dispatch_fakes as fakes
import pytest

from poplarwick_dispatch import dispatcher as dispatchers
from poplarwick_dispatch import pool
from poplarwick_peers.wire import grant_pb2


def test_grant_names_endpoint_stream_and_epoch():
    async def main():
        async with fakes.Testbed() as testbed:
            reply = await testbed.acquire()
            grant = reply.grant
            assert testbed.view.find_endpoint(grant.endpoint) is not None
            assert grant.epoch == 1
            assert grant.stream_id.endswith(".i2")
            assert grant.expires_s > 0
            assert reply.room[0].model == "m"

    fakes.run(main())


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"model": "other"}, grant_pb2.REFUSAL_NOT_OWNER),
        ({"prompt": 1_000_001}, grant_pb2.REFUSAL_TOO_LONG),
        ({"timeout_s": 1.0, "output": 100}, grant_pb2.REFUSAL_DEADLINE),
    ],
)
def test_refusal_reasons(changes, reason):
    async def main():
        async with fakes.Testbed() as testbed:
            reply = await testbed.acquire(**changes)
            assert reply.refusal.reason == reason
            assert reply.refusal.retry_after_s > 0

    fakes.run(main())


def test_queued_request_is_granted_after_report():
    async def main():
        view = fakes.make_view(endpoints=1, model=fakes.make_model(max_batch=1))
        async with fakes.Testbed(view) as testbed:
            first = (await testbed.acquire()).grant
            waiting = asyncio.create_task(testbed.acquire())
            await asyncio.sleep(1)
            assert not waiting.done()
            await testbed.report(first, grant_pb2.REPORT_COMPLETE)
            assert (await waiting).grant.queued_s == pytest.approx(1)

    fakes.run(main())


def test_request_is_queued_only_at_the_last_hop():
    async def main():
        view = fakes.make_view(endpoints=1, model=fakes.make_model(max_batch=1))
        async with fakes.Testbed(view) as testbed:
            await testbed.acquire(hops=0)
            reply = await testbed.acquire(hops=0)
            assert reply.refusal.reason == grant_pb2.REFUSAL_NO_ROOM
            assert reply.room[0].queue_s >= pool.FULL_QUEUE_S

    fakes.run(main())


def test_queued_request_is_refused_when_it_cannot_meet_its_deadline():
    async def main():
        view = fakes.make_view(endpoints=1, model=fakes.make_model(max_batch=1))
        async with fakes.Testbed(view) as testbed:
            await testbed.acquire()
            start_s = fakes.now_s()
            reply = await testbed.acquire(timeout_s=10.0)
            assert reply.refusal.reason == grant_pb2.REFUSAL_DEADLINE
            assert fakes.now_s() - start_s == pytest.approx(10 - 2.05)

    fakes.run(main())


def test_cancelled_wait_and_late_cancel_release_the_slot():
    async def main():
        view = fakes.make_view(endpoints=1, model=fakes.make_model(max_batch=1))
        async with fakes.Testbed(view) as testbed:
            first = (await testbed.acquire()).grant
            cancelled_early = asyncio.create_task(testbed.acquire())
            await asyncio.sleep(1)
            cancelled_early.cancel()
            cancelled_late = asyncio.create_task(testbed.acquire())
            await asyncio.sleep(1)
            await testbed.report(first, grant_pb2.REPORT_COMPLETE)
            cancelled_late.cancel()  # Granted, but its task has not run yet.
            await asyncio.gather(
                cancelled_early, cancelled_late, return_exceptions=True
            )
            reply = await testbed.acquire()
            assert reply.HasField("grant")

    fakes.run(main())


def test_out_of_service_refuses_queued_and_keeps_running_requests():
    async def main():
        model = fakes.make_model(max_batch=1)
        async with fakes.Testbed(
            fakes.make_view(endpoints=1, model=model)
        ) as testbed:
            first = (await testbed.acquire()).grant
            waiting = asyncio.create_task(testbed.acquire())
            await asyncio.sleep(0.1)
            testbed.dispatcher.apply_view(
                fakes.make_view(2, endpoints=1, model=model, out=("d1",))
            )
            refusal = (await waiting).refusal
            assert refusal.reason == grant_pb2.REFUSAL_NO_ROOM
            reply = await testbed.acquire()
            assert reply.refusal.reason == grant_pb2.REFUSAL_NO_ROOM
            done = await testbed.report(first, grant_pb2.REPORT_COMPLETE)
            assert not done.unknown_grants
            testbed.dispatcher.apply_view(fakes.make_view(1, model=model))
            reply = await testbed.acquire()
            assert reply.refusal.reason == grant_pb2.REFUSAL_NO_ROOM

    fakes.run(main())


def test_invalid_tenure_issues_no_grant():
    async def main():
        view = fakes.make_view(endpoints=0)
        async with fakes.Testbed(view) as testbed:
            valid = [True]
            testbed.dispatcher.apply_view(fakes.make_view(2, endpoints=1))
            testbed.engines["127.0.0.1:9000"] = fakes.FakeEngine()
            tenure = fakes.make_tenure("e0", is_valid=lambda: valid[0])
            await testbed.dispatcher.begin_tenure(tenure)
            await asyncio.sleep(fakes.TAKE_OVER_S)
            assert (await testbed.acquire()).HasField("grant")
            valid[0] = False
            reply = await testbed.acquire(timeout_s=4.0)
            assert reply.HasField("refusal")
            await testbed.dispatcher.end_tenure(tenure, is_planned=False)
            reply = await testbed.acquire()
            assert reply.refusal.reason == grant_pb2.REFUSAL_NOT_OWNER

    fakes.run(main())


def test_drain_refuses_queued_and_new_requests():
    async def main():
        model = fakes.make_model(max_batch=1)
        async with fakes.Testbed(
            fakes.make_view(endpoints=1, model=model)
        ) as testbed:
            await testbed.acquire()
            waiting = asyncio.create_task(testbed.acquire())
            await asyncio.sleep(0.1)
            testbed.dispatcher.drain()
            for reply in (await waiting, await testbed.acquire()):
                assert reply.refusal.reason == grant_pb2.REFUSAL_DRAINING

    fakes.run(main())


def test_unknown_grant_is_reported():
    async def main():
        async with fakes.Testbed() as testbed:
            grant = grant_pb2.Grant(grant_id="gr-none")
            reply = await testbed.dispatcher.report(
                fakes.make_report(grant, grant_pb2.REPORT_COMPLETE)
            )
            assert list(reply.unknown_grants) == ["gr-none"]

    fakes.run(main())


def test_service_call_is_limited_by_concurrency():
    async def main():
        async with fakes.Testbed() as testbed:
            replies = [
                await testbed.acquire(model="", service="s", prompt=0, output=0)
                for _ in range(32)
            ]
            assert all(r.grant.endpoint == "s0" for r in replies)
            task = asyncio.create_task(
                testbed.acquire(model="", service="s", timeout_s=2.0)
            )
            assert (await task).HasField("refusal")

    fakes.run(main())


def test_request_without_configuration_is_refused():
    async def main():
        subject = dispatchers.Dispatcher(
            fakes.SELF, make_control=lambda address: fakes.FakeEngine()
        )
        async with subject:
            reply = await subject.acquire(fakes.make_request())
            assert reply.refusal.reason == grant_pb2.REFUSAL_NOT_OWNER

    fakes.run(main())
