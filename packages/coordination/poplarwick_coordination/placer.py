"""Schedules the requests of all instances while this one holds the tenure."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple
from typing import Protocol

from grpclib import client

from poplarwick_catalogue import catalogue
from poplarwick_catalogue import deployment
from poplarwick_catalogue import quarantines
from poplarwick_catalogue import types
from poplarwick_coordination import candidates
from poplarwick_coordination import crash_probe
from poplarwick_coordination import electorate
from poplarwick_coordination import endpoint_notices
from poplarwick_coordination import former_members
from poplarwick_coordination import log_events
from poplarwick_coordination import message_streams
from poplarwick_coordination import recent_cuts
from poplarwick_coordination import relief_grants
from poplarwick_coordination import reports
from poplarwick_coordination import scheduler_feed
from poplarwick_coordination import store_changes
from poplarwick_coordination import wire_codec
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_peers.wire import placement_grpc
from poplarwick_peers.wire import placement_pb2
from poplarwick_placement import engine_report
from poplarwick_placement import messages
from poplarwick_placement import organisation_shares
from poplarwick_placement import scheduler
from poplarwick_platform import kv
from poplarwick_platform import mirror

DECISION_PERIOD_S = 0.015
"""Interval between scheduling attempts for queued requests; a third of an
engine iteration."""

REST_FACTOR = 3
"""Pause after a round of decisions as a multiple of its time: rounds take at
most a quarter of the placer's processor time."""

IDLE_PERIOD_S = 0.25
"""Interval between checks while no request is queued."""

REDIAL_DELAY_S = 0.4
"""Delay before reconnecting to an instance after its stream ended."""

DIAL_TIMEOUT_S = 1.0
"""Time limit for connecting to another instance."""

STORE_LAG_LIMIT_S = 0.4
"""Time for which an instance may lag behind the store before the placer sends
it the missing changes. Its own watch delivers them sooner if it works."""

ERA_LAG_LIMIT_S = 1.5
"""The same limit after the store was restored, when the placer would send its
whole content. All instances read it from the store at that time."""

LOST_INSTANCE_RETENTION_S = 2.0
"""Time for which the allocations of a disconnected instance are retained. The
instance may still be running and have lost only this stream."""


class Key(NamedTuple):
    """Identifies a request in the scheduler of the placer.

    Attributes:
        instance: Instance that submitted the request.
        ask: Number of the request at that instance.
    """

    instance: ids.InstanceId
    ask: int


class MessageSink(Protocol):
    """Accepts messages to an instance."""

    def __call__(self, message: placement_pb2.PlacerMessage) -> None:
        """Queues a message for the instance."""
        ...


class Session:
    """State of an instance that this placer serves.

    Args:
        instance: The instance.
        send: Accepts messages to the instance.
        beat_period_s: Longest interval between messages of the instance.

    Attributes:
        protocol: Version of the messages that the instance knows; 0 before its
            first heartbeat.
    """

    def __init__(
        self, instance: ids.InstanceId, send: MessageSink, beat_period_s: float
    ) -> None:
        self.beat_period_s = beat_period_s
        self.instance = instance
        self.send = send
        self.protocol = 0
        self.position = kv.Position(kv.FIRST_ERA, kv.Revision(0))
        self.receives_store_updates = True
        self.is_leaving = False
        self.asks_for_relief = False
        self.opened_at_s = clock.now_s()
        self.behind_since_s: float | None = None


