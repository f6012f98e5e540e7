"""Real instances before engines that a part of a prompt crashes.

Run as a program, it plays seeds and prints crashes and late arrivals.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import dataclasses
import enum
import itertools
import pathlib
import random
import re
import tempfile
import time

import aiohttp

from poplarwick_bench.soak import fleet
from poplarwick_bench.soak import records
from poplarwick_standins import crash_forms
from poplarwick_standins import platform_calls

ALLOWED_CRASHES = 5
"""Crashes after which the bound applies (RULES.md, BUDGET, on parts)."""

SETTLE_S = 3.0
"""Time after the last of them from which arrivals are late."""

LATE_ARRIVALS = 3
"""Late arrivals that the bound allows."""

RESTART_S = 2.0
"""Time from a crash to the start of another engine."""

PARTS = ("bad0", "bad1")
"""Parts that crash engines."""

SESSIONS = 10
"""Number of further parts, one of which each sound request has."""

PROMPT_TOKENS = (400, 3_000)
EVENTS = (4, 50)
DEADLINE_S = 6.0
TRIES = 2
"""Attempts of a caller at a request."""

PAUSE_S = (0.02, 0.12)
"""Shortest and longest pause of a caller between requests."""


DISTURBED_AFTER_CRASHES = 3
STORE_DOWN_S = 8.0
STANDSTILL_S = (0.9, 4.0)


class Disturbance(enum.Enum):
    """What else fails from the third crash on."""

    NONE = "none"
    PLACER_KILLED = "placer_killed"
    PLACER_STANDS_STILL = "placer_stands_still"
    ALL_STAND_STILL = "all_stand_still"
    STORE_DOWN = "store_down"


class CrashFleet(fleet.Fleet):
    """A fleet whose crashed engines are replaced at other addresses."""

    choose_form = staticmethod(crash_forms.CrashForm)
    """Returns how an engine crashes."""

    def make_replica(self, name, service, domain):
        """Returns a stand-in for an endpoint."""
        replica = super().make_replica(name, service, domain)
        replica.choose_crash_form = lambda: self.choose_form()
        replica.event_interval_s = 0.04
        return replica

    async def _publish_entry(self, endpoint):
        # Without a proxy, which would accept connections to ended engines.
        self._peers[endpoint.replica.address] = endpoint.replica
        await self.write_entry(endpoint)

    async def replace_crashed(self):
        """Starts an engine for each one that crashes, until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(0.01)
                for endpoint in self.endpoints:
                    if endpoint.is_up and not endpoint.replica.is_open:
                        endpoint.is_up = False
                        group.create_task(self._replace(endpoint.replica))

    async def _replace(self, crashed):
        await asyncio.sleep(RESTART_S)
        await self._add_endpoint(crashed.service, crashed.zone)

    def _count_crashes(self):
        return sum(bool(e.crash_causes) for e in self.record.endpoints)

    def _find_placer(self):
        """Returns the instance that has taken the tenure last."""
        taken_at_s = {}
        for instance in self.instances:
            log = instance.node.log.read_text(errors="replace")
            found = re.findall(r"event=tenure_taken at_s=(\S+)", log)
            taken_at_s[instance.name] = float(found[-1]) if found else 0.0
        return max(self.instances, key=lambda i: taken_at_s[i.name])

    async def disturb(self, disturbance, rng, until_s):
        """Lets something else fail, unless too few engines crash."""
        while self._count_crashes() < DISTURBED_AFTER_CRASHES:
            if time.monotonic() > until_s:
                return
            await asyncio.sleep(0.01)
        match disturbance:
            case Disturbance.PLACER_KILLED:
                placer = self._find_placer()
                placer.is_expected_to_run = False
                await placer.node.kill()
                await self.restart_instance(placer)
            case Disturbance.PLACER_STANDS_STILL:
                await self._stand_still([self._find_placer()], rng)
            case Disturbance.ALL_STAND_STILL:
                await self._stand_still(self.instances, rng)
            case Disturbance.STORE_DOWN:
                self.store.is_down = True
                await asyncio.sleep(STORE_DOWN_S)
                self.store.is_down = False
            case Disturbance.NONE:
                pass

    async def _stand_still(self, instances, rng):
        for instance in instances:
            instance.node.pause()
        await asyncio.sleep(rng.uniform(*STANDSTILL_S))
        for instance in instances:
            instance.node.resume()


