"""Last steps of stops: what callers and the log have when the process ends."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket

import aiohttp
import late_requests
import platform_cluster
import pytest
import slow_callers
import stop_calls

from poplarwick_core import clock
from poplarwick_core import log_writer
from poplarwick_core import logs
from poplarwick_node import stop_schedule
from poplarwick_standins import platform_replica

GRACE_S = 4.0
LONG_GRACE_S = 8.0
STANDSTILL_S = 1.0
LATE_STANDSTILL_S = 0.9
EVENT_PERIOD_S = 0.05

LATE_END_S = 6.35
"""End of an answer, after the signal: before the last sixth of the long grace
period, in which endpoints have to end."""

WAITING_CALLERS = 20
UNSENT_BODY_BYTES = 70_000
"""Size of an answer whose last part is neither in a socket buffer nor waited
for by its request: it is in the connection's write buffer."""


@pytest.fixture(name="log")
def fixture_log(tmp_path, monkeypatch):
    """Log file that queued lines reach no sooner than they are handed over."""
    monkeypatch.setattr(log_writer, "FLUSH_PERIOD_S", 60.0)
    path = tmp_path / "log"
    descriptor = os.open(path, os.O_CREAT | os.O_WRONLY)
    writer = log_writer.LineWriter(descriptor)
    logs.configure_logs(writer=writer)
    yield path
    logs.configure_logs()
    writer.close(timeout_s=10.0)
    os.close(descriptor)


def has_run(cluster):
    """Returns whether an endpoint has completed a request."""
    return any(
        e.outcome == "done" for r in cluster.replicas for e in r.executions
    )


async def wait_for_execution(cluster):
    await platform_cluster.wait_until(
        lambda: any(r.executions for r in cluster.replicas)
    )


async def call(cluster, path, **options):
    """Returns the status of a request."""
    async with stop_calls.make_call(cluster, path, **options) as response:
        return response.status


# Guards against answers that end with the process, as they were complete but
# unsent when the stop found no request in progress (LOST).
def test_unsent_end_of_a_complete_answer_is_sent_after_the_end(tmp_path):
    async def scenario():
        async with platform_cluster.run_cluster(
            tmp_path, grace_s=GRACE_S
        ) as cluster:
            body = "x" * UNSENT_BODY_BYTES
            for replica in cluster.replicas:
                replica.make_body = lambda request_id: body
            instance = cluster.instances[0]
            frontend = instance.node.frontend
            with contextlib.closing(
                slow_callers.SlowCaller(instance.caller_address)
            ) as caller:
                await caller.send("/order/", "slow")
                await platform_cluster.wait_until(
                    lambda: has_run(cluster) and not frontend.in_progress
                )
                (connection,) = frontend.connections
                transport = connection.transport
                assert transport.get_write_buffer_size()
                instance.stop.set()
                await instance.task
                # The end of a process discards its write buffers.
                if transport.get_write_buffer_size():
                    transport.abort()
                received = await caller.read()
            assert received.endswith(body.encode())

    asyncio.run(scenario())


# Guards against requests without an answer at the kill, as the time between a
# signal and its handling moved the end of the stop behind the kill (LOST).
def test_long_step_after_the_signal_does_not_move_the_end_behind_the_kill(
    tmp_path,
):
    async def scenario():
        async with platform_cluster.run_cluster(
            tmp_path, grace_s=GRACE_S
        ) as cluster:
            for replica in cluster.replicas:
                replica.response_delay_s = 60.0
            calling = asyncio.create_task(
                call(cluster, "/order/", method="POST")
            )
            await wait_for_execution(cluster)
            instance = cluster.instances[0]
            signalled_at_s = clock.now_s()
            instance.node.record_stop_signal()
            stop_calls.stand_still(1.0)
            instance.stop.set()
            status = await calling
            assert status == 502
            assert clock.now_s() - signalled_at_s < GRACE_S
            await instance.task

    asyncio.run(scenario())


