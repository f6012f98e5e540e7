"""Membership by heartbeats between instances.

Every instance pings a few others. They are chosen by hashing, so that each
instance is monitored by a few others and the traffic per instance does not
grow with the size of the fleet. Member states are piggybacked on pings and
replies.
"""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import random
import time
from collections.abc import Callable
from collections.abc import Iterable
from types import TracebackType
from typing import Self

from grpclib import server

from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_peers import _channel_cache
from poplarwick_peers import _discovery
from poplarwick_peers import _heartbeat_wire
from poplarwick_peers import _member_table
from poplarwick_peers import _probes
from poplarwick_peers import _ring
from poplarwick_peers import _suspicion
from poplarwick_peers import membership
from poplarwick_peers.wire import heartbeat_grpc
from poplarwick_peers.wire import heartbeat_pb2

MAX_UPDATES = 8
SUSPICION_MIN_PERIODS = 2.0
SUSPICION_MAX_PERIODS = 3.0
STALL_PERIODS = 3.0
SUSPICION_CHECKS_PER_PERIOD = 4
URGENT_UPDATE_DELAY_S = 0.02

MemberChange = _member_table.MemberChange
_State = membership.MemberState


@dataclasses.dataclass(frozen=True, slots=True)
class VersionCallbacks:
    """Callbacks for the configuration versions that heartbeats carry.

    Attributes:
        read_version: Returns the configuration version in force here.
        record_version: Called with a peer and the version in force there.
    """

    read_version: Callable[[], int] = lambda: 0
    record_version: Callable[[membership.Member, int], None] = (
        lambda member, version: None
    )


def make_member(
    instance: str, address: str, domain: str, region: str
) -> membership.Member:
    """Creates the member that represents this instance.

    The incarnation is the wall-clock time in milliseconds, so that it
    increases with each restart.
    """
    return membership.Member(
        instance=ids.InstanceId(instance),
        address=address,
        domain=ids.DomainId(domain),
        region=ids.RegionId(region),
        incarnation=time.time_ns() // 1_000_000,
    )


