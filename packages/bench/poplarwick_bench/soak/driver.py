"""Brings a soak's faults and planned work about."""

from __future__ import annotations

import asyncio
import itertools
import math
import time
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
from typing import Any

import aiohttp

from poplarwick_bench import proxy
from poplarwick_bench.soak import callers
from poplarwick_bench.soak import checks
from poplarwick_bench.soak import fleet
from poplarwick_bench.soak import records
from poplarwick_bench.soak import schedule
from poplarwick_standins import platform_calls
from poplarwick_standins import platform_documents as documents
from poplarwick_standins import platform_replica

SLOW_S = 0.25
"""Time that each call takes at a slow store."""

LATE_S = 1.5
"""Time after which a write that had no answer takes effect."""

DELAY_S = 0.03
JITTER_S = 0.05
"""Time added to each piece on a slow link."""

LINK_RULES = {
    schedule.Kind.STORE_REFUSES_ONE: proxy.Rules(refuses_connections=True),
    schedule.Kind.STORE_SILENT_TO_ONE: proxy.Rules(is_stalled=True),
    schedule.Kind.STORE_UNHEARD_BY_ONE: proxy.Rules(
        dropped_directions=frozenset({proxy.Direction.ANSWER})
    ),
    schedule.Kind.LINK_DELAY: proxy.Rules(delay_s=DELAY_S, jitter_s=JITTER_S),
    schedule.Kind.LINK_RESET: proxy.Rules(),
    schedule.Kind.LINK_STALL: proxy.Rules(is_stalled=True),
    schedule.Kind.LINK_ONE_WAY: proxy.Rules(
        dropped_directions=frozenset({proxy.Direction.ANSWER})
    ),
}
"""What a link does while a fault lasts."""

RESETTING = frozenset(
    {schedule.Kind.STORE_REFUSES_ONE, schedule.Kind.LINK_RESET}
)
"""Faults that begin with a reset of all connections of a link."""

SPOILT = (
    platform_replica.Fault.CUT_INSIDE_EVENT,
    platform_replica.Fault.CUT_BEFORE_END,
    platform_replica.Fault.SKIP_EVENT,
    platform_replica.Fault.OTHER_REQUEST,
    platform_replica.Fault.UNSIGNED,
    platform_replica.Fault.ENCODED,
    platform_replica.Fault.BARE_503,
    platform_replica.Fault.RESET_WITHOUT_LENGTH,
    platform_replica.Fault.ERROR,
)
"""What an endpoint that spoils answers does to the next ones, in turn."""

PROBE_DEADLINE_S = 2.0
"""How long the operator's own calls wait."""

LEAVE_EXTRA_S = 1.0
"""Time that a leaving endpoint serves after its bound."""

GRACE_S = 8.0
"""Time that an instance has for ending (the platform's settings)."""