@dataclasses.dataclass(slots=True)
class Result:
    """What a play has shown.

    Attributes:
        crashes: Monotonic times of the crashes by each part.
        late: Number of late arrivals with each part.
        sound_served: Number of sound requests that were answered.
        sound_count: Number of sound requests.
        misblamed: Parts in quarantine that crash no engine.
        cut_off: How often an instance believed to be cut off from all engines.
        blamed_after: Number of crashes by each part before its quarantine.
    """

    crashes: dict
    late: dict
    sound_served: int
    sound_count: int
    misblamed: set
    cut_off: int
    blamed_after: dict


class Caller:
    """Sends requests one after the other and each once more if it fails."""

    def __init__(self, system, number, seed, share, parts):
        self._system = system
        self._number = number
        self._rng = random.Random(seed * 10_007 + number)
        self._share = share
        self._parts = parts
        self._numbers = itertools.count(1)
        self.parts_by_request = {}
        self.sound_served = 0
        self.sound_count = 0

    async def run(self, until_s):
        """Sends requests until a monotonic time."""
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < until_s:
                await asyncio.sleep(self._rng.uniform(*PAUSE_S))
                await self._call(session)

    async def _call(self, session):
        rng = self._rng
        part = rng.choice(self._parts) if rng.random() < self._share else ""
        shown = part or f"5e55{rng.randrange(SESSIONS):x}"
        tokens, events = rng.randint(*PROMPT_TOKENS), rng.randint(*EVENTS)
        body = rng.randbytes(200)
        is_served = False
        for _ in range(TRIES):
            request_id = f"c{self._number}-{next(self._numbers)}"
            if part:
                self.parts_by_request[request_id] = part
            headers = platform_calls.make_headers(
                request_id,
                self._system.api_keys[0],
                DEADLINE_S,
                tokens,
                events,
                shown,
            )
            instance = rng.choice(self._system.instances)
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with session.post(
                    f"http://{instance.address}/short/1",
                    headers=headers,
                    data=body,
                    timeout=aiohttp.ClientTimeout(total=DEADLINE_S),
                ) as response:
                    await response.read()
                    is_served = response.status == 200
            if is_served:
                break
        if not part:
            self.sound_count += 1
            self.sound_served += is_served


async def play(
    seed,
    folder,
    *,
    instances=3,
    engines=10,
    callers=16,
    share=0.05,
    duration_s=14.0,
    stages=tuple(crash_forms.Stage),
    endings=tuple(crash_forms.Ending),
    parts=PARTS[:1],
    disturbance=Disturbance.NONE,
):
    """Plays requests of which some have a part that crashes engines.

    Args:
        seed: Seed of the load and of the forms of crashes.
        folder: Folder of settings and logs.
        instances: Number of instances.
        engines: Number of engines.
        callers: Number of callers, each with one request at a time.
        share: Share of the requests with such a part.
        duration_s: Length of the load.
        stages: Stages at which engines crash.
        endings: Endings of connections at a crash.
        parts: Parts that crash engines.
        disturbance: What else fails.
    """
    rng = random.Random(seed)
    async with CrashFleet(
        folder, records.Record(), instances=instances, engines=engines, plain=1
    ) as system:
        system.choose_form = lambda: crash_forms.draw_form(rng, stages, endings)
        senders = [
            Caller(system, number, seed, share, parts)
            for number in range(callers)
        ]
        replacing = asyncio.create_task(system.replace_crashed())
        until_s = time.monotonic() + duration_s
        async with asyncio.TaskGroup() as group:
            for sender in senders:
                group.create_task(sender.run(until_s))
            # Random numbers of its own: it changes no form of a crash.
            group.create_task(
                system.disturb(disturbance, random.Random(seed + 1), until_s)
            )
            await asyncio.sleep(1.0)
            system.crashing_parts.update(parts)
        replacing.cancel()
        logs = "".join(
            path.read_text(errors="replace") for path in folder.glob("*.log")
        )
        return _summarize(system.record, senders, parts, logs)


