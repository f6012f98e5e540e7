"""Injects the faults and performs the planned operations of a soak."""

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

STORE_DELAY_S = 0.25
"""Time that each call takes while the store is slow."""

RESTORE_S = 0.3
"""Time for which the store is away while it is restored."""

LATE_WRITE_DELAY_S = 1.5
"""Time after which an unanswered write takes effect."""

LINK_DELAY_S = 0.03
LINK_JITTER_S = 0.05
"""Delay and jitter added to each chunk on a slow link."""

FAULT_RULES = {
    schedule.Kind.STORE_REFUSES_ONE: proxy.Rules(refuses_connections=True),
    schedule.Kind.STORE_SILENT_TO_ONE: proxy.Rules(is_stalled=True),
    schedule.Kind.STORE_UNHEARD_BY_ONE: proxy.Rules(
        dropped_directions=frozenset({proxy.Direction.ANSWER})
    ),
    schedule.Kind.LINK_DELAY: proxy.Rules(
        delay_s=LINK_DELAY_S, jitter_s=LINK_JITTER_S
    ),
    schedule.Kind.LINK_RESET: proxy.Rules(),
    schedule.Kind.LINK_STALL: proxy.Rules(is_stalled=True),
    schedule.Kind.LINK_ONE_WAY: proxy.Rules(
        dropped_directions=frozenset({proxy.Direction.ANSWER})
    ),
}
"""Proxy rules that apply to a link for the duration of a fault."""

RESETTING_KINDS = frozenset(
    {schedule.Kind.STORE_REFUSES_ONE, schedule.Kind.LINK_RESET}
)
"""Faults that start with a reset of all connections of a link."""

RESPONSE_FAULTS = (
    platform_replica.Fault.CUT_INSIDE_EVENT,
    platform_replica.Fault.CUT_BEFORE_END,
    platform_replica.Fault.SKIP_EVENT,
    platform_replica.Fault.OTHER_REQUEST,
    platform_replica.Fault.EARLIER_REFUSAL,
    platform_replica.Fault.UNSIGNED,
    platform_replica.Fault.ENCODED,
    platform_replica.Fault.BARE_503,
    platform_replica.Fault.RESET_WITHOUT_LENGTH,
    platform_replica.Fault.ERROR,
)
"""Faults that an endpoint applies to successive responses, in rotation."""

CRASHING_S = 8.0
"""Time for which requests that crash endpoints come, in addition to the
duration of the fault."""

CRASHING_PERIOD_S = 0.2
"""Time between two such requests."""

CRASHING_KINDS = (
    records.CallKind.SHORT,
    records.CallKind.LOOKUP,
    records.CallKind.ONCE,
)
"""Kinds of requests that crash endpoints, in rotation."""

CRASHING_PROMPT_TOKENS = 2_000
CRASHING_EVENTS = 4

LIMITS_PER_S = (0.5, 1.0, 1.7, 3.0)
"""Rates that endpoints in need name, in rotation."""

LIMIT_S = 9.0
"""Time for which they name it, in addition to the duration of the fault."""

CUT_S = 7.0
"""Time for which instances are cut off from endpoints, in addition to the
duration of the fault."""

SLOW_CALLERS = 20
"""Callers of one instance that read slowly at the same time."""

SLOW_EVENTS = 60
"""Events that each of them asks for: 1.2 MB."""

UNREAD_S = 2.5
"""Time for which they do not read, in addition to the duration of the fault;
longer than `fleet.UNREAD_LIMIT_S`."""

SLOW_DEADLINE_S = 8.0
"""Deadline of their calls."""

REPLICA_RESTART_S = 1.0
"""Time after which a crashed engine is replaced."""

PROBE_DEADLINE_S = 2.0
"""Deadline of the calls that verify a configuration change."""

DRAIN_EXTRA_S = 1.0
"""Time that a draining endpoint keeps serving after its limit."""

STOP_TIMEOUT_S = 8.0
"""Time that an instance has to stop (from the platform's settings)."""


