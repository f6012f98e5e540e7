"""Requests through one instance, with faults of the replicas."""

from __future__ import annotations

import asyncio
import resource

import aiohttp
import platform_cluster
import pytest

from poplarwick_forwarding import caller_stream
from poplarwick_standins import platform_replica

Fault = platform_replica.Fault
COMPLETE_STREAM = b"".join(
    f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, 6)
)


def run_scenario(tmp_path, scenario, **options):
    async def run():
        async with platform_cluster.run_cluster(tmp_path, **options) as cluster:
            await scenario(cluster)

    asyncio.run(run())


def share_fault_plan(cluster, *faults):
    plan = list(faults)
    for replica in cluster.replicas:
        replica.fault_plan = plan


def test_stream_arrives_complete_with_signature(tmp_path):
    async def scenario(cluster):
        async with cluster.call(
            "/label/x?q=1", tokens=5_000, data=b"prompt"
        ) as response:
            assert response.status == 200
            assert response.headers["Response-Stamp"].startswith("s-i-")
            assert await response.read() == COMPLETE_STREAM
        (execution,) = [e for r in cluster.replicas for e in r.executions]
        assert execution.target == "/label/x?q=1"
        assert execution.body == b"prompt"
        assert execution.headers["Tenant"] == "one"
        assert "X-Api-Key" not in execution.headers
        assert 4_000 < int(execution.headers["Deadline-Ms"]) <= 5_000
        assert execution.headers["Host"] == platform_cluster.HOST

    run_scenario(tmp_path, scenario)


def test_hop_by_hop_and_forged_headers_are_not_forwarded(tmp_path):
    async def scenario(cluster):
        headers = {
            "Connection": "close, X-Hop",
            "X-Hop": "1",
            "X-Other": "2",
            "Tenant": "forged",
            "Expect-Instance": "forged",
            "Helpers": "forged",
        }
        async with cluster.call("/stock/", headers=headers) as response:
            assert response.status == 200
        sent = cluster.replicas[-1].executions[0].headers
        assert "X-Hop" not in sent
        assert sent["X-Other"] == "2"
        assert sent["Tenant"] == "one"
        assert "Helpers" not in sent

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    ("path", "changes", "status"),
    [
        ("/nowhere/", {}, 404),
        ("/label", {}, 404),
        ("/label/", {"X-Api-Key": "unknown"}, 401),
        ("/label/", {"X-Api-Key": None}, 401),
        ("/label/", {"Deadline-Ms": "soon"}, 400),
        ("/label/", {"Token-Counts": "many,1"}, 400),
    ],
)
def test_request_not_allowed_by_configuration_is_rejected(
    tmp_path, path, changes, status
):
    async def scenario(cluster):
        async with cluster.call(path, headers=changes) as response:
            assert response.status == status
        assert not any(replica.executions for replica in cluster.replicas)

    run_scenario(tmp_path, scenario)


def test_oversized_body_is_rejected_with_and_without_content_length(tmp_path):
    async def chunks():
        for _ in range(20):
            yield b"x" * 10_000

    async def scenario(cluster):
        for body in (b"x" * 200_000, chunks()):
            async with cluster.call("/stock/", data=body) as response:
                assert response.status == 413

    run_scenario(tmp_path, scenario)


def test_chunked_body_reaches_replica_unchanged(tmp_path):
    async def chunks():
        yield b"one "
        yield b"two"

    async def scenario(cluster):
        async with cluster.call("/order/", data=chunks()) as response:
            assert response.status == 200
        assert cluster.replicas[-1].executions[0].body == b"one two"

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    "fault",
    [Fault.CUT_INSIDE_EVENT, Fault.CUT_BEFORE_END, Fault.SKIP_EVENT],
)
def test_broken_stream_is_resumed_at_another_replica(tmp_path, fault):
    async def scenario(cluster):
        share_fault_plan(cluster, fault)
        async with cluster.call("/label/", tokens=5_000) as response:
            signature = response.headers["Response-Stamp"]
            assert await response.read() == COMPLETE_STREAM
        executions = [e for r in cluster.replicas for e in r.executions]
        (broken,) = [e for e in executions if e.fault is fault]
        (second,) = [e for e in executions if e is not broken]
        assert broken.request_id == second.request_id
        assert int(second.headers["Last-Event-Id"]) in (2, 3)
        first = next(r for r in cluster.replicas if broken in r.executions)
        assert signature == f"s-{first.name}"

    run_scenario(tmp_path, scenario)


def test_stalled_stream_is_resumed_at_another_replica(tmp_path):
    async def scenario(cluster):
        share_fault_plan(cluster, Fault.STALL)
        async with cluster.call("/label/", tokens=5_000) as response:
            assert await response.read() == COMPLETE_STREAM

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    ("fault", "executions"),
    [
        (Fault.UNDELIMITED, 1),
        (Fault.UNDELIMITED_EMPTY, 2),
        (Fault.UNDELIMITED_INSIDE_EVENT, 2),
        (Fault.UNDELIMITED_OPEN, 2),
    ],
)
def test_stream_may_end_with_its_connection_but_not_inside_an_event(
    tmp_path, fault, executions
):
    async def scenario(cluster):
        share_fault_plan(cluster, fault)
        async with cluster.call("/label/", tokens=5_000) as response:
            assert response.status == 200
            assert await response.read() == COMPLETE_STREAM
        assert sum(len(r.executions) for r in cluster.replicas) == executions

    run_scenario(tmp_path, scenario)