class HeartbeatMembership:
    """Implements `membership.Membership`.

    Example:
        own = heartbeats.make_member("i-1", "10.0.0.1:7000", "d-1", "r-1")
        view = heartbeats.HeartbeatMembership(own, instance_list)
        peer_server = grpclib.server.Server([view.service, ...])
        await peer_server.start(...)
        async with view:
            view.add_listener(lambda change: ...)
            ...
            view.announce_leaving()

    Args:
        own: This instance; see `make_member`.
        source: Instance list for the discovery of other instances.
        period_s: Time between two pings to the same peer.
        open_channel: Opens a gRPC channel to a host and port.
        version_callbacks: Callbacks for configuration versions; None
            exchanges no versions.

    Attributes:
        service: gRPC service to register at the peer server.
    """

    def __init__(
        self,
        own: membership.Member,
        source: _discovery.InstanceSource,
        period_s: float = 0.5,
        open_channel: _channel_cache.OpenChannel = (
            _channel_cache.open_insecure_channel
        ),
        version_callbacks: VersionCallbacks | None = None,
    ) -> None:
        self.service = HeartbeatService(self)
        self._period_s = period_s
        self._version_callbacks = version_callbacks or VersionCallbacks()
        self._member_table = _member_table.MemberTable(own, self._handle_change)
        self._health = _suspicion.LocalHealth()
        self._suspicions = _suspicion.Suspicions(
            self._health,
            SUSPICION_MIN_PERIODS * period_s,
            SUSPICION_MAX_PERIODS * period_s,
            self._member_table.find,
        )
        self._channels = _channel_cache.ChannelCache(open_channel)
        self._prober = _probes.Prober(self._channels, period_s)
        self._ring = _ring.Ring(own.instance)
        self._listeners: list[Callable[[MemberChange], None]] = []
        self._discovery = _discovery.Discovery(
            source,
            self._member_table,
            lambda m: self._ping_and_merge(m, period_s),
        )
        self._urgent_update = asyncio.Event()
        self._divergent_peers: set[ids.InstanceId] = set()
        self._monitors: dict[ids.InstanceId, asyncio.Task[None]] = {}
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def own(self) -> membership.Member:
        """This instance."""
        return self._member_table.own

    @property
    def members(self) -> tuple[membership.Member, ...]:
        """All known instances that are not dead, including this one."""
        return self._member_table.list_members()

    def find(self, instance: ids.InstanceId) -> membership.Member | None:
        """Returns a member, or None if the instance is unknown or dead."""
        found = self._member_table.find(instance)
        if found is None or found.state is _State.DEAD:
            return None
        return found

    def add_listener(self, listener: Callable[[MemberChange], None]) -> None:
        """Registers a listener that is called after each member change."""
        self._listeners.append(listener)

    def announce_leaving(self) -> None:
        """Announces that this instance accepts no new work."""
        self._member_table.set_own_state(_State.LEAVING)

    async def __aenter__(self) -> Self:
        loops = (
            self._discovery.poll_list(),
            self._discovery.reconnect_dead(),
            self._check_suspicions(),
        )
        self._tasks = [asyncio.create_task(loop) for loop in loops]
        self._assign_monitors()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        tasks = [*self._tasks, *self._monitors.values()]
        self._tasks = []
        self._monitors = {}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._channels.close()

    def make_ping(self, receiver: ids.InstanceId) -> heartbeat_pb2.PingRequest:
        """Returns the next ping request for an instance."""
        return heartbeat_pb2.PingRequest(
            sender=_heartbeat_wire.encode_member(self.own),
            updates=self._pick_updates(receiver),
            configuration_version=self._version_callbacks.read_version(),
            view_digest=self._member_table.digest,
        )

    def answer_ping(
        self, request: heartbeat_pb2.PingRequest
    ) -> heartbeat_pb2.PingReply:
        """Merges the content of a ping and returns the reply."""
        sender = _heartbeat_wire.decode_member(request.sender)
        receiver = ids.InstanceId(request.sender.instance)
        if sender is not None:
            self._merge_message(
                sender,
                request.updates,
                request.configuration_version,
                request.view_digest,
            )
        return heartbeat_pb2.PingReply(
            responder=_heartbeat_wire.encode_member(self.own),
            updates=self._pick_updates(receiver),
            configuration_version=self._version_callbacks.read_version(),
            view_digest=self._member_table.digest,
        )

    async def answer_probe(
        self, request: heartbeat_pb2.ProbeRequest
    ) -> heartbeat_pb2.ProbeReply:
        """Pings the target of an indirect probe for another instance."""
        instance = ids.InstanceId(request.instance)
        reply = await self._prober.ping(
            request.address,
            self.make_ping(instance),
            min(request.timeout_s, self._period_s),
        )
        is_reached = reply is not None and reply.responder.instance == instance
        return heartbeat_pb2.ProbeReply(is_reached=is_reached)

    def _merge_message(
        self,
        sender_member: membership.Member,
        updates: Iterable[heartbeat_pb2.Member],
        version: int,
        digest: int,
    ) -> None:
        self._member_table.merge(sender_member)
        for message in updates:
            self._merge_update(message)
        if digest == self._member_table.digest:
            self._divergent_peers.discard(sender_member.instance)
        else:
            self._divergent_peers.add(sender_member.instance)
        if version:
            self._version_callbacks.record_version(sender_member, version)

    def _merge_update(self, message: heartbeat_pb2.Member) -> None:
        update = _heartbeat_wire.decode_member(message)
        if update is None:
            return
        incarnation = self.own.incarnation
        self._member_table.merge(update)
        if self.own.incarnation != incarnation:
            self._health.record_failure()
            logs.log_event("suspicion_refuted", accuser=message.accuser or None)
        current = self._member_table.find(update.instance)
        if update.state is _State.SUSPECT and current == update:
            self._suspicions.accuse(update, ids.InstanceId(message.accuser))

    def _pick_updates(
        self, receiver: ids.InstanceId
    ) -> list[heartbeat_pb2.Member]:
        picked = self._member_table.pick_gossip(
            MAX_UPDATES, is_peer_different=receiver in self._divergent_peers
        )
        receiver_member = self._member_table.find(receiver)
        if receiver_member is not None and receiver_member.state in (
            _State.SUSPECT,
            _State.DEAD,
        ):
            picked = [
                receiver_member,
                *(m for m in picked if m is not receiver_member),
            ]
        return [
            _heartbeat_wire.encode_member(
                member, self._suspicions.find_accuser(member.instance)
            )
            for member in picked
        ]

    def _handle_change(self, change: MemberChange) -> None:
        member = change.after
        before = change.before.state if change.before else None
        self._discovery.record_change(member)
        if member.state is _State.DEAD:
            self._divergent_peers.discard(member.instance)
        if member.state is not _State.ALIVE:
            urgent_update, self._urgent_update = (
                self._urgent_update,
                asyncio.Event(),
            )
            urgent_update.set()
        if member.state is not _State.SUSPECT:
            self._suspicions.clear(member.instance)
        if member.state is not before:
            logs.log_event(
                "member_changed",
                member=member.instance,
                state=member.state.value,
                before=before.value if before else None,
                incarnation=member.incarnation,
            )
        if before is None or _State.DEAD in (before, member.state):
            self._assign_monitors()
        for listener in self._listeners:
            listener(change)

    def _assign_monitors(self) -> None:
        if not self._tasks:
            return
        targets = self._ring.choose_targets(
            [member.instance for member in self.members]
        )
        for instance in set(self._monitors) - targets:
            self._monitors.pop(instance).cancel()
        for instance in targets - set(self._monitors):
            task = asyncio.create_task(self._monitor(instance))
            task.add_done_callback(
                functools.partial(self._replace_monitor, instance)
            )
            self._monitors[instance] = task

    def _replace_monitor(
        self, instance: ids.InstanceId, task: asyncio.Task[None]
    ) -> None:
        """Reassigns the monitors after one has failed."""
        if task.cancelled() or self._monitors.get(instance) is not task:
            return
        logs.log_event("monitor_failed", "ERROR", reason=task.exception())
        del self._monitors[instance]
        delay_s = self._period_s
        asyncio.get_running_loop().call_later(delay_s, self._assign_monitors)

    async def _monitor(self, instance: ids.InstanceId) -> None:
        """Pings one peer until cancelled or until the peer is forgotten."""
        await asyncio.sleep(random.uniform(0, self._period_s))
        while True:
            started_s = clock.now_s()
            member = self._member_table.find(instance)
            if member is None:
                return
            is_reached = await self._probe_member(member)
            spent_s = clock.now_s() - started_s
            if (
                spent_s
                > STALL_PERIODS * self._period_s * self._health.multiplier
            ):
                # The timeouts expired while this process was stalled.
                self._health.record_failure()
            elif is_reached:
                self._health.record_success()
                self._clear_leaving_suspicion(instance)
            else:
                self._suspect(member)
            await self._wait_for_next_ping(self._period_s - spent_s)

    async def _wait_for_next_ping(self, max_wait_s: float) -> None:
        """Waits until the next ping is due.

        A member that becomes suspect, leaving or dead makes it due after
        `URGENT_UPDATE_DELAY_S`, so that the update is disseminated quickly.
        """
        try:
            async with asyncio.timeout(max(0.0, max_wait_s)):
                await self._urgent_update.wait()
        except TimeoutError:
            return
        await asyncio.sleep(URGENT_UPDATE_DELAY_S)

    async def _probe_member(self, member: membership.Member) -> bool:
        """Pings a peer and adds indirect probes if it does not answer.

        Returns:
            Whether the peer was reached directly or through a helper.
        """
        timeout_s = self._period_s * self._health.multiplier
        direct = asyncio.create_task(self._ping_and_merge(member, timeout_s))
        try:
            done, _ = await asyncio.wait({direct}, timeout=timeout_s / 2)
            if done and direct.result():
                return True
            helpers = self._ring.choose_helpers(self.members, member)
            is_reached = await self._prober.probe_through(
                helpers, member, timeout_s
            )
            # The direct ping runs to completion, so that a channel that no
            # longer answers is closed.
            return await direct or is_reached
        finally:
            direct.cancel()

    async def _ping_and_merge(
        self, member: membership.Member, timeout_s: float
    ) -> bool:
        """Pings a peer and merges its reply.

        Returns:
            Whether the expected instance answered.
        """
        reply = await self._prober.ping(
            member.address, self.make_ping(member.instance), timeout_s
        )
        if reply is None:
            return False
        responder = _heartbeat_wire.decode_member(reply.responder)
        if responder is None:
            return False
        incarnation = self.own.incarnation
        self._merge_message(
            responder,
            reply.updates,
            reply.configuration_version,
            reply.view_digest,
        )
        if self.own.incarnation != incarnation:
            await self._prober.ping(
                member.address, self.make_ping(member.instance), timeout_s
            )
        return responder.instance == member.instance

    def _suspect(self, member: membership.Member) -> None:
        current = self._member_table.find(member.instance)
        if current is None or current.incarnation != member.incarnation:
            return
        if current.state is _State.DEAD:
            return
        if current.state is _State.ALIVE:
            self._member_table.merge(
                dataclasses.replace(current, state=_State.SUSPECT)
            )
            current = self._member_table.find(member.instance) or current
        self._suspicions.accuse(current, self.own.instance)

    def _clear_leaving_suspicion(self, instance: ids.InstanceId) -> None:
        """Ends the suspicion against a leaving instance that was reached.

        A leaving instance does not refute suspicions, because LEAVING is more
        severe than SUSPECT.
        """
        current = self._member_table.find(instance)
        if current is not None and current.state is _State.LEAVING:
            self._suspicions.clear(instance)

    async def _check_suspicions(self) -> None:
        tick_s = self._period_s / SUSPICION_CHECKS_PER_PERIOD
        while True:
            started_s = clock.now_s()
            await asyncio.sleep(tick_s)
            if clock.now_s() - started_s > STALL_PERIODS * self._period_s:
                self._health.record_failure()
                self._suspicions.restart_timers()
            for member in self._suspicions.pop_expired():
                self._member_table.merge(
                    dataclasses.replace(member, state=_State.DEAD)
                )


class HeartbeatService(heartbeat_grpc.HeartbeatServiceBase):
    """gRPC service for pings and indirect probes."""

    def __init__(self, view: HeartbeatMembership) -> None:
        self._view = view

    async def Ping(  # noqa: N802
        self,
        stream: server.Stream[
            heartbeat_pb2.PingRequest, heartbeat_pb2.PingReply
        ],
    ) -> None:
        """Answers a ping."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self._view.answer_ping(request))

    async def Probe(  # noqa: N802
        self,
        stream: server.Stream[
            heartbeat_pb2.ProbeRequest, heartbeat_pb2.ProbeReply
        ],
    ) -> None:
        """Pings the target of an indirect probe for the caller."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(await self._view.answer_probe(request))