class FaultInjector:
    """Injects faults and reverts them.

    Args:
        system: The system under test.
    """

    def __init__(self, system: fleet.Fleet) -> None:
        self._system = system
        self._record = system.record
        self._numbers = itertools.count(1)
        self._stop_lock = asyncio.Lock()
        kind = schedule.Kind
        self._actions: dict[
            schedule.Kind,
            Callable[[schedule.Fault], Coroutine[Any, Any, None]],
        ] = {
            kind.INSTANCE_KILL: self._kill_instance,
            kind.ALL_KILL: self._kill_all_instances,
            kind.INSTANCE_PAUSE: self._pause_instance,
            kind.INSTANCE_STOP: self._stop_instance,
            kind.SETTINGS_CHANGE: self._change_settings,
            kind.STORE_DOWN: self._inject_store_fault,
            kind.STORE_SLOW: self._inject_store_fault,
            kind.STORE_LOSES_ANSWERS: self._inject_store_fault,
            kind.STORE_ACTS_LATE: self._inject_store_fault,
            kind.STORE_FORGETS: self._inject_store_fault,
            kind.STORE_RESTORED: self._restore_store,
            kind.STORE_REFUSES_ONE: self._inject_store_link_fault,
            kind.STORE_SILENT_TO_ONE: self._inject_store_link_fault,
            kind.STORE_UNHEARD_BY_ONE: self._inject_store_link_fault,
            kind.ENDPOINT_CRASH: self._crash_endpoint,
            kind.ENDPOINT_SILENT: self._inject_response_faults,
            kind.ENDPOINT_SPOILS: self._inject_response_faults,
            kind.ENDPOINT_COLD: self._restart_cold_start,
            kind.LINK_DELAY: self._inject_endpoint_link_fault,
            kind.LINK_RESET: self._inject_endpoint_link_fault,
            kind.LINK_STALL: self._inject_endpoint_link_fault,
            kind.LINK_ONE_WAY: self._inject_endpoint_link_fault,
            kind.ENDPOINT_LEAVES: self._drain_endpoint,
            kind.DOMAIN_OUT: self._drain_domain,
            kind.CONFIGURATION_CHANGE: self._change_routes,
            kind.KEY_TAKEN_AWAY: self._change_api_keys,
            kind.CRASHING_PART: self._send_crashing_part,
            kind.CRASHING_REQUEST: self._send_crashing_request,
            kind.ENDPOINT_LIMITED: self._limit_endpoint,
            kind.INSTANCES_CUT_OFF: self._cut_instances_off,
            kind.CALLERS_READ_SLOWLY: self._read_slowly,
        }

    async def run(self, faults: Sequence[schedule.Fault]) -> None:
        """Injects all faults at their start times and waits for their end.

        Args:
            faults: The schedule.
        """
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                group.create_task(self._inject(fault))

    async def _inject(self, fault: schedule.Fault) -> None:
        await asyncio.sleep(fault.at_s)
        await self._actions[fault.kind](fault)

    def _choose_instance(self, fault: schedule.Fault) -> fleet.Instance:
        instances = self._system.instances
        return instances[fault.target % len(instances)]

    def _choose_endpoint(self, fault: schedule.Fault) -> fleet.Endpoint:
        endpoints = self._system.endpoints
        return endpoints[fault.target % len(endpoints)]

    def _record_interruption(
        self, target: str, *, is_planned: bool = False
    ) -> records.Interruption:
        interruption = records.Interruption(
            target, time.monotonic(), math.inf, is_planned
        )
        self._record.interruptions.append(interruption)
        return interruption

    async def _kill_instance(self, fault: schedule.Fault) -> None:
        await self._kill([self._choose_instance(fault)])

    async def _kill_all_instances(self, fault: schedule.Fault) -> None:
        del fault
        self._record.killed_all_at_s = time.monotonic()
        await self._kill(self._system.instances)

    async def _kill(self, instances: Sequence[fleet.Instance]) -> None:
        killed = [i for i in instances if i.is_expected_to_run]
        interruptions = [
            self._record_interruption(instance.name) for instance in killed
        ]
        for instance in killed:
            instance.is_expected_to_run = False
        await asyncio.gather(*(instance.node.kill() for instance in killed))
        await asyncio.gather(
            *(self._system.restart_instance(i) for i in killed)
        )
        for interruption in interruptions:
            interruption.ends_at_s = time.monotonic()

    async def _pause_instance(self, fault: schedule.Fault) -> None:
        instance = self._choose_instance(fault)
        if not instance.is_expected_to_run:
            return
        interruption = self._record_interruption(instance.name)
        instance.node.pause()
        await asyncio.sleep(fault.duration_s)
        instance.node.resume()
        interruption.ends_at_s = time.monotonic()

    async def _stop_instance(self, fault: schedule.Fault) -> None:
        # Operators stop only one instance at a time.
        async with self._stop_lock:
            instance = self._choose_instance(fault)
            if not instance.is_expected_to_run:
                return
            instance.is_expected_to_run = False
            interruption = self._record_interruption(
                instance.name, is_planned=True
            )
            instance.node.resume()
            instance.node.terminate()
            if await instance.node.wait(STOP_TIMEOUT_S) is None:
                interruption.is_planned = False
                await instance.node.kill()
            await self._system.restart_instance(instance)
            interruption.ends_at_s = time.monotonic()

    async def _change_settings(self, fault: schedule.Fault) -> None:
        instance = self._choose_instance(fault)
        interruption = self._record_interruption(instance.name, is_planned=True)
        self._system.write_settings(
            instance, cold_slack=checks.COLD_SLACK - fault.target % 2
        )
        if instance.is_expected_to_run and fault.target % 3:
            instance.node.send_reload_signal()
        await asyncio.sleep(fault.duration_s)
        interruption.ends_at_s = time.monotonic()

    async def _inject_store_fault(self, fault: schedule.Fault) -> None:
        store, kind = self._system.store, schedule.Kind
        interruption = self._record_interruption(records.STORE)
        match fault.kind:
            case kind.STORE_DOWN:
                store.is_down = True
            case kind.STORE_SLOW:
                store.delay_s = STORE_DELAY_S
            case kind.STORE_LOSES_ANSWERS:
                store.drops_responses = True
            case kind.STORE_ACTS_LATE:
                store.late_write_delay_s = LATE_WRITE_DELAY_S
            case _:
                store.compact()
        await asyncio.sleep(fault.duration_s)
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
        interruption.ends_at_s = time.monotonic()

    async def _restore_store(self, fault: schedule.Fault) -> None:
        """Restores the store from a copy that was made some time before."""
        store = self._system.store
        copy = store.make_copy()
        await asyncio.sleep(fault.duration_s)
        interruption = self._record_interruption(records.STORE)
        evacuated = frozenset(
            domain
            for domain in fleet.DOMAINS
            if platform_calls.make_evacuation_key(domain) in store.items
        )
        store.is_down = True
        await asyncio.sleep(RESTORE_S)
        await store.restore(copy, keeps_leased=bool(fault.target % 2))
        store.is_down = False
        await self._system.write_again(evacuated)
        interruption.ends_at_s = time.monotonic()

    async def _inject_store_link_fault(self, fault: schedule.Fault) -> None:
        instance = self._choose_instance(fault)
        await self._inject_link_fault(
            instance.store_proxy, instance.name, fault
        )

    async def _inject_endpoint_link_fault(self, fault: schedule.Fault) -> None:
        endpoint = self._choose_endpoint(fault)
        await self._inject_link_fault(
            endpoint.link_proxy, endpoint.replica.name, fault
        )

    async def _inject_link_fault(
        self, link: proxy.Proxy, target: str, fault: schedule.Fault
    ) -> None:
        rules = FAULT_RULES[fault.kind]
        interruption = self._record_interruption(target)
        link.apply(rules)
        if fault.kind in RESETTING_KINDS:
            link.reset()
        await asyncio.sleep(fault.duration_s)
        link.apply(proxy.Rules())
        if rules.dropped_directions:
            # Bytes were dropped, so the open connections are unusable.
            link.reset()
        interruption.ends_at_s = time.monotonic()

    async def _crash_endpoint(self, fault: schedule.Fault) -> None:
        endpoint = self._choose_endpoint(fault)
        if not endpoint.is_up:
            return
        interruption = self._record_interruption(endpoint.replica.name)
        endpoint.is_up = False
        name = endpoint.replica.name
        await endpoint.replica.crash()
        await asyncio.sleep(fault.duration_s)
        if fault.target % 2:
            # A restarted endpoint has a new id; otherwise its old entry
            # stays until it expires.
            await self._system.store.remove(
                platform_calls.make_endpoint_key(name)
            )
        await self._system.replace_replica(endpoint)
        interruption.ends_at_s = time.monotonic()

    async def _limit_endpoint(self, fault: schedule.Fault) -> None:
        endpoint = self._choose_endpoint(fault)
        replica = endpoint.replica
        per_s = LIMITS_PER_S[fault.target % len(LIMITS_PER_S)]
        interruption = self._record_interruption(replica.name)
        replica.notice_headers = {
            **replica.notice_headers,
            platform_calls.LIMIT_HEADER: str(per_s),
        }
        begins_at_s = time.monotonic()
        await asyncio.sleep(LIMIT_S + fault.duration_s)
        replica.notice_headers = {
            name: value
            for name, value in replica.notice_headers.items()
            if name != platform_calls.LIMIT_HEADER
        }
        interruption.ends_at_s = time.monotonic()
        self._record.limit_spans.append(
            records.LimitSpan(
                replica.name, per_s, begins_at_s, interruption.ends_at_s
            )
        )

    async def _cut_instances_off(self, fault: schedule.Fault) -> None:
        """Resets all new connections of some instances to endpoints.

        In every other case their open connections live on.
        """
        instances = self._system.instances
        count = 1 + fault.target % (len(instances) - 1)
        first = fault.target % len(instances)
        chosen = (instances + instances)[first : first + count]
        hosts = {instance.ip for instance in chosen}
        begins_at_s = time.monotonic()
        interruption = self._record_interruption("links to endpoints")
        self._system.cut_hosts |= hosts
        if fault.target % 2:
            for endpoint in self._system.endpoints:
                endpoint.link_proxy.reset(hosts)
        await asyncio.sleep(CUT_S + fault.duration_s)
        self._system.cut_hosts -= hosts
        interruption.ends_at_s = time.monotonic()
        self._record.cut_spans.append(
            records.CutSpan(
                frozenset(instance.name for instance in chosen),
                begins_at_s,
                interruption.ends_at_s,
            )
        )

    async def _read_slowly(self, fault: schedule.Fault) -> None:
        """Sends requests to an instance whose responses are read late."""
        instance = self._choose_instance(fault)
        begins_at_s = time.monotonic()
        interruption = self._record_interruption("callers")
        reads_at_s = begins_at_s + UNREAD_S + fault.duration_s
        async with callers.make_slow_session() as session:
            await asyncio.gather(
                *(
                    self._call_slowly(session, instance, reads_at_s)
                    for _ in range(SLOW_CALLERS)
                )
            )
        interruption.ends_at_s = time.monotonic()
        self._record.slow_spans.append(
            records.SlowSpan(instance.name, begins_at_s, interruption.ends_at_s)
        )

    async def _call_slowly(
        self,
        session: aiohttp.ClientSession,
        instance: fleet.Instance,
        reads_at_s: float,
    ) -> None:
        request_id = f"{fleet.SLOW_CALLER_PREFIX}{next(self._numbers)}"
        call = records.Call(
            request_id=request_id,
            kind=records.CallKind.SHORT,
            instance=instance.name,
            incarnation=instance.incarnation,
            route=records.CallKind.SHORT.value,
            api_key=documents.API_KEY,
            body=f"{request_id} asks".encode(),
            sent_at_s=time.monotonic(),
            deadline_s=SLOW_DEADLINE_S,
            reads_at_s=reads_at_s,
        )
        await callers.make_call(
            self._record,
            session,
            instance,
            call,
            CRASHING_PROMPT_TOKENS,
            SLOW_EVENTS,
        )

    async def _send_crashing_part(self, fault: schedule.Fault) -> None:
        """Sends requests with a part that crashes engines."""
        part = f"bad{next(self._numbers):05x}"
        parts = self._system.crashing_parts
        interruption = self._record_interruption(part)
        parts.add(part)
        await self._send_while_crashing(
            fault, lambda: self._call_crashing(records.CallKind.SHORT, part)
        )
        parts.discard(part)
        interruption.ends_at_s = time.monotonic()

    async def _send_crashing_request(self, fault: schedule.Fault) -> None:
        """Sends copies of a request that crashes endpoints."""
        body = f"crash {next(self._numbers)}"
        bodies = self._system.crashing_bodies
        kind = CRASHING_KINDS[fault.target % len(CRASHING_KINDS)]
        interruption = self._record_interruption(body)
        bodies.add(body.encode())
        await self._send_while_crashing(
            fault, lambda: self._call_crashing(kind, body=body.encode())
        )
        bodies.discard(body.encode())
        interruption.ends_at_s = time.monotonic()

    async def _send_while_crashing(
        self,
        fault: schedule.Fault,
        make_call: Callable[[], Coroutine[Any, Any, None]],
    ) -> None:
        """Sends requests for a time and replaces the endpoints that crash."""
        until_s = time.monotonic() + CRASHING_S + fault.duration_s
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < until_s:
                group.create_task(make_call())
                for endpoint in self._system.endpoints:
                    if endpoint.is_up and not endpoint.replica.is_open:
                        endpoint.is_up = False
                        group.create_task(self._replace_crashed(endpoint))
                await asyncio.sleep(CRASHING_PERIOD_S)

    async def _replace_crashed(self, endpoint: fleet.Endpoint) -> None:
        await asyncio.sleep(REPLICA_RESTART_S)
        await self._system.replace_replica(endpoint)

    async def _call_crashing(
        self, kind: records.CallKind, part: str = "", body: bytes = b""
    ) -> None:
        number = next(self._numbers)
        instance = self._system.instances[number % len(self._system.instances)]
        is_stream = kind is records.CallKind.SHORT
        call = records.Call(
            request_id=f"b{number}",
            kind=kind,
            instance=instance.name,
            incarnation=instance.incarnation,
            route=kind.value,
            api_key=documents.API_KEY,
            body=body or f"b{number} asks".encode(),
            sent_at_s=time.monotonic(),
            deadline_s=PROBE_DEADLINE_S,
            part=part,
        )
        async with aiohttp.ClientSession() as session:
            await callers.make_call(
                self._record,
                session,
                instance,
                call,
                CRASHING_PROMPT_TOKENS if is_stream else None,
                CRASHING_EVENTS if is_stream else 0,
            )

    async def _restart_cold_start(self, fault: schedule.Fault) -> None:
        endpoint = self._choose_endpoint(fault)
        if endpoint.is_up:
            self._system.mark_cold(endpoint)
            await self._system.write_entry(endpoint)

    async def _inject_response_faults(self, fault: schedule.Fault) -> None:
        endpoint = self._choose_endpoint(fault)
        replica = endpoint.replica
        interruption = self._record_interruption(replica.name)
        if fault.kind is schedule.Kind.ENDPOINT_SILENT:
            replica.fault = platform_replica.Fault.SILENT
        else:
            first = fault.target % len(RESPONSE_FAULTS)
            replica.fault_plan = [
                *RESPONSE_FAULTS[first:],
                *RESPONSE_FAULTS[:first],
            ]
        await asyncio.sleep(fault.duration_s)
        replica.fault = platform_replica.Fault.NONE
        replica.fault_plan = []
        interruption.ends_at_s = time.monotonic()

    async def _drain_endpoint(self, fault: schedule.Fault) -> None:
        endpoint = self._choose_endpoint(fault)
        if not endpoint.is_up or endpoint.entry_state != "ready":
            return
        replica = endpoint.replica
        interruption = self._record_interruption(replica.name, is_planned=True)
        endpoint.entry_state = "draining"
        replica.notice_headers = platform_calls.LEAVING_HEADERS
        at_s = await self._system.write_entry(endpoint)
        self._record_change(
            records.ChangeKind.ENDPOINT_LEAVES, replica.name, at_s
        )
        await asyncio.sleep(checks.DRAIN_S + DRAIN_EXTRA_S)
        # Requests in progress end before the endpoint stops.
        await replica.wait_until_idle()
        if endpoint.replica is replica and endpoint.is_up:
            endpoint.is_up = False
            await self._system.store.remove(
                platform_calls.make_endpoint_key(replica.name)
            )
            await replica.crash()
            await self._system.replace_replica(endpoint)
        interruption.ends_at_s = time.monotonic()

    async def _drain_domain(self, fault: schedule.Fault) -> None:
        domain = fleet.DOMAINS[fault.target % len(fleet.DOMAINS)]
        key = platform_calls.make_evacuation_key(domain)
        if key in self._system.store.items:
            return
        await self._system.store.put(key, {})
        self._record_change(
            records.ChangeKind.DOMAIN_OUT, domain, time.monotonic()
        )
        await asyncio.sleep(checks.EVACUATION_S + fault.duration_s)
        self._record_change(
            records.ChangeKind.DOMAIN_BACK, domain, time.monotonic()
        )
        await self._system.store.remove(key)

    async def _change_routes(self, fault: schedule.Fault) -> None:
        """Adds a route, calls it at each instance and removes it."""
        name = f"added-{next(self._numbers)}"
        system = self._system
        route = documents.make_route(name, "idempotent", fleet.PLAIN)
        system.routes.append(route)
        at_s = await system.write_configuration()
        self._record_change(records.ChangeKind.ROUTE_ADDED, name, at_s)
        await self._probe(name)
        await asyncio.sleep(checks.CONFIGURATION_S + fault.duration_s)
        await self._probe(name)
        system.routes.remove(route)
        self._record_change(
            records.ChangeKind.ROUTE_REMOVED, name, time.monotonic()
        )
        await system.write_configuration()
        await asyncio.sleep(checks.CONFIGURATION_S + fault.duration_s)
        await self._probe(name)

    async def _change_api_keys(self, fault: schedule.Fault) -> None:
        """Adds an API key, removes it and keeps sending requests with it."""
        system = self._system
        api_key = f"key-{next(self._numbers)}"
        system.api_keys = [*system.api_keys, api_key]
        await system.write_configuration()
        await asyncio.sleep(checks.CONFIGURATION_S + fault.duration_s)
        system.api_keys = [
            known for known in system.api_keys if known != api_key
        ]
        at_s = await system.write_configuration()
        self._record_change(records.ChangeKind.KEY_TAKEN_AWAY, api_key, at_s)
        await asyncio.sleep(checks.CONFIGURATION_S + fault.duration_s)
        await self._probe("lookup", api_key)

    async def _probe(
        self, route: str, api_key: str = documents.API_KEY
    ) -> None:
        async with aiohttp.ClientSession() as session:
            for instance in self._system.instances:
                request_id = f"p{next(self._numbers)}"
                call = records.Call(
                    request_id=request_id,
                    kind=records.CallKind.PROBE,
                    instance=instance.name,
                    incarnation=instance.incarnation,
                    route=route,
                    api_key=api_key,
                    body=f"{request_id} asks".encode(),
                    sent_at_s=time.monotonic(),
                    deadline_s=PROBE_DEADLINE_S,
                )
                await callers.make_call(
                    self._record, session, instance, call, None, 0
                )

    def _record_change(
        self, kind: records.ChangeKind, subject: str, at_s: float
    ) -> None:
        self._record.changes.append(records.Change(kind, subject, at_s))