def _summarize(record, senders, parts, logs):
    sent = {}
    for sender in senders:
        sent.update(sender.parts_by_request)
    crashes = {part: [] for part in parts}
    for endpoint in record.endpoints:
        for part in endpoint.crash_causes:
            crashes[part].append(endpoint.crashed_at_s)
    late = dict.fromkeys(parts, 0)
    for part, times in crashes.items():
        times.sort()
        if len(times) < ALLOWED_CRASHES:
            continue
        limit_s = times[ALLOWED_CRASHES - 1] + SETTLE_S
        late[part] = sum(
            sent.get(arrival.request_id) == part and arrival.at_s > limit_s
            for endpoint in record.endpoints
            for arrival in endpoint.arrivals
        )
    imposed = re.findall(
        r"event=quarantine_imposed.* parts=(\S+) endpoints=(\S+)", logs
    )
    blamed = {part for found, _ in imposed for part in found.split(",")}
    return Result(
        crashes,
        late,
        sum(sender.sound_served for sender in senders),
        sum(sender.sound_count for sender in senders),
        blamed - set(parts),
        logs.count("event=instance_cut_off"),
        {
            part: len(endpoints.split(","))
            for found, endpoints in reversed(imposed)
            for part in found.split(",")
        },
    )


def describe(result):
    """Returns a line of a report."""
    crashes = {part: len(times) for part, times in result.crashes.items()}
    return (
        f"crashes {crashes}, late {result.late}, blamed after"
        f" {result.blamed_after}, misblamed {sorted(result.misblamed)},"
        f" sound served {result.sound_served} of {result.sound_count},"
        f" cut off {result.cut_off}"
    )


def main():
    """Plays seeds one after the other."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--logs", type=pathlib.Path)
    parser.add_argument("--duration-s", type=float, default=26.0)
    parser.add_argument("--instances", type=int, default=6)
    parser.add_argument("--engines", type=int, default=16)
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument("--share", type=float, default=0.05)
    parser.add_argument("--parts", type=int, default=1)
    parser.add_argument(
        "--stages", nargs="+", default=[s.value for s in crash_forms.Stage]
    )
    parser.add_argument(
        "--endings", nargs="+", default=[e.value for e in crash_forms.Ending]
    )
    parser.add_argument(
        "--disturbance",
        choices=[disturbance.value for disturbance in Disturbance],
        default=Disturbance.NONE.value,
    )
    options = vars(parser.parse_args())
    options["disturbance"] = Disturbance(options["disturbance"])
    options["stages"] = tuple(map(crash_forms.Stage, options["stages"]))
    options["endings"] = tuple(map(crash_forms.Ending, options["endings"]))
    options["parts"] = PARTS[: options["parts"]]
    logs = options.pop("logs")
    first, count = options.pop("seed"), options.pop("seeds")
    for seed in range(first, first + count):
        with contextlib.ExitStack() as stack:
            folder = pathlib.Path(
                stack.enter_context(tempfile.TemporaryDirectory())
            )
            if logs is not None:
                folder = logs / f"seed-{seed}"
                folder.mkdir(parents=True, exist_ok=True)
            result = asyncio.run(play(seed, folder, **options))
            print(f"seed {seed}:", describe(result), flush=True)


if __name__ == "__main__":
    main()