class Driver:
    """Brings faults about and undoes them.

    Args:
        system: The system.
    """

    def __init__(self, system: fleet.Fleet) -> None:
        self._system = system
        self._record = system.record
        self._numbers = itertools.count(1)
        self._stopping = asyncio.Lock()
        kind = schedule.Kind
        self._actions: dict[
            schedule.Kind,
            Callable[[schedule.Fault], Coroutine[Any, Any, None]],
        ] = {
            kind.INSTANCE_KILL: self._kill_one,
            kind.ALL_KILL: self._kill_all,
            kind.INSTANCE_PAUSE: self._pause,
            kind.INSTANCE_STOP: self._stop,
            kind.SETTINGS_CHANGE: self._change_settings,
            kind.STORE_DOWN: self._harm_store,
            kind.STORE_SLOW: self._harm_store,
            kind.STORE_LOSES_ANSWERS: self._harm_store,
            kind.STORE_ACTS_LATE: self._harm_store,
            kind.STORE_FORGETS: self._harm_store,
            kind.STORE_REFUSES_ONE: self._cut_from_store,
            kind.STORE_SILENT_TO_ONE: self._cut_from_store,
            kind.STORE_UNHEARD_BY_ONE: self._cut_from_store,
            kind.ENDPOINT_CRASH: self._crash_endpoint,
            kind.ENDPOINT_SILENT: self._spoil_endpoint,
            kind.ENDPOINT_SPOILS: self._spoil_endpoint,
            kind.ENDPOINT_COLD: self._turn_cold,
            kind.LINK_DELAY: self._harm_link,
            kind.LINK_RESET: self._harm_link,
            kind.LINK_STALL: self._harm_link,
            kind.LINK_ONE_WAY: self._harm_link,
            kind.ENDPOINT_LEAVES: self._take_away_endpoint,
            kind.DOMAIN_OUT: self._take_out_domain,
            kind.CONFIGURATION_CHANGE: self._change_routes,
            kind.KEY_TAKEN_AWAY: self._change_keys,
        }

    async def run(self, faults: Sequence[schedule.Fault]) -> None:
        """Brings all faults about at their times; returns after the last."""
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                group.create_task(self._bring_about(fault))

    async def _bring_about(self, fault: schedule.Fault) -> None:
        await asyncio.sleep(fault.at_s)
        await self._actions[fault.kind](fault)

    def _choose_instance(self, fault: schedule.Fault) -> fleet.Instance:
        instances = self._system.instances
        return instances[fault.target % len(instances)]

    def _choose_endpoint(self, fault: schedule.Fault) -> fleet.Endpoint:
        endpoints = self._system.endpoints
        return endpoints[fault.target % len(endpoints)]

    def _interrupt(
        self, target: str, *, is_planned: bool = False
    ) -> records.Interruption:
        noted = records.Interruption(
            target, time.monotonic(), math.inf, is_planned
        )
        self._record.interruptions.append(noted)
        return noted

    async def _kill_one(self, fault: schedule.Fault) -> None:
        await self._kill([self._choose_instance(fault)])

    async def _kill_all(self, fault: schedule.Fault) -> None:
        del fault
        self._record.killed_all_at_s = time.monotonic()
        await self._kill(self._system.instances)

    async def _kill(self, instances: Sequence[fleet.Instance]) -> None:
        hit = [i for i in instances if i.is_meant_to_run]
        noted = [self._interrupt(instance.name) for instance in hit]
        for instance in hit:
            instance.is_meant_to_run = False
        await asyncio.gather(*(instance.node.kill() for instance in hit))
        await asyncio.gather(*(self._system.restart_instance(i) for i in hit))
        for interruption in noted:
            interruption.ends_at_s = time.monotonic()

    async def _pause(self, fault: schedule.Fault) -> None:
        instance = self._choose_instance(fault)
        if not instance.is_meant_to_run:
            return
        noted = self._interrupt(instance.name)
        instance.node.pause()
        await asyncio.sleep(fault.lasts_s)
        instance.node.resume()
        noted.ends_at_s = time.monotonic()

    async def _stop(self, fault: schedule.Fault) -> None:
        # Operators stop one instance after the other.
        async with self._stopping:
            instance = self._choose_instance(fault)
            if not instance.is_meant_to_run:
                return
            instance.is_meant_to_run = False
            noted = self._interrupt(instance.name, is_planned=True)
            instance.node.resume()
            instance.node.terminate()
            if await instance.node.wait(GRACE_S) is None:
                noted.is_planned = False
                await instance.node.kill()
            await self._system.restart_instance(instance)
            noted.ends_at_s = time.monotonic()

    async def _change_settings(self, fault: schedule.Fault) -> None:
        instance = self._choose_instance(fault)
        noted = self._interrupt(instance.name, is_planned=True)
        self._system.write_settings(
            instance, cold_slack=checks.COLD_SLACK - fault.target % 2
        )
        if instance.is_meant_to_run and fault.target % 3:
            instance.node.send_reload_signal()
        await asyncio.sleep(fault.lasts_s)
        noted.ends_at_s = time.monotonic()

    async def _harm_store(self, fault: schedule.Fault) -> None:
        store, kind = self._system.store, schedule.Kind
        noted = self._interrupt(records.STORE)
        match fault.kind:
            case kind.STORE_DOWN:
                store.is_down = True
            case kind.STORE_SLOW:
                store.delay_s = SLOW_S
            case kind.STORE_LOSES_ANSWERS:
                store.drops_responses = True
            case kind.STORE_ACTS_LATE:
                store.late_write_delay_s = LATE_S
            case _:
                store.compact()
        await asyncio.sleep(fault.lasts_s)
        match fault.kind:
            case kind.STORE_DOWN:
                store.is_down = False
            case kind.STORE_SLOW:
                store.delay_s = 0.0
            case kind.STORE_LOSES_ANSWERS:
                store.drops_responses = False
            case kind.STORE_ACTS_LATE:
                store.late_write_delay_s = 0.0
            case _:
                pass
        noted.ends_at_s = time.monotonic()

    async def _cut_from_store(self, fault: schedule.Fault) -> None:
        instance = self._choose_instance(fault)
        await self._spoil_link(instance.to_store, instance.name, fault)

    async def _harm_link(self, fault: schedule.Fault) -> None:
        endpoint = self._choose_endpoint(fault)
        await self._spoil_link(endpoint.link, endpoint.replica.name, fault)

    async def _spoil_link(
        self, link: proxy.Proxy, target: str, fault: schedule.Fault
    ) -> None:
        rules = LINK_RULES[fault.kind]
        noted = self._interrupt(target)
        link.apply(rules)
        if fault.kind in RESETTING:
            link.reset()
        await asyncio.sleep(fault.lasts_s)
        link.apply(proxy.Rules())
        if rules.dropped_directions:
            # Bytes were lost, so what is left of a connection is worthless.
            link.reset()
        noted.ends_at_s = time.monotonic()

    async def _crash_endpoint(self, fault: schedule.Fault) -> None:
        endpoint = self._choose_endpoint(fault)
        if not endpoint.is_up:
            return
        noted = self._interrupt(endpoint.replica.name)
        endpoint.is_up = False
        name = endpoint.replica.name
        await endpoint.replica.crash()
        await asyncio.sleep(fault.lasts_s)
        if fault.target % 2:
            # A new start has a new id; the old entry lapses.
            await self._system.store.remove(
                platform_calls.make_endpoint_key(name)
            )
        await self._system.start_replica(endpoint)
        noted.ends_at_s = time.monotonic()

    async def _turn_cold(self, fault: schedule.Fault) -> None:
        endpoint = self._choose_endpoint(fault)
        if endpoint.is_up:
            self._system.turn_cold(endpoint)
            await self._system.write_entry(endpoint)

    async def _spoil_endpoint(self, fault: schedule.Fault) -> None:
        endpoint = self._choose_endpoint(fault)
        replica = endpoint.replica
        noted = self._interrupt(replica.name)
        if fault.kind is schedule.Kind.ENDPOINT_SILENT:
            replica.fault = platform_replica.Fault.SILENT
        else:
            first = fault.target % len(SPOILT)
            replica.fault_plan = [*SPOILT[first:], *SPOILT[:first]]
        await asyncio.sleep(fault.lasts_s)
        replica.fault = platform_replica.Fault.NONE
        replica.fault_plan = []
        noted.ends_at_s = time.monotonic()

    async def _take_away_endpoint(self, fault: schedule.Fault) -> None:
        endpoint = self._choose_endpoint(fault)
        if not endpoint.is_up or endpoint.entry_state != "ready":
            return
        replica = endpoint.replica
        noted = self._interrupt(replica.name, is_planned=True)
        endpoint.entry_state = "draining"
        at_s = await self._system.write_entry(endpoint)
        self._note(records.ChangeKind.ENDPOINT_LEAVES, replica.name, at_s)
        await asyncio.sleep(checks.DRAIN_S + LEAVE_EXTRA_S)
        # Work in progress ends before the endpoint does.
        await replica.wait_until_idle()
        if endpoint.replica is replica and endpoint.is_up:
            endpoint.is_up = False
            await self._system.store.remove(
                platform_calls.make_endpoint_key(replica.name)
            )
            await replica.crash()
            await self._system.start_replica(endpoint)
        noted.ends_at_s = time.monotonic()

    async def _take_out_domain(self, fault: schedule.Fault) -> None:
        domain = fleet.DOMAINS[fault.target % len(fleet.DOMAINS)]
        key = platform_calls.make_evacuation_key(domain)
        if key in self._system.store.items:
            return
        await self._system.store.put(key, {})
        self._note(records.ChangeKind.DOMAIN_OUT, domain, time.monotonic())
        await asyncio.sleep(checks.EVACUATION_S + fault.lasts_s)
        self._note(records.ChangeKind.DOMAIN_BACK, domain, time.monotonic())
        await self._system.store.remove(key)

    async def _change_routes(self, fault: schedule.Fault) -> None:
        """Adds a route, calls it at each instance, and removes it."""
        name = f"added-{next(self._numbers)}"
        system = self._system
        route = documents.make_route(name, "idempotent", fleet.PLAIN)
        system.routes.append(route)
        at_s = await system.write_configuration()
        self._note(records.ChangeKind.ROUTE_ADDED, name, at_s)
        await self._probe(name)
        await asyncio.sleep(checks.CONFIGURATION_S + fault.lasts_s)
        await self._probe(name)
        system.routes.remove(route)
        self._note(records.ChangeKind.ROUTE_REMOVED, name, time.monotonic())
        await system.write_configuration()
        await asyncio.sleep(checks.CONFIGURATION_S + fault.lasts_s)
        await self._probe(name)

    async def _change_keys(self, fault: schedule.Fault) -> None:
        """Adds a key, takes it away again and goes on calling with it."""
        system = self._system
        key = f"key-{next(self._numbers)}"
        system.keys = [*system.keys, key]
        await system.write_configuration()
        await asyncio.sleep(checks.CONFIGURATION_S + fault.lasts_s)
        system.keys = [known for known in system.keys if known != key]
        at_s = await system.write_configuration()
        self._note(records.ChangeKind.KEY_TAKEN_AWAY, key, at_s)
        await asyncio.sleep(checks.CONFIGURATION_S + fault.lasts_s)
        await self._probe("lookup", key)

    async def _probe(self, route: str, key: str = documents.API_KEY) -> None:
        async with aiohttp.ClientSession() as session:
            for instance in self._system.instances:
                request = f"p{next(self._numbers)}"
                call = records.Call(
                    request=request,
                    kind=records.CallKind.PROBE,
                    instance=instance.name,
                    start=instance.start,
                    route=route,
                    key=key,
                    body=f"{request} asks".encode(),
                    sent_at_s=time.monotonic(),
                    deadline_s=PROBE_DEADLINE_S,
                )
                await callers.make_call(
                    self._record, session, instance, call, None, 0
                )

    def _note(
        self, kind: records.ChangeKind, subject: str, at_s: float
    ) -> None:
        self._record.changes.append(records.Change(kind, subject, at_s))