def test_resumed_stream_that_ends_before_its_first_event_is_not_complete(
    tmp_path,
):
    async def scenario(cluster):
        share_fault_plan(
            cluster, Fault.CUT_INSIDE_EVENT, Fault.UNDELIMITED_EMPTY
        )
        async with cluster.call("/label/", tokens=5_000) as response:
            with pytest.raises(aiohttp.ClientPayloadError):
                await response.read()

    run_scenario(tmp_path, scenario)


def test_stream_that_cannot_be_resumed_is_visibly_truncated(tmp_path):
    async def scenario(cluster):
        for replica in cluster.replicas[:2]:
            replica.fault = Fault.CUT_INSIDE_EVENT
        async with cluster.call("/label/", tokens=5_000) as response:
            with pytest.raises(aiohttp.ClientPayloadError):
                await response.read()

    run_scenario(tmp_path, scenario)


def test_request_refused_by_full_replica_is_retried(tmp_path):
    async def scenario(cluster):
        cluster.replicas[0].fault = Fault.FULL
        for _ in range(4):
            async with cluster.call("/label/", tokens=5_000) as response:
                assert await response.read() == COMPLETE_STREAM

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    "fault",
    [
        Fault.OTHER_REQUEST,
        Fault.UNSIGNED,
        Fault.ENCODED,
        Fault.BARE_503,
        Fault.RESET_WITHOUT_LENGTH,
    ],
)
def test_order_without_usable_response_runs_once_and_fails_with_502(
    tmp_path, fault
):
    async def scenario(cluster):
        cluster.replicas[-1].fault = fault
        async with cluster.call("/order/") as response:
            assert response.status == 502
            assert "Response-Stamp" not in response.headers
        assert len(cluster.replicas[-1].executions) == 1

    run_scenario(tmp_path, scenario, orders=1)


def test_hanging_order_ends_at_deadline_and_runs_once(tmp_path):
    async def scenario(cluster):
        cluster.replicas[-1].fault = Fault.SILENT
        headers = {"Deadline-Ms": "600"}
        async with cluster.call("/order/", headers=headers) as response:
            assert response.status == 504
        assert len(cluster.replicas[-1].executions) == 1

    run_scenario(tmp_path, scenario)


def test_hanging_lookup_is_retried_at_another_replica(tmp_path):
    async def scenario(cluster):
        hanging = cluster.replicas[-1]
        hanging.fault = Fault.SILENT
        for _ in range(3):
            async with cluster.call("/stock/") as response:
                assert response.status == 200

    run_scenario(tmp_path, scenario, orders=2)


def test_error_of_replica_is_forwarded_with_signature(tmp_path):
    async def scenario(cluster):
        cluster.replicas[-1].fault = Fault.ERROR
        async with cluster.call("/order/") as response:
            assert response.status == 500
            assert response.headers["Response-Stamp"]
            assert await response.read() == b"error"

    run_scenario(tmp_path, scenario)


def test_service_without_endpoints_is_refused_immediately(tmp_path):
    async def scenario(cluster):
        await cluster.store.remove(f"servers/{cluster.replicas[-1].name}")
        await platform_cluster.wait_until(
            lambda: "i-2" not in cluster.instances[0].node.catalogue.endpoints
        )
        started_at_s = asyncio.get_running_loop().time()
        async with cluster.call("/order/") as response:
            assert response.status == 503
            assert 0 < float(response.headers["Retry-After"]) <= 5 / 3
        assert asyncio.get_running_loop().time() - started_at_s < 2
        assert not cluster.replicas[-1].executions

    run_scenario(tmp_path, scenario)


def test_replica_stops_soon_after_caller_disconnects(tmp_path):
    async def scenario(cluster):
        for replica in cluster.replicas[:2]:
            replica.event_count = 10_000
        call = cluster.call("/label/", tokens=5_000)
        async with call as response:
            await response.content.readany()
            response.close()
        executions = [e for r in cluster.replicas for e in r.executions]
        await platform_cluster.wait_until(
            lambda: executions[0].outcome == "cancelled", 2
        )

    run_scenario(tmp_path, scenario)


def test_very_long_prompt_reserves_memory_and_releases_it(tmp_path):
    async def scenario(cluster):
        async with cluster.call("/label/", tokens=600_000) as response:
            assert await response.read() == COMPLETE_STREAM
        (execution,) = [e for r in cluster.replicas for e in r.executions]
        assert "/" in execution.headers["Helpers"]
        await platform_cluster.wait_until(
            lambda: not any(r.reservations for r in cluster.replicas), 2
        )

    run_scenario(tmp_path, scenario, pool=4)


def test_reused_address_gets_no_request_for_former_endpoint(tmp_path):
    async def scenario(cluster):
        replica = cluster.replicas[-1]
        replica.name = "i-other"
        async with cluster.call("/order/") as response:
            assert response.status == 503
        assert not replica.executions

    run_scenario(tmp_path, scenario)