# Guards against streams that a stop cuts though their end had arrived while the
# process stood still (LOST).
def test_stream_whose_end_came_during_a_standstill_is_complete(
    tmp_path, monkeypatch
):
    stream = platform_replica.Replica._stream
    cut_at_s = []

    async def stream_and_stand_still(*arguments):
        response = await stream(*arguments)
        stop_calls.stand_still(cut_at_s[0] + 0.1 - clock.now_s())
        return response

    async def scenario():
        async with platform_cluster.run_cluster(
            tmp_path, grace_s=GRACE_S
        ) as cluster:
            monkeypatch.setattr(
                platform_replica.Replica, "_stream", stream_and_stand_still
            )
            for replica in cluster.replicas:
                replica.event_count, replica.event_interval_s = 30, 0.1
            cut_at_s.append(
                clock.now_s() + GRACE_S - stop_schedule.EXIT_MARGIN_S
            )
            cluster.instances[0].stop.set()
            async with cluster.call("/label/", tokens=5_000) as response:
                body = await response.read()
            assert body.count(b"id: ") == 30
            await cluster.instances[0].task

    asyncio.run(scenario())


# Guards against connections that a stop closes without an answer, as their
# requests are not read completely: no endpoint has run them.
def test_request_that_is_still_read_at_the_end_is_refused(tmp_path):
    async def scenario():
        async with platform_cluster.run_cluster(
            tmp_path, grace_s=GRACE_S
        ) as cluster:
            request = late_requests.LateRequest("/order/", None)
            await request.open(cluster.instances[0])
            frontend = cluster.instances[0].node.frontend
            await platform_cluster.wait_until(lambda: frontend.in_progress)
            cluster.instances[0].stop.set()
            await cluster.instances[0].task
            status, is_whole = await request.end(0.0)
            assert (status, is_whole) == (503, True)

    asyncio.run(scenario())


# Guards against answers that a kill takes along, as the stop hands them over
# only at the time at which it ends requests (LOST).
def test_unsent_answer_is_handed_over_before_the_earliest_kill(tmp_path):
    async def scenario():
        async with platform_cluster.run_cluster(
            tmp_path, grace_s=GRACE_S
        ) as cluster:
            await stop_calls.allow_long_requests(cluster)
            body = "x" * 300_000
            for replica in cluster.replicas:
                replica.make_body = lambda request_id: body
            instance = cluster.instances[0]
            with contextlib.closing(
                slow_callers.SlowCaller(instance.caller_address)
            ) as caller:
                await caller.send("/order/", "slow")
                await wait_for_execution(cluster)
                await asyncio.sleep(0.3)
                (connection,) = instance.node.frontend.connections
                transport = connection.transport
                assert transport.get_write_buffer_size()
                # The signal may have come at the beginning of the standstill.
                stop_calls.stand_still(STANDSTILL_S)
                signalled_at_s = clock.now_s() - STANDSTILL_S
                instance.node.record_stop_signal()
                instance.stop.set()
                killed_at_s = signalled_at_s + GRACE_S
                await asyncio.sleep(killed_at_s - clock.now_s() - 0.05)
                if transport.get_write_buffer_size():
                    transport.abort()
                received = await caller.read()
            assert received.endswith(body.encode())
            await instance.task

    asyncio.run(scenario())


# Guards against streams whose end no line explains if a kill follows at once,
# as their lines wait to be written (the record of stops). After a standstill
# the lines and the cut are due in the same step.
@pytest.mark.parametrize("standstill_s", [0.0, 0.5])
def test_lines_of_a_cut_are_written_before_it(tmp_path, log, standstill_s):
    async def scenario():
        async with platform_cluster.run_cluster(
            tmp_path, grace_s=GRACE_S
        ) as cluster:
            for replica in cluster.replicas:
                replica.event_count, replica.event_interval_s = 400, 0.05
            instance = cluster.instances[0]
            async with cluster.call(
                "/label/",
                headers={"Deadline-Ms": "15000", "Request-Id": "long"},
                tokens=5_000,
            ) as response:
                await response.content.readany()
                instance.stop.set()
                asyncio.get_running_loop().call_later(
                    GRACE_S - 0.8, stop_calls.stand_still, standstill_s
                )
                with contextlib.suppress(aiohttp.ClientError):
                    await response.read()
                # What a kill would leave now.
                lines = log.read_text().splitlines()
            await instance.task
        return [line for line in lines if "request=long " in line]

    named = asyncio.run(scenario())
    assert any(
        "event=request_left_at_stop" in line or "reason=stopping" in line
        for line in named
    ), named


