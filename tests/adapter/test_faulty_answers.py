"""Answers of faulty endpoints that must not be passed on as they are."""

from __future__ import annotations

import asyncio

import aiohttp
import platform_cluster
import pytest

from poplarwick_standins import platform_replica

Fault = platform_replica.Fault
COMPLETE_STREAM = b"".join(
    f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, 6)
)


async def call(cluster, path, tokens=None):
    """Returns the status, the body so far, and whether it is complete."""
    body = b""
    async with cluster.call(path, tokens=tokens) as response:
        try:
            async for chunk in response.content.iter_any():
                body += chunk
        except aiohttp.ClientPayloadError:
            return response.status, body, False
        return response.status, body, True


@pytest.mark.parametrize("path", ["/order/", "/stock/"])
# Guards against "not run" for a request that runs (REFUSED, TWICE).
def test_refusal_of_another_request_does_not_say_that_this_one_has_not_run(
    tmp_path, path
):
    async def scenario():
        async with platform_cluster.run_cluster(tmp_path, orders=2) as cluster:
            plan = [Fault.EARLIER_REFUSAL]
            for replica in cluster.replicas:
                replica.fault_plan = plan
            status, _, _ = await call(cluster, path)
            runs = [e for r in cluster.replicas for e in r.executions]
            if path == "/order/":
                assert (status, len(runs)) == (502, 1)
            else:
                assert (status, len(runs)) == (200, 2)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "answer",
    [
        Fault.ERROR,
        Fault.BARE_503,
        Fault.UNSIGNED,
        Fault.TEXT,
        Fault.EVENTS_WITHOUT_IDS,
        Fault.NOTHING,
        Fault.NOTHING_WITHOUT_TYPE,
        Fault.EARLIER_REFUSAL,
        Fault.OTHER_REQUEST,
        Fault.UNDELIMITED_EMPTY,
    ],
)
@pytest.mark.parametrize(
    "begins", [Fault.CUT_INSIDE_EVENT, Fault.CUT_BEFORE_END]
)
# Guards against errors inside a stream, and streams that only look complete.
def test_error_in_place_of_the_rest_of_a_stream_does_not_reach_the_caller(
    tmp_path, begins, answer
):
    async def scenario():
        async with platform_cluster.run_cluster(tmp_path) as cluster:
            plan = [begins, answer, answer, answer]
            for replica in cluster.replicas:
                replica.fault_plan = plan
            status, body, is_complete = await call(cluster, "/label/", 5_000)
            assert status == 200
            assert COMPLETE_STREAM.startswith(body)
            assert is_complete == (body == COMPLETE_STREAM)

    asyncio.run(scenario())


@pytest.mark.parametrize("answer", [Fault.TEXT, Fault.EVENTS_WITHOUT_IDS])
def test_text_in_place_of_a_stream_is_not_passed_on(tmp_path, answer):
    async def scenario():
        async with platform_cluster.run_cluster(tmp_path) as cluster:
            plan = [answer]
            for replica in cluster.replicas:
                replica.fault_plan = plan
            status, body, is_complete = await call(cluster, "/label/", 5_000)
            assert (status, body, is_complete) == (200, COMPLETE_STREAM, True)

    asyncio.run(scenario())
