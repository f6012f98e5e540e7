"""Callers' connections that a stopping instance closes."""

from __future__ import annotations

import asyncio

import crashing_fleet
import platform_cluster
import pytest

GRACE_S = 4.0


def make_head(request_id, path="/order/", extra="Content-Length: 1\r\n"):
    return (
        f"POST {path} HTTP/1.1\r\nHost: {platform_cluster.HOST}\r\n"
        f"Request-Id: {request_id}\r\nX-Api-Key: {platform_cluster.KEY}\r\n"
        f"{extra}\r\n"
    ).encode()


async def connect(cluster):
    host, port = cluster.instances[0].caller_address.split(":")
    return await asyncio.open_connection(host, port)


async def answer(reader):
    """Reads an answer with a length and returns its status."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
    await reader.readexactly(int(length))
    return int(head.split(b" ")[1])


# Guards against requests on open connections that vanish without an answer, an
# end or a line while a stopping instance closes its connections (LOST).
def test_request_that_crosses_the_close_ends_at_once_and_is_logged(
    tmp_path, lines
):
    async def scenario():
        async with platform_cluster.run_cluster(
            tmp_path, grace_s=GRACE_S
        ) as cluster:
            connections = [await connect(cluster) for _ in range(20)]
            for number, (reader, writer) in enumerate(connections):
                writer.write(make_head(f"first-{number}") + b"x")
                assert await answer(reader) == 200
            cluster.instances[0].stop.set()
            frontend = cluster.instances[0].node.frontend
            shutdown = frontend.close_connections
            ended_s = []

            async def send(number, reader, writer):
                writer.write(make_head(f"late-{number}") + b"x")
                sent_at_s = asyncio.get_running_loop().time()
                assert await reader.read() == b""
                now_s = asyncio.get_running_loop().time()
                ended_s.append(now_s - sent_at_s)

            async def close_connections(*arguments):
                closing = asyncio.create_task(shutdown(*arguments))
                await asyncio.sleep(0)
                await asyncio.gather(
                    *(
                        send(number, reader, writer)
                        for number, (reader, writer) in enumerate(connections)
                    ),
                    return_exceptions=True,
                )
                await closing

            frontend.close_connections = close_connections
            await cluster.instances[0].task
            for _, writer in connections:
                writer.close()
            named = [
                number
                for number in range(len(connections))
                if any(f"request=late-{number} " in line for line in lines)
            ]
            assert named == list(range(len(connections)))
            assert not any(
                e.request_id.startswith("late")
                for r in cluster.replicas
                for e in r.executions
            )

    asyncio.run(scenario())


# Guards against refusals that callers lose to a reset, as the instance ends
# before they have sent their bodies.
def test_caller_that_still_sends_its_body_receives_the_refusal(tmp_path):
    async def scenario():
        async with platform_cluster.run_cluster(
            tmp_path, grace_s=GRACE_S
        ) as cluster:
            for replica in cluster.replicas:
                replica.response_delay_s = 0.6
            reader, writer = await connect(cluster)
            await crashing_fleet.wait_for_placer(cluster)
            cluster.instances[0].stop.set()
            await asyncio.sleep(2.4)
            # The last request ends while the caller sends.
            _, last = await connect(cluster)
            last.write(make_head("last") + b"x")
            frontend = cluster.instances[0].node.frontend
            await platform_cluster.wait_until(lambda: frontend.is_closed)
            head = make_head("r", extra="Transfer-Encoding: chunked\r\n")
            writer.write(head)
            for _ in range(14):
                await asyncio.sleep(0.05)
                writer.write(b"4\r\nbody\r\n")
                await writer.drain()
            assert await answer(reader) == 503
            for caller in (writer, last):
                caller.close()
            await cluster.instances[0].task

    asyncio.run(scenario())


# Guards against handlers that end without a line.
@pytest.mark.parametrize("part", [b"", b"4\r\nhalf\r\n"])
def test_request_whose_caller_leaves_before_it_is_read_is_logged(
    tmp_path, lines, part
):
    async def scenario():
        async with platform_cluster.run_cluster(tmp_path) as cluster:
            _, writer = await connect(cluster)
            head = make_head("gone", extra="Transfer-Encoding: chunked\r\n")
            writer.write(head + part)
            frontend = cluster.instances[0].node.frontend
            await platform_cluster.wait_until(lambda: frontend.in_progress)
            writer.close()
            await platform_cluster.wait_until(lambda: not frontend.in_progress)

    asyncio.run(scenario())
    (line,) = [line for line in lines if "request=gone " in line]
    assert "event=request_abandoned" in line
    assert "stage=reading" in line


def test_request_whose_handler_fails_is_logged(tmp_path, lines, monkeypatch):
    async def scenario():
        async with platform_cluster.run_cluster(tmp_path) as cluster:
            runner = cluster.instances[0].node.frontend._runner

            async def fail(exchange, sink):
                raise RuntimeError("unexpected")

            monkeypatch.setattr(runner, "run", fail)
            async with cluster.call(
                "/order/", headers={"Request-Id": "broken"}
            ) as response:
                assert response.status == 500

    asyncio.run(scenario())
    (line,) = [line for line in lines if "request=broken outcome" in line]
    assert "outcome=error" in line
    assert "unexpected" in line


def run_into_stop(tmp_path, prepare, head):
    """Stops an instance whose request outlasts the grace period.

    Args:
        tmp_path: Folder of the cluster.
        prepare: Makes an endpoint take longer.
        head: Head of the request.

    Returns:
        What the caller has received.
    """

    async def scenario():
        async with platform_cluster.run_cluster(
            tmp_path, grace_s=GRACE_S
        ) as cluster:
            for replica in cluster.replicas:
                prepare(replica)
            reader, writer = await connect(cluster)
            writer.write(head + b"x")
            await platform_cluster.wait_until(
                lambda: any(r.executions for r in cluster.replicas)
            )
            cluster.instances[0].stop.set()
            await cluster.instances[0].task
            try:
                return await reader.read()
            finally:
                writer.close()

    return asyncio.run(scenario())


def test_streams_that_a_stop_cuts_are_named(tmp_path, lines):
    def write_for_long(replica):
        replica.event_count, replica.event_interval_s = 400, 0.05

    received = run_into_stop(
        tmp_path,
        write_for_long,
        make_head(
            "long",
            "/label/",
            "Content-Length: 1\r\nModel: m\r\nToken-Counts: 5000,170\r\n",
        ),
    )
    assert received.count(b"id: ") > 10
    named = [line for line in lines if "request=long " in line]
    assert any("event=request_left_at_stop" in line for line in named)
    (ended,) = [line for line in named if "event=request_ended" in line]
    assert "outcome=cut" in ended
    assert "reason=stopping" in ended


def test_requests_that_a_stop_ends_without_their_answer_are_told_so(
    tmp_path, lines
):
    def wait_for_long(replica):
        replica.response_delay_s = 60.0

    received = run_into_stop(tmp_path, wait_for_long, make_head("long"))
    assert received.startswith(b"HTTP/1.1 502 ")
    named = [line for line in lines if "request=long " in line]
    (ended,) = [line for line in named if "event=request_ended" in line]
    assert "status=502" in ended
    assert "reason=stopping" in ended
