"""Instances of two versions, which serve requests together."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import itertools
import re
import time

import aiohttp

from poplarwick_bench.soak import callers
from poplarwick_bench.soak import checks
from poplarwick_bench.soak import fleet
from poplarwick_bench.soak import records
from poplarwick_standins import platform_documents as documents

WAIT_S = 120
"""Time limit for each step; a step takes seconds on an idle machine."""

DEADLINE_S = 60
"""Time limit of a request, so that a busy machine does not end one."""

POLL_PERIOD_S = 0.1
CALLERS = 6
EVENTS = 8
EVENT_INTERVAL_S = 0.1
"""A stream lasts 0.8 s, so that some run whenever an instance stops."""

SERVED_CALLS = 6
"""Calls through each instance, in each state of the fleet."""

KINDS = (
    (records.CallKind.SHORT, 5_000, EVENTS),
    (records.CallKind.ONCE, None, 0),
    (records.CallKind.LOOKUP, None, 0),
)

PLACER_EVENT = re.compile(
    r" event=(placer_followed|placer_lost) .*?placer=(\S+)(?: epoch=(\d+))?"
)
HANDED_OVER = re.compile(r" event=tenure_handed_over .*?peer=(\S+)")
PLACED = re.compile(r" event=request_placed .*?placer=(\S+)")


class MixedFleet:
    """Runs instances of two versions under load while its context is open.

    Args:
        folder: Folder of settings and logs.
        versions: Both checkouts by name.

    Attributes:
        version_of: Version that each instance runs.
    """

    def __init__(self, folder, versions):
        self.record = records.Record()
        self.version_of = {}
        self._versions = versions
        self._system = fleet.Fleet(
            folder,
            self.record,
            instances=2,
            launcher=versions["previous"].launcher,
            bounds={"grace_s": WAIT_S},
        )
        # Only the order of events is tested, so no request is ever late.
        self._system.routes = [
            documents.make_route(
                kind.value,
                route_kind,
                service,
                timeout_ms=DEADLINE_S * 1_000,
                target_latency_ms=DEADLINE_S * 500,
                gap_target_ms=DEADLINE_S * 500,
            )
            for kind, route_kind, service in (
                (records.CallKind.SHORT, "streaming", fleet.POOL),
                (records.CallKind.ONCE, "non_idempotent", fleet.PLAIN),
                (records.CallKind.LOOKUP, "idempotent", fleet.PLAIN),
            )
        ]
        self._in_rotation = []
        self._killed = set()
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        await self._stack.enter_async_context(self._system)
        for endpoint in self._system.endpoints:
            endpoint.replica.event_interval_s = EVENT_INTERVAL_S
        await self._system.add_instances(2, self._versions["present"].launcher)
        for number, instance in enumerate(self._system.instances):
            version = "previous" if number < 2 else "present"
            self.version_of[instance.name] = version
            self._in_rotation.append(instance)
        self._stop = asyncio.Event()
        self._load = asyncio.gather(
            *(self._call_repeatedly(number) for number in range(CALLERS))
        )
        return self

    async def __aexit__(self, kind, error, trace):
        self._stop.set()
        try:
            await self._load
            async with asyncio.timeout(WAIT_S):
                while self._system.list_unreleased_memory():
                    await asyncio.sleep(POLL_PERIOD_S)
        finally:
            await self._stack.aclose()

    @property
    def names(self):
        """Names of the instances by the version that they run."""
        names = collections.defaultdict(set)
        for name, version in self.version_of.items():
            names[version].add(name)
        return names

    @property
    def stored(self):
        """Entries of the store that instances have written."""
        return [
            [key, item.value.hex()]
            for key, item in sorted(self._system.store.items.items())
            if key.startswith("poplarwick/")
        ]

    async def wait_for_placer(self):
        """Waits until all running instances follow the same one of them."""
        async with asyncio.timeout(WAIT_S):
            while True:
                running = [
                    i for i in self._system.instances if i.node.is_running
                ]
                followed = {self._read_followed(i) for i in running}
                if len(followed) == 1:
                    event, placer, _ = followed.pop()
                    is_running = placer in {i.name for i in running}
                    if event == "placer_followed" and is_running:
                        return placer
                await asyncio.sleep(POLL_PERIOD_S)

    async def move_placer(self, version):
        """Stops placers until an instance of a version takes over.

        Instances are stopped as in a release and started again afterwards.

        Returns:
            Names of the instance that handed the tenure over and of its
            successor, for each of them.
        """
        stopped = []
        handovers = []
        placer = await self.wait_for_placer()
        while placer not in self.names[version]:
            instance = self._find(placer)
            await self.stop(instance)
            stopped.append(instance)
            log = instance.node.log.read_text()
            handovers += [(placer, n) for n in HANDED_OVER.findall(log)]
            placer = await self.wait_for_placer()
        for instance in stopped:
            await self.start(instance, self.version_of[instance.name])
        return handovers

    async def stop(self, instance):
        """Stops an instance in order, while it answers requests."""
        self._in_rotation.remove(instance)
        instance.is_expected_to_run = False
        instance.node.terminate()
        assert await instance.node.wait(WAIT_S) == 0

    async def kill_placer(self):
        """Kills the placer; only requests on its own connections may fail."""
        instance = self._find(await self.wait_for_placer())
        self._in_rotation.remove(instance)
        instance.is_expected_to_run = False
        self._killed.add((instance.name, instance.incarnation))
        await instance.node.kill()
        await self.wait_for_placer()
        return instance

    async def start(self, instance, version):
        """Starts a stopped instance in a version."""
        launcher = self._versions[version].launcher
        await self._system.replace_instance(instance, launcher)
        self.version_of[instance.name] = version
        self._in_rotation.append(instance)
        await self.wait_for_placer()

    async def replace(self, name, version):
        """Replaces an instance by one of another version."""
        instance = self._find(name)
        await self.stop(instance)
        await self.start(instance, version)

    async def serve_through_all(self):
        """Waits until each instance has served requests that a placer placed.

        Returns:
            The placer.
        """
        placer = await self.wait_for_placer()
        since = len(self.record.calls)
        logged = {
            i.name: len(i.node.log.read_text()) for i in self._in_rotation
        }
        async with asyncio.timeout(WAIT_S):
            while not all(
                self._has_served(instance, since, logged[instance.name])
                for instance in self._in_rotation
            ):
                await asyncio.sleep(POLL_PERIOD_S)
        return placer

    def find_problems(self):
        """Returns lost requests, violated invariants and rejected messages."""
        problems = [
            f"lost: {call}"
            for call in self.record.calls
            if (call.instance, call.incarnation) not in self._killed
            and (call.status, call.outcome, call.problem)
            != (200, records.Outcome.WHOLE, None)
        ]
        problems += checks.find_violations(self.record, checks.SAFETY)
        for log in self._system.folder.glob("*.log"):
            problems += [
                line
                for line in log.read_text().splitlines()
                if " event=message_rejected " in line
            ]
        return problems

    def _find(self, name):
        return next(i for i in self._system.instances if i.name == name)

    def _read_followed(self, instance):
        found = PLACER_EVENT.findall(instance.node.log.read_text())
        return found[-1] if found else None

    def _has_served(self, instance, since, logged):
        served = [
            call.kind
            for call in self.record.calls[since:]
            if call.instance == instance.name and call.status == 200
        ]
        placers = PLACED.findall(instance.node.log.read_text()[logged:])
        return (
            len(served) >= SERVED_CALLS
            and len(set(served)) == len(KINDS)
            and bool(set(placers) - {"own"})
        )

    async def _call_repeatedly(self, number):
        for count in itertools.count():
            if self._stop.is_set():
                return
            turn = number + count
            instance = self._in_rotation[turn % len(self._in_rotation)]
            kind, tokens, events = KINDS[count % len(KINDS)]
            request_id = f"r{number}-{count}"
            call = records.Call(
                request_id=request_id,
                kind=kind,
                instance=instance.name,
                incarnation=instance.incarnation,
                route=kind.value,
                api_key=documents.API_KEY,
                body=f"{request_id} asks".encode(),
                sent_at_s=time.monotonic(),
                deadline_s=DEADLINE_S,
            )
            async with aiohttp.ClientSession() as session:
                await callers.make_call(
                    self.record, session, instance, call, tokens, events
                )
