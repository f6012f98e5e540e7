"""Requests that crash every endpoint that begins to run them."""

from __future__ import annotations

import asyncio
import contextlib
import itertools

import crashing_fleet
import platform_cluster
import pytest

CRASHES = 3
"""Crashes after which the platform's bound for further arrivals applies."""

SETTLE_S = 3.0
"""Time after the last of them from which the bound applies."""

LATE_ARRIVALS = 3
"""Arrivals of the request at endpoints from then on."""

SHARED = "5c1e07a2"
"""Part that the prompts of all requests share."""

CRASHING_BODY = b"crash"

PROMPT_HEADERS = {"Prompt-Prefix": f"{SHARED}:100,0bad:4900"}

KINDS = {
    "stream": ("/label/x", "pool", {"tokens": 5_000}),
    "idempotent": ("/stock/x", "orders", {}),
    "non_idempotent": ("/order/x", "orders", {}),
}


class Sender:
    """Sends copies of a crashing request beside sound requests."""

    def __init__(self, fleet, kind):
        self.path, _, self.options = KINDS[kind]
        self.fleet = fleet
        self.numbers = itertools.count(1)
        self.calls = []

    async def send_bad(self):
        number = next(self.numbers)
        return await self._send(number, f"bad-{number}", CRASHING_BODY)

    async def send_good(self):
        number = next(self.numbers)
        return await self._send(
            number, f"good-{number}", f"sound {number}".encode()
        )

    async def _send(self, number, request_id, body):
        return await self.fleet.send(
            number,
            request_id,
            path=self.path,
            headers=PROMPT_HEADERS,
            data=body,
            **self.options,
        )

    async def send_both_until(self, condition, period_s=0.1):
        while not condition():
            for send in (self.send_bad, self.send_good):
                self.calls.append(asyncio.create_task(send()))
            await asyncio.sleep(period_s)
        await asyncio.gather(*self.calls)


@contextlib.asynccontextmanager
async def run_sender(tmp_path, kind, **options):
    _, service, _ = KINDS[kind]
    async with platform_cluster.run_cluster(
        tmp_path, pool=10, orders=4, instances=3, **options
    ) as cluster:
        await crashing_fleet.wait_for_placer(cluster)
        fleet = crashing_fleet.CrashingFleet(
            cluster, crashing_bodies={CRASHING_BODY}, service=service
        )
        restarts = asyncio.create_task(fleet.restart_crashed())
        try:
            yield Sender(fleet, kind)
        finally:
            restarts.cancel()


@pytest.mark.parametrize("kind", KINDS)
def test_request_that_crashes_endpoints_stops_reaching_them(tmp_path, kind):
    async def scenario():
        async with run_sender(tmp_path, kind) as sender:
            fleet = sender.fleet
            loop = asyncio.get_running_loop()
            deadline_s = loop.time() + platform_cluster.TIMEOUT_S
            await sender.send_both_until(
                lambda: fleet.crashes >= CRASHES or loop.time() > deadline_s
            )
            settled_at_s = loop.time() + SETTLE_S
            await sender.send_both_until(lambda: loop.time() > settled_at_s)
            arrivals = fleet.count_arrivals()
            bad = []
            for _ in range(20):
                bad.append(await sender.send_bad())
                await asyncio.sleep(0.1)
            assert fleet.count_arrivals() - arrivals <= LATE_ARRIVALS
            assert set(bad[LATE_ARRIVALS:]) == {503}
            # Endpoints that crashed last are back.
            await asyncio.sleep(crashing_fleet.ENTRY_TTL_S)
            good = [await sender.send_good() for _ in range(10)]
            assert good == [200] * 10

    asyncio.run(scenario())


def test_copies_at_all_instances_at_once_do_not_end_all_endpoints(tmp_path):
    """Nine copies arrive within 50 ms, and again as soon as they fail."""

    async def scenario():
        async with run_sender(tmp_path, "stream") as sender:
            fleet = sender.fleet
            assert await sender.send_good() == 200

            async def send_thrice():
                return [await sender.send_bad() for _ in range(3)]

            answers = await asyncio.gather(
                *(send_thrice() for _ in range(9)),
            )
            # The first copies, one retry at a time, and the next copy.
            assert fleet.crashes <= 9 + 3
            assert {codes[-1] for codes in answers} == {503}

    asyncio.run(scenario())


def test_sound_requests_on_endpoints_that_crash_are_answered(tmp_path):
    """Each copy of the crashing request has company on its endpoint."""

    async def scenario():
        async with run_sender(tmp_path, "idempotent") as sender:
            for replica in sender.fleet.engines:
                replica.response_delay_s = 0.1
            good = []
            for _ in range(15):
                bad = asyncio.create_task(sender.send_bad())
                good.extend(
                    asyncio.create_task(sender.send_good()) for _ in range(2)
                )
                await bad
                await asyncio.sleep(0.2)
            answers = await asyncio.gather(*good)
            known = sender.fleet.cluster.instances[0].node.catalogue
            (quarantine,) = known.quarantines.known
            assert quarantine.fingerprint is not None
            assert answers.count(200) >= len(answers) - 2

    asyncio.run(scenario())


def test_request_is_refused_without_a_placer_after_three_crashes(tmp_path):
    async def scenario():
        async with run_sender(tmp_path, "stream") as sender:
            fleet, cluster = sender.fleet, sender.fleet.cluster
            instance = cluster.instances[0]
            cluster.store.is_down = True
            for other in cluster.instances[1:]:
                await other.kill()
            del cluster.instances[1:]
            await platform_cluster.wait_until(
                lambda: instance.node.placement_client.connection is None
            )
            assert await sender.send_good() == 200
            for _ in range(6):
                await sender.send_bad()
            assert fleet.count_arrivals() <= 4
            assert await sender.send_bad() == 503

    asyncio.run(scenario())