def test_pipelined_requests_are_answered_in_order(tmp_path):
    async def scenario(cluster):
        host, port = cluster.instances[0].caller_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        for name in ("p1", "p2"):
            writer.write(
                (
                    f"GET /stock/ HTTP/1.1\r\nHost: {platform_cluster.HOST}\r\n"
                    f"Request-Id: {name}\r\n"
                    f"X-Api-Key: {platform_cluster.KEY}\r\n\r\n"
                ).encode()
            )
        data = b""
        async with asyncio.timeout(platform_cluster.TIMEOUT_S):
            while data.count(b"answer of") < 2:
                data += await reader.read(65_536)
        assert data.index(b"p1") < data.index(b"p2")
        writer.close()

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    "framing",
    [
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Transfer-Encoding: xchunked\r\n",
    ],
)
def test_body_with_ambiguous_framing_is_rejected(tmp_path, framing):
    async def scenario(cluster):
        host, port = cluster.instances[0].caller_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            (
                f"POST /order/ HTTP/1.1\r\nHost: {platform_cluster.HOST}\r\n"
                f"Request-Id: s1\r\nX-Api-Key: {platform_cluster.KEY}\r\n"
                f"{framing}\r\n"
                "0\r\n\r\nPOST /order/ HTTP/1.1\r\n\r\n"
            ).encode()
        )
        async with asyncio.timeout(platform_cluster.TIMEOUT_S):
            assert b" 400 " in await reader.readline()
        assert not cluster.replicas[-1].executions
        writer.close()

    run_scenario(tmp_path, scenario)


def test_connection_loss_during_write_logs_no_error(
    tmp_path, monkeypatch, caplog
):
    async def lose_connection(sink, data):
        raise ConnectionResetError("the caller disconnected")

    monkeypatch.setattr(caller_stream.ResponseSink, "write", lose_connection)

    async def scenario(cluster):
        with pytest.raises(aiohttp.ClientError):
            async with cluster.call("/label/", tokens=5_000) as response:
                await response.read()
        await platform_cluster.wait_until(
            lambda: cluster.instances[0].node.frontend.in_progress == 0
        )

    run_scenario(tmp_path, scenario)
    assert not [r for r in caplog.records if r.levelname == "ERROR"]


def test_body_timeout_is_answered_with_408(tmp_path):
    async def scenario(cluster):
        host, port = cluster.instances[0].caller_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"POST /stock/ HTTP/1.1\r\nHost: {platform_cluster.HOST}\r\n"
            f"Request-Id: r1\r\nDeadline-Ms: 200\r\n"
            f"X-Api-Key: {platform_cluster.KEY}\r\n"
            "Content-Length: 100\r\n\r\nhalf".encode()
        )
        async with asyncio.timeout(platform_cluster.TIMEOUT_S):
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.read()
        assert head.startswith(b"HTTP/1.1 408 ")
        assert cluster.instances[0].node.frontend.in_progress == 0
        assert not any(r.executions for r in cluster.replicas)
        writer.close()

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("method", ["PUT", "DELETE", "GET", "POST"])
def test_order_whose_answer_is_lost_is_not_run_again(tmp_path, method):
    async def scenario(cluster):
        share_fault_plan(cluster, Fault.ANSWER_LOST)
        async with cluster.call("/order/", method=method) as response:
            assert response.status in (502, 504)
        assert len(cluster.replicas[-1].arrivals) == 1

    run_scenario(tmp_path, scenario)


def test_stream_that_only_trickles_is_resumed_at_another_replica(tmp_path):
    async def scenario(cluster):
        share_fault_plan(cluster, Fault.TRICKLE)
        async with asyncio.timeout(4):
            async with cluster.call("/label/", tokens=5_000) as response:
                assert await response.read() == COMPLETE_STREAM
        assert sum(len(r.executions) for r in cluster.replicas) == 2

    run_scenario(tmp_path, scenario)


def test_slow_but_sound_event_is_not_cut(tmp_path):
    async def scenario(cluster):
        share_fault_plan(cluster, Fault.SLOW_EVENT)
        async with cluster.call("/label/", tokens=5_000) as response:
            body = await response.read()
        assert body.endswith(b"id: 5\ndata: piece 5\n\n")
        assert len(body) > platform_replica.SLOW_EVENT_BYTES
        assert sum(len(r.executions) for r in cluster.replicas) == 1

    run_scenario(tmp_path, scenario)


def test_endless_body_ends_with_a_failure_and_bounded_memory(tmp_path):
    async def scenario(cluster):
        for replica in cluster.replicas:
            replica.fault = Fault.ENDLESS_BODY
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss

        async def call(path):
            async with cluster.call(path) as response:
                return response.status

        async with asyncio.timeout(15):
            statuses = await asyncio.gather(
                *(call(p) for p in ("/order/", "/stock/") for _ in range(25))
            )
        grown_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
        assert set(statuses) <= {502, 503, 504}
        assert grown_kb < 100_000

    run_scenario(tmp_path, scenario, orders=4)
