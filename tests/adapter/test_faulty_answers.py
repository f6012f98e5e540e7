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