# Guards against requests that a stopping instance resets, as their connections
# wait to be accepted when it stops listening.
def test_requests_on_connections_that_wait_to_be_accepted_are_answered(
    tmp_path,
):
    async def scenario():
        async with platform_cluster.run_cluster(
            tmp_path, grace_s=GRACE_S
        ) as cluster:
            instance = cluster.instances[0]
            host, port = instance.caller_address.split(":")
            instance.stop.set()
            frontend = instance.node.frontend
            accept_waiting = frontend.accept_waiting
            request = (
                f"GET /stock/ HTTP/1.1\r\nHost: {platform_cluster.HOST}\r\n"
                f"X-Api-Key: {platform_cluster.KEY}\r\n\r\n"
            )
            sockets = []

            async def connect_and_accept():
                # In the step in which the instance stops listening.
                for _ in range(WAITING_CALLERS):
                    sockets.append(socket.create_connection((host, port)))
                    sockets[-1].sendall(request.encode())
                await accept_waiting()

            frontend.accept_waiting = connect_and_accept
            await platform_cluster.wait_until(lambda: sockets)
            async with asyncio.timeout(platform_cluster.TIMEOUT_S):
                for connected in sockets:
                    connected.setblocking(False)
                    reader, writer = await asyncio.open_connection(
                        sock=connected
                    )
                    assert b" 503 " in await reader.readline()
                    writer.close()
                await instance.task

    asyncio.run(scenario())


def set_events(cluster, count):
    for replica in cluster.replicas:
        replica.event_count = count
        replica.event_interval_s = EVENT_PERIOD_S


# Guards against streams that a stop cuts before the last sixth of its grace
# period, as the event loop was late in the seconds before (LOST).
def test_standstill_before_a_stop_does_not_cut_streams_sooner(tmp_path):
    async def scenario():
        async with platform_cluster.run_cluster(
            tmp_path, grace_s=LONG_GRACE_S
        ) as cluster:
            await stop_calls.allow_long_requests(cluster)
            events = int(LATE_END_S / EVENT_PERIOD_S)
            set_events(cluster, events)
            stop_calls.stand_still(LATE_STANDSTILL_S)
            await asyncio.sleep(0.5)
            cluster.instances[0].stop.set()
            async with stop_calls.make_call(cluster, tokens=5_000) as response:
                body = await response.read()
            assert body.count(b"id: ") == events
            await cluster.instances[0].task

    asyncio.run(scenario())


# Guards against requests that end without an answer as their instance does,
# though nothing of one has been sent (LOST).
@pytest.mark.parametrize("path", ["/order/", "/stock/", "/label/"])
def test_requests_at_silent_endpoints_are_answered_before_the_end(
    tmp_path, path
):
    async def scenario():
        async with platform_cluster.run_cluster(
            tmp_path, grace_s=GRACE_S
        ) as cluster:
            await stop_calls.allow_long_requests(cluster)
            for replica in cluster.replicas:
                replica.response_delay_s = 60.0
                replica.fault_plan = [platform_replica.Fault.SILENT] * 8
            tokens = 5_000 if path == "/label/" else None
            method = "GET" if path == "/stock/" else "POST"

            async def call():
                async with stop_calls.make_call(
                    cluster, path, tokens=tokens, method=method
                ) as response:
                    return response.status

            calling = asyncio.create_task(call())
            await platform_cluster.wait_until(
                lambda: any(r.arrivals for r in cluster.replicas)
            )
            cluster.instances[0].stop.set()
            await cluster.instances[0].task
            try:
                status = await calling
            except aiohttp.ClientError as error:
                status = repr(error)
            # It may have run.
            assert status == 502

    asyncio.run(scenario())


# Guards against answers that an endpoint has ended and that a stop cuts while
# their callers read them slowly (LOST).
def test_caller_that_reads_slowly_has_its_answer_after_the_end(tmp_path):
    async def scenario():
        async with platform_cluster.run_cluster(
            tmp_path, grace_s=GRACE_S
        ) as cluster:
            await stop_calls.allow_long_requests(cluster)
            body = "x" * 300_000
            for replica in cluster.replicas:
                replica.make_body = lambda request_id: body
            caller = slow_callers.SlowCaller(
                cluster.instances[0].caller_address
            )
            await caller.send("/order/", "slow")
            await platform_cluster.wait_until(lambda: has_run(cluster))
            cluster.instances[0].stop.set()
            await cluster.instances[0].task
            received = await caller.read()
            caller.close()
            assert received.endswith(body.encode())

    asyncio.run(scenario())
