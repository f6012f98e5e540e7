"""Last steps of stops: what callers and the log have when the process ends."""

from __future__ import annotations

import asyncio
import contextlib

import platform_cluster
import slow_callers

GRACE_S = 4.0
UNSENT_BODY_BYTES = 70_000
"""Size of an answer whose last part is neither in a socket buffer nor waited
for by its request: it is in the connection's write buffer."""


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
                    lambda: (
                        any(
                            e.outcome == "done"
                            for r in cluster.replicas
                            for e in r.executions
                        )
                        and not frontend.in_progress
                    )
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
