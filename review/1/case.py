"""Stops an instance with SIGTERM while requests wait for an engine."""

from __future__ import annotations

import asyncio
import signal
import time
import zlib

import harness

from poplarwick_standins import platform_documents as documents

PERIOD_S = 0.8
TOKENS = 120_000
GRACE_S = 8.0
LOSS_SLACK_S = 0.2
DEADLINE_S = 15.0
GAP_S = 12.0
"""Four times the objective, the gap after which clients leave (PROTOCOL.md)."""
WARM_UP_S = 30.0


async def case(trouble: bool) -> int:
    """Runs the case."""
    async with harness.Deployment("1") as system:
        for number in range(3):
            engine = harness.Engine(
                f"e-{number}", "pool", "abc"[number], peers=system.peers
            )
            engine.event_count, engine.event_interval_s = 19, 0.45
            await system.add_replica(engine)
        await system.start(
            documents.make_configuration(
                routes=[
                    documents.make_route(
                        "dossier",
                        "streaming",
                        "pool",
                        timeout_ms=15_000,
                        target_latency_ms=3_000,
                        gap_target_ms=1_000,
                    )
                ]
            )
        )
        calls: dict[str, asyncio.Task[harness.Answer]] = {}
        targets: dict[str, harness.Instance] = {}
        stopped = system.instances[0]
        began_s = time.monotonic()
        term_s = began_s + WARM_UP_S
        has_stopped = False
        number = 0
        while time.monotonic() < term_s + 2.0:
            if not has_stopped and time.monotonic() >= term_s:
                has_stopped = True
                if trouble:
                    system.write(f"SIGTERM to {stopped.name}")
                    stopped.signal(signal.SIGTERM)
            instance = system.instances[number % 2]
            request = f"d{number:04d}"
            targets[request] = instance
            calls[request] = asyncio.create_task(
                harness.call(
                    instance.ip,
                    "/dossier/1",
                    request,
                    patience_s=DEADLINE_S,
                    gap_s=GAP_S,
                    deadline_ms=round(1_000 * DEADLINE_S),
                    body=b"x" * 1_000,
                    headers={
                        "Model": "m",
                        "Token-Counts": f"{TOKENS},646",
                        "Prompt-Prefix": "ab12:40,"
                        f"{zlib.crc32(request.encode()):x}:{TOKENS - 40}",
                    },
                )
            )
            system.write(f"{request} sent to {instance.name}")
            number += 1
            await asyncio.sleep(PERIOD_S)
        await asyncio.wait(calls.values())
        arrived = {a.request_id for r in system.replicas for a in r.arrivals}
        lost = []
        for request, task in calls.items():
            answer = task.result()
            if answer.is_complete:
                end = f"answered {answer.status}"
            elif answer.left:
                end = "its client left"
            else:
                end = "closed without an answer"
            reached = (
                "reached an engine" if request in arrived else "never sent on"
            )
            system.write(
                f"{request} at {targets[request].name}: {end} after"
                f" {answer.ended_s - answer.sent_s:.3f} s, {reached}"
            )
            if (
                answer.sent_s
                and not answer.is_complete
                and not answer.left
                and request not in arrived
                and answer.ended_s - answer.sent_s > LOSS_SLACK_S
                and answer.ended_s < term_s + GRACE_S + 1.0
            ):
                lost.append(request)
        system.write(f"read, not sent on, closed without an answer: {lost}")
        return harness.BROKEN if lost else harness.HELD


harness.main(case)
