"""Requests that cannot be forwarded as they are get a clear error."""

from __future__ import annotations

import asyncio

import platform_cluster
import pytest
import raw_requests


@pytest.mark.parametrize(
    "line",
    [
        b"Request-Id: r\xff\xfe",
        b"Request-Id: r\xed\xa0\x80",
        b"Request-Id: r1\r\nX-Other: \xff",
        b"Request-Id: r1\r\nPrompt-Prefix: \xff:1,ab:49",
    ],
)
# Guards against requests that run with another id or prompt than sent.
def test_request_whose_headers_cannot_be_forwarded_is_rejected(tmp_path, line):
    async def scenario():
        async with platform_cluster.run_cluster(tmp_path) as cluster:
            answer = await raw_requests.send_raw(
                cluster, line, b"Token-Counts: 50,10"
            )
            assert answer.startswith(b"HTTP/1.1 400")
            assert not any(r.arrivals for r in cluster.replicas)
            whole = await raw_requests.send_raw(cluster, *raw_requests.SOUND)
            assert whole.startswith(b"HTTP/1.1 200")

    asyncio.run(scenario())


@pytest.mark.parametrize("path", ["/label/\udcff", "/label/%ff", "/label/\x01"])
def test_path_that_is_no_text_is_forwarded_as_it_is_or_rejected(tmp_path, path):
    async def scenario():
        async with platform_cluster.run_cluster(tmp_path) as cluster:
            target = path.encode(errors="surrogateescape")
            answer = await raw_requests.send_raw(
                cluster, *raw_requests.SOUND, path=target
            )
            status = answer.split(b" ")[1]
            assert status in (b"200", b"400")
            for replica in cluster.replicas:
                for execution in replica.executions:
                    assert execution.target == path

    asyncio.run(scenario())