class Placer:
    """Schedules requests for all instances that it can reach.

    Args:
        instance: This instance.
        catalogue_: Routing configuration, endpoints and members.
        store_mirror: Local copy of the store.
        deployment_: Deployment of this instance.
        open_channel: Opens a channel to the address of an instance.
        epoch: Epoch of the tenure.
        reader: Reads the reports of engines.
        receives_store_updates: Returns whether this instance receives updates
            from the store.
        notices: What endpoints have asked of this instance.
        fleet_starts_until_s: Monotonic time until which other instances may
            still be starting.
        former: Instances that were members lately.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        catalogue_: catalogue.Catalogue,
        store_mirror: mirror.Mirror,
        deployment_: deployment.Deployment,
        open_channel: Callable[[str], client.Channel],
        epoch: ids.Epoch,
        reader: reports.Reader,
        receives_store_updates: Callable[[], bool],
        notices: endpoint_notices.EndpointNotices,
        fleet_starts_until_s: float = 0.0,
        former: former_members.FormerMembers | None = None,
    ) -> None:
        self._former = former or former_members.FormerMembers(catalogue_)
        self._electorate = electorate.Electorate(fleet_starts_until_s)
        self._receives_store_updates = receives_store_updates
        self.epoch = epoch
        self._report_poller = reports.ReportPoller(
            reader,
            catalogue_,
            self._record_report,
            is_paused=notices.is_paused,
            is_used=lambda endpoint: (
                self._scheduler.is_used(endpoint)
                or self._scheduler.may_inherit(clock.now_s())
            ),
            has_inherited_load=lambda endpoint: (
                self._scheduler.has_inherited_load(endpoint)
            ),
        )
        self._crash_probe = crash_probe.CrashProbe(
            reader,
            catalogue_,
            self._record_report,
            self._record_connection,
            is_paused=notices.is_paused,
        )
        self._instance = instance
        self._catalogue = catalogue_
        self._mirror = store_mirror
        self._deployment = deployment_
        self._open_channel = open_channel
        self._sessions: dict[ids.InstanceId, Session] = {}
        self._lost_at_s: dict[ids.InstanceId, float] = {}
        self._dials: dict[ids.InstanceId, asyncio.Task[None]] = {}
        self._unreachable_since_s: dict[ids.InstanceId, float] = {}
        self._relief = relief_grants.ReliefGrants(clock.now_s())
        self._encoded_changes: dict[kv.Position, placement_pb2.Changes] = {}
        self._weighed_cuts = recent_cuts.WeighedCuts()
        self._wake = asyncio.Event()
        self._feed = scheduler_feed.SchedulerFeed(
            catalogue_, deployment_, candidates.Scope.FLEET, self._wake.set
        )
        self._scheduler = self._feed.scheduler
        store_mirror.add_listener(self._forward_changes)
        catalogue_.add_listener(self._update_members)
        self._update_members()
        catalogue_.quarantines.add_listener(self._broadcast_quarantine)

    async def run(self) -> None:
        """Serves instances until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send_heartbeats())
            group.create_task(self._decide())
            group.create_task(self._report_poller.run())

    def stop(self) -> None:
        """Closes all streams and removes the listeners of this placer."""
        self._feed.stop()
        self._crash_probe.stop()
        self._mirror.remove_listener(self._forward_changes)
        self._catalogue.remove_listener(self._update_members)
        self._catalogue.quarantines.remove_listener(self._broadcast_quarantine)
        for dial in self._dials.values():
            dial.cancel()

    @property
    def has_majority(self) -> bool:
        """Whether at least half of the other voters have a session."""
        now_s = clock.now_s()
        return self._electorate.has_majority(
            self._catalogue.members.keys() - {self._instance},
            ()
            if self._receives_store_updates()
            else self._former.list_recent(now_s).keys() - {self._instance},
            self._sessions.keys(),
            now_s,
        )

    def hand_over(self, *, above_strength: float = 0.0) -> bool:
        """Asks another instance to take the tenure over.

        Args:
            above_strength: Strength that its successor must exceed.

        Returns:
            Whether there was an instance to ask.
        """
        successors = [
            session
            for session in self._sessions.values()
            if session.instance != self._instance
            and not session.is_leaving
            and not session.asks_for_relief
            and session.position.revision
            and self._find_strength(session.instance) > above_strength
        ]
        if not successors:
            return False
        # In a rolling restart, the instance that connected last is the least
        # likely to stop next.
        successor = max(successors, key=lambda session: session.opened_at_s)
        message = placement_pb2.PlacerMessage()
        message.handover.epoch = self.epoch + 1
        successor.send(message)
        logs.log(
            log_events.TenureHandedOver(
                peer=successor.instance, epoch=self.epoch + 1
            )
        )
        return True

    def _find_strength(self, instance: ids.InstanceId) -> float:
        member = self._catalogue.members.get(instance)
        # One that is served although the store has lost its entry.
        return 1.0 if member is None else member.strength

    def list_largest_users(
        self,
    ) -> Sequence[organisation_shares.OrganisationUsage]:
        """Returns the organisations that exceed their shares most."""
        return self._feed.list_largest_users()

    def find_ended(self, longer_than_s: float) -> list[ids.InstanceId]:
        """Returns the instances that no longer run.

        These have announced their end, or were unreachable for a time.

        Args:
            longer_than_s: The time in seconds.
        """
        now_s = clock.now_s()
        return [
            instance
            for instance, since_s in self._unreachable_since_s.items()
            if instance in self._catalogue.members
            and (
                now_s - since_s > longer_than_s
                or self._electorate.has_ended(instance)
            )
        ]

    def open_session(
        self, instance: ids.InstanceId, send: MessageSink
    ) -> Session:
        """Opens a session for an instance.

        Requests of an earlier session are dropped; the instance reports those
        that still run.

        Args:
            instance: The instance.
            send: Accepts messages to the instance.
        """
        self._drop_requests(instance)
        self._lost_at_s.pop(instance, None)
        session = Session(
            instance,
            send,
            message_streams.calculate_beat_period_s(
                len(self._catalogue.members)
            ),
        )
        self._sessions[instance] = session
        self._unreachable_since_s.pop(instance, None)
        opening = placement_pb2.PlacerMessage()
        opening.opening.placer = self._instance
        opening.opening.epoch = self.epoch
        opening.opening.beat_period_s = session.beat_period_s
        opening.opening.protocol = message_streams.PROTOCOL_VERSION
        session.send(opening)
        for quarantine in self._catalogue.quarantines.known:
            session.send(_make_quarantine_message(quarantine))
        for start, per_s in self._catalogue.rate_limits.known.items():
            session.send(
                _make_limit_message(wire_codec.encode_limit(start, per_s))
            )
        logs.log(log_events.SessionOpened(peer=instance, epoch=self.epoch))
        return session

    def close_session(self, session: Session, reason: object) -> None:
        """Closes a session unless a newer one has replaced it."""
        if self._sessions.get(session.instance) is not session:
            return
        del self._sessions[session.instance]
        self._lost_at_s[session.instance] = clock.now_s()
        logs.log(
            log_events.SessionClosed(peer=session.instance, reason=str(reason))
        )

    def handle(
        self, session: Session, message: placement_pb2.EntryMessage
    ) -> None:
        """Handles a message from an instance."""
        now_s = clock.now_s()
        match message.WhichOneof("kind"):
            case "beat":
                self._record_heartbeat(session, message.beat, now_s)
                return
            case "changes":
                store_changes.apply_changes(self._mirror, message.changes)
                return
            case "endpoint_leaving":
                self.broadcast_leaving(
                    wire_codec.decode_start(message.endpoint_leaving)
                )
                return
            case "endpoint_limit":
                wire_codec.apply_limit(
                    self._catalogue.rate_limits, message.endpoint_limit
                )
                # The others need it once they have no placer.
                self._broadcast(_make_limit_message(message.endpoint_limit))
                return
            case "quarantine":
                self._catalogue.quarantines.merge(
                    wire_codec.decode_quarantine(message.quarantine)
                )
                return
            case "ask":
                request = wire_codec.decode_request(message.ask, now_s)
                key = Key(session.instance, message.ask.ask)
                self._feed.refresh()
                if not request.was_placed:
                    self._scheduler.count_request(request.service, now_s)
                self._scheduler.submit(key, request, now_s)
                decision = self._scheduler.decide_new(key, now_s)
                if decision is not None:
                    self._send_decision(key, decision)
            case "running":
                running_request = message.running.ask
                # The own instance reports before the first round of decisions.
                self._feed.refresh()
                self._scheduler.adopt(
                    Key(session.instance, running_request.ask),
                    wire_codec.decode_request(running_request, now_s),
                    ids.EndpointId(message.running.endpoint),
                    now_s,
                    has_begun=message.running.has_begun,
                )
            case "began":
                key = Key(session.instance, message.began.ask)
                self._scheduler.record_first_event(key, now_s)
            case "ended":
                key = Key(session.instance, message.ended.ask)
                result = wire_codec.decode_result(message.ended)
                blamed = message.ended.blamed or None
                answer = wire_codec.decode_answer(message.ended)
                endpoint = self._feed.record_end(key, result, blamed, answer)
                if endpoint is not None:
                    if answer is not None and not answer.is_conclusive:
                        self._weighed_cuts.record(*key, endpoint, now_s)
                    self._check_crash(endpoint)
            case "earlier_answer":
                self._scheduler.evidence.adopt_sound_answer(
                    *wire_codec.decode_earlier_answer(
                        message.earlier_answer, now_s
                    )
                )
            case "cut":
                cut = wire_codec.decode_cut(message.cut, now_s)
                self._record_earlier_cut(session, cut, now_s)
        if self._scheduler.queued_count:
            self._wake.set()

    def broadcast_leaving(self, start: types.EndpointStart) -> None:
        """Closes a leaving endpoint and tells all instances."""
        self._catalogue.record_leaving(start)
        message = placement_pb2.PlacerMessage()
        message.endpoint_leaving.CopyFrom(wire_codec.encode_start(start))
        self._broadcast(message)

    def _record_earlier_cut(
        self, session: Session, cut: recent_cuts.RecentCut, now_s: float
    ) -> None:
        """Weighs a cut of an earlier stream, unless it has been weighed."""
        if not self._weighed_cuts.record(
            session.instance, cut.number, cut.start.endpoint, now_s
        ):
            return
        logs.log(
            log_events.EarlierCutReported(
                peer=session.instance,
                endpoint=cut.start.endpoint,
                request=cut.request.request_id,
            )
        )
        endpoint = self._feed.record_earlier_cut(cut)
        if endpoint is not None:
            self._check_crash(endpoint)
        else:
            self._feed.impose_quarantines()

    def _broadcast(self, message: placement_pb2.PlacerMessage) -> None:
        for session in list(self._sessions.values()):
            session.send(message)

    def _check_crash(self, endpoint: ids.EndpointId) -> None:
        if self._scheduler.may_have_crashed(endpoint):
            self._crash_probe.probe(endpoint)
        self._feed.impose_quarantines()

    def _broadcast_quarantine(self, quarantine: quarantines.Quarantine) -> None:
        self._broadcast(_make_quarantine_message(quarantine))

    def _record_connection(
        self, endpoint: ids.EndpointId, is_reachable: bool
    ) -> None:
        self._scheduler.record_connection(
            endpoint, clock.now_s(), is_reachable=is_reachable
        )
        self._feed.impose_quarantines()

    def _record_report(
        self,
        endpoint: ids.EndpointId,
        report: engine_report.EngineReport | None,
    ) -> None:
        had_inherited = self._scheduler.has_inherited_load(endpoint)
        is_newly_unresponsive = self._scheduler.record_report(
            endpoint, report, clock.now_s()
        )
        if had_inherited != self._scheduler.has_inherited_load(endpoint):
            self._log_inherited_load(endpoint)
        self._feed.impose_quarantines()
        if not is_newly_unresponsive:
            return
        logs.log(log_events.EndpointDoubted(endpoint=endpoint))
        message = placement_pb2.PlacerMessage()
        message.doubt.endpoint = endpoint
        self._broadcast(message)

    def _log_inherited_load(self, endpoint: ids.EndpointId) -> None:
        inherited = self._scheduler.get_inherited_load(endpoint)
        if inherited is not None:
            logs.log(
                log_events.LoadInherited(
                    endpoint=endpoint,
                    requests=inherited.requests,
                    memory_tokens=inherited.memory_tokens,
                )
            )
        self._wake.set()

    async def _decide(self) -> None:
        while True:
            self._wake.clear()
            began_s = clock.now_s()
            self._send_decisions()
            self._drop_lost_instances()
            # Messages that arrive within one period are handled by a single
            # round. Rounds that take long follow each other less often, so
            # that time is left for the messages.
            await asyncio.sleep(
                max(DECISION_PERIOD_S, REST_FACTOR * (clock.now_s() - began_s))
            )
            has_queued = self._scheduler.queued_count > 0
            if not has_queued:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(IDLE_PERIOD_S):
                        await self._wake.wait()

    def _send_decisions(self) -> None:
        self._feed.refresh()
        self._feed.impose_quarantines()
        for key, decision in self._scheduler.decide(clock.now_s()):
            assert isinstance(key, Key)
            self._send_decision(key, decision)

    def _send_decision(self, key: Key, decision: messages.Decision) -> None:
        session = self._sessions.get(key.instance)
        if session is not None:
            session.send(wire_codec.encode_decision(key.ask, decision))

    def _drop_lost_instances(self) -> None:
        now_s = clock.now_s()
        self._scheduler.expire(now_s)
        for instance, lost_at_s in list(self._lost_at_s.items()):
            if now_s - lost_at_s > LOST_INSTANCE_RETENTION_S:
                del self._lost_at_s[instance]
                self._drop_requests(instance)

    def _drop_requests(self, instance: ids.InstanceId) -> None:
        def is_of_instance(key: scheduler.Key) -> bool:
            return isinstance(key, Key) and key.instance == instance

        self._scheduler.drop_requests(is_of_instance, clock.now_s())

    async def _send_heartbeats(self) -> None:
        while True:
            self._dial_members()
            self._feed.log_largest_users()
            heartbeat = self._make_heartbeat()
            relieved = self._review_relief()
            for session in list(self._sessions.values()):
                session.send(
                    self._make_heartbeat(relief=True)
                    if session.instance in relieved
                    else heartbeat
                )
                self._send_missed_changes(session)
            await asyncio.sleep(message_streams.HEARTBEAT_PERIOD_S)

    def _review_relief(self) -> frozenset[ids.InstanceId]:
        domains = {
            instance: member.domain
            for instance, member in self._catalogue.members.items()
        }
        asking = {
            instance
            for instance, session in self._sessions.items()
            if session.asks_for_relief
        }
        return self._relief.review(asking, domains, clock.now_s())

    def _make_heartbeat(
        self, *, relief: bool = False
    ) -> placement_pb2.PlacerMessage:
        heartbeat = placement_pb2.PlacerMessage()
        heartbeat.beat.relief = relief
        heartbeat.beat.revision = self._mirror.revision
        heartbeat.beat.era = self._mirror.era
        heartbeat.beat.hears_store = self._receives_store_updates()
        heartbeat.beat.protocol = message_streams.PROTOCOL_VERSION
        return heartbeat

    def _record_heartbeat(
        self, session: Session, heartbeat: placement_pb2.Beat, now_s: float
    ) -> None:
        session.receives_store_updates = heartbeat.hears_store
        session.is_leaving = heartbeat.is_leaving
        self._electorate.record_heartbeat(
            session.instance, is_leaving=heartbeat.is_leaving
        )
        session.protocol = heartbeat.protocol
        session.asks_for_relief = heartbeat.relief
        session.position = max(
            session.position,
            kv.Position(kv.Era(heartbeat.era), kv.Revision(heartbeat.revision)),
        )
        if session.position >= self._mirror.position:
            session.behind_since_s = None
            return
        if session.behind_since_s is None:
            session.behind_since_s = now_s
        if session.position.era == self._mirror.era:
            # An instance that has just stopped following the store may have
            # missed changes that were forwarded before it said so.
            self._forward_missed_changes(session)

    def _forward_changes(self, changes: tuple[kv.Change, ...]) -> None:
        del changes  # An instance may lack older changes as well.
        self._encoded_changes.clear()
        for session in self._sessions.values():
            self._forward_missed_changes(session)

    def _forward_missed_changes(self, session: Session) -> None:
        """Sends missed changes unless the instance reads them itself."""
        if session.receives_store_updates or not session.position.revision:
            return
        encoded = self._encoded_changes.get(session.position)
        if encoded is None:
            encoded = self._encoded_changes[session.position] = (
                store_changes.encode_changes(self._mirror, session.position)
            )
        if store_changes.is_large(encoded):
            # The heartbeat announces the new revision, so that the instance
            # reads the changes from the store.
            session.send(self._make_heartbeat())
        else:
            self._send_changes(session, encoded)

    def _send_missed_changes(self, session: Session) -> None:
        behind_since_s = session.behind_since_s
        if behind_since_s is None:
            return
        limit_s = (
            STORE_LAG_LIMIT_S
            if session.position.era == self._mirror.era
            else ERA_LAG_LIMIT_S
        )
        if clock.now_s() - behind_since_s >= limit_s:
            self._send_changes(session)

    def _send_changes(
        self, session: Session, encoded: placement_pb2.Changes | None = None
    ) -> None:
        message = placement_pb2.PlacerMessage()
        message.changes.CopyFrom(
            encoded
            or store_changes.encode_changes(self._mirror, session.position)
        )
        session.position = self._mirror.position
        session.behind_since_s = None
        session.send(message)

    def _update_members(self) -> None:
        revisions = self._catalogue.member_revisions
        self._electorate.update_members(
            {
                instance: revisions.get(instance, kv.Revision(0))
                for instance in self._catalogue.members
            }
        )

    def _dial_members(self) -> None:
        former = self._former.list_recent(clock.now_s())
        members = {**former, **self._catalogue.members}
        for instance, member in members.items():
            dial = self._dials.get(instance)
            if instance == self._instance or (dial and not dial.done()):
                continue
            self._dials[instance] = asyncio.create_task(
                self._serve_with_reconnects(instance, member.address)
            )
        # An instance that is served stays, although the store has lost its
        # entry with a restore.
        served = self._sessions.keys()
        for instance in self._dials.keys() - members.keys() - served:
            self._dials.pop(instance).cancel()
            self._electorate.forget(instance)
            self._unreachable_since_s.pop(instance, None)

    async def _serve_with_reconnects(
        self, instance: ids.InstanceId, address: str
    ) -> None:
        while True:
            if instance not in self._sessions:
                self._unreachable_since_s.setdefault(instance, clock.now_s())
            try:
                with contextlib.closing(self._open_channel(address)) as channel:
                    await self._serve(instance, channel)
            except Exception as error:
                # Whatever one instance causes, the others are served.
                logs.log(log_events.PeerLost(peer=instance, reason=repr(error)))
            await asyncio.sleep(REDIAL_DELAY_S)
            current = self._catalogue.members.get(instance)
            if current is not None:
                address = current.address

    async def _serve(
        self, instance: ids.InstanceId, channel: client.Channel
    ) -> None:
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                await channel.__connect__()
        except ConnectionRefusedError:
            self._electorate.record_refused(instance)
            raise
        except (OSError, TimeoutError):
            self._electorate.record_unreachable(instance)
            raise
        self._electorate.record_connected(instance)
        stub = placement_grpc.PlacementServiceStub(channel)
        outbox: message_streams.Outbox[placement_pb2.PlacerMessage] = (
            message_streams.Outbox()
        )
        async with stub.Serve.open() as stream:
            await stream.send_request()
            session = self.open_session(instance, outbox.put)
            watchdog = message_streams.Watchdog(session.beat_period_s)

            receiver: message_streams.Receiver[placement_pb2.EntryMessage] = (
                message_streams.Receiver(
                    instance, lambda message: self.handle(session, message)
                )
            )

            async def receive() -> None:
                async for message in stream:
                    watchdog.record_message()
                    receiver.receive(message)

            try:
                await message_streams.run_until_first_ends(
                    receive(),
                    outbox.send_all(stream.send_message),
                    watchdog.wait_until_unresponsive(
                        lambda: outbox.has_overflowed
                    ),
                )
            finally:
                self.close_session(session, "stream_ended")
                await stream.cancel()


def _make_quarantine_message(
    quarantine: quarantines.Quarantine,
) -> placement_pb2.PlacerMessage:
    message = placement_pb2.PlacerMessage()
    message.quarantine.CopyFrom(wire_codec.encode_quarantine(quarantine))
    return message


def _make_limit_message(
    limit: placement_pb2.EndpointLimit,
) -> placement_pb2.PlacerMessage:
    message = placement_pb2.PlacerMessage()
    message.endpoint_limit.CopyFrom(limit)
    return message
