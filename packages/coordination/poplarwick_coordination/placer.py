"""Places the requests of all instances while this one holds the tenure."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

from grpclib import client

from poplarwick_catalogue import catalogue
from poplarwick_catalogue import deployment
from poplarwick_coordination import candidates
from poplarwick_coordination import desk_feed
from poplarwick_coordination import log_events
from poplarwick_coordination import message_streams
from poplarwick_coordination import reports
from poplarwick_coordination import store_changes
from poplarwick_coordination import wire_codec
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_peers import transport
from poplarwick_peers.wire import placement_grpc
from poplarwick_peers.wire import placement_pb2
from poplarwick_placement import messages
from poplarwick_placement import scheduler
from poplarwick_platform import kv
from poplarwick_platform import mirror

TICK_S = 0.015
"""Period at which waiting requests are tried again; a third of a pass."""

IDLE_TICK_S = 0.25
"""Period at which an idle placer looks at its state."""

REDIAL_S = 0.4
"""Pause before an instance that was lost is called again."""

DIAL_TIMEOUT_S = 1.0
"""Longest time to connect to another instance."""

REPAIR_AFTER_S = 0.4
"""Time that an instance may lag behind the store before the placer passes
changes on to it; its own watch tells it sooner if it works."""

KEEP_LOST_S = 2.0
"""Time that the requests of a lost instance stay booked; it may only have
lost this stream."""


class Key(NamedTuple):
    """A request at the desk: the instance that asked and its number."""

    instance: ids.InstanceId
    ask: int


class Receiver(Protocol):
    """Takes messages to an instance."""

    def __call__(self, message: placement_pb2.PlacerMessage) -> None:
        """Takes one message."""
        ...


class Session:
    """An instance that this placer serves."""

    def __init__(self, instance: ids.InstanceId, receive: Receiver) -> None:
        self.instance = instance
        self.send = receive
        self.revision = 0
        self.hears_store = True
        self.is_leaving = False
        self.opened_at_s = clock.now_s()
        self.behind_since_s: float | None = None


class Placer:
    """Serves all instances that it can reach.

    Args:
        instance: This instance.
        known: What is routed where.
        copy: Mirror of the store.
        place: Where the instance runs.
        open_channel: Opens a connection to another instance.
        epoch: Number of the tenure.
        reader: Reads engines' reports.
        hears_store: Tells whether changes come in from the store now.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        known: catalogue.Catalogue,
        copy: mirror.Mirror,
        place: deployment.Deployment,
        open_channel: Callable[[str], client.Channel],
        epoch: ids.Epoch,
        reader: reports.Reader,
        hears_store: Callable[[], bool],
    ) -> None:
        self._hears_store = hears_store
        self.epoch = epoch
        self._reports = reports.ReportPoller(reader, known, self._note_report)
        self._instance = instance
        self._catalogue = known
        self._mirror = copy
        self._place = place
        self._open_channel = open_channel
        self._sessions: dict[ids.InstanceId, Session] = {}
        self._lost_at_s: dict[ids.InstanceId, float] = {}
        self._dials: dict[ids.InstanceId, asyncio.Task[None]] = {}
        self._unreachable_since_s: dict[ids.InstanceId, float] = {}
        self._wake = asyncio.Event()
        self._feed = desk_feed.DeskFeed(
            known, place, candidates.Scope.FLEET, self._wake.set
        )
        self._desk = self._feed.desk
        copy.add_listener(self._pass_on)

    async def run(self) -> None:
        """Serves until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._beat())
            group.create_task(self._decide())
            group.create_task(self._reports.run())

    def stop(self) -> None:
        """Ends all streams."""
        self._feed.stop()
        self._mirror.remove_listener(self._pass_on)
        for dial in self._dials.values():
            dial.cancel()

    @property
    def has_majority(self) -> bool:
        """Whether at least half of the other instances are served."""
        others = [i for i in self._catalogue.members if i != self._instance]
        served = sum(i in self._sessions for i in others)
        return 2 * served >= len(others)

    def hand_over(self) -> bool:
        """Lets another instance place from now on; tells whether one does."""
        able = [
            session
            for session in self._sessions.values()
            if session.instance != self._instance
            and not session.is_leaving
            and session.revision
        ]
        if not able:
            return False
        # Where instances restart in turn, the newest will not stop next.
        successor = max(able, key=lambda session: session.opened_at_s)
        message = placement_pb2.PlacerMessage()
        message.handover.epoch = self.epoch + 1
        successor.send(message)
        logs.log(
            log_events.TenureHandedOver(
                peer=successor.instance, epoch=self.epoch + 1
            )
        )
        return True

    def find_unreachable(self, for_s: float) -> list[ids.InstanceId]:
        """Returns instances that could not be reached for a time."""
        now_s = clock.now_s()
        return [
            instance
            for instance, since_s in self._unreachable_since_s.items()
            if now_s - since_s > for_s
        ]

    def open_session(
        self, instance: ids.InstanceId, receive: Receiver
    ) -> Session:
        """Begins to serve an instance; its earlier requests are forgotten."""
        self._drop_requests(instance)
        self._lost_at_s.pop(instance, None)
        session = Session(instance, receive)
        self._sessions[instance] = session
        self._unreachable_since_s.pop(instance, None)
        opening = placement_pb2.PlacerMessage()
        opening.opening.placer = self._instance
        opening.opening.epoch = self.epoch
        session.send(opening)
        logs.log(log_events.SessionOpened(peer=instance, epoch=self.epoch))
        return session

    def close_session(self, session: Session, reason: object) -> None:
        """Ends serving an instance."""
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
        """Acts on a message of an instance."""
        now_s = clock.now_s()
        match message.WhichOneof("kind"):
            case "beat":
                self._note_beat(session, message.beat, now_s)
                return
            case "changes":
                store_changes.apply_changes(self._mirror, message.changes)
                return
            case "ask":
                wanted = wire_codec.decode_work(message.ask, now_s)
                key = Key(session.instance, message.ask.ask)
                self._feed.refresh()
                if not wanted.is_retry:
                    self._desk.count_request(wanted.service, now_s)
                self._desk.submit(key, wanted, now_s)
                decision = self._desk.decide_new(key, now_s)
                if decision is not None:
                    self._send_decision(key, decision)
            case "running":
                asked = message.running.ask
                self._desk.adopt(
                    Key(session.instance, asked.ask),
                    wire_codec.decode_work(asked, now_s),
                    ids.EndpointId(message.running.endpoint),
                    now_s,
                    has_begun=message.running.has_begun,
                )
            case "began":
                key = Key(session.instance, message.began.ask)
                self._desk.record_first_event(key, now_s)
            case "ended":
                key = Key(session.instance, message.ended.ask)
                result = messages.Result(message.ended.result)
                blamed = message.ended.blamed or None
                self._desk.record_end(key, result, now_s, blamed)
        if self._desk.queued_count:
            self._wake.set()

    def _note_report(
        self, endpoint: ids.EndpointId, pace: float | None
    ) -> None:
        if not self._desk.record_report(endpoint, pace):
            return
        logs.log(log_events.EndpointDoubted(endpoint=endpoint))
        message = placement_pb2.PlacerMessage()
        message.doubt.endpoint = endpoint
        for session in list(self._sessions.values()):
            session.send(message)

    async def _decide(self) -> None:
        while True:
            self._wake.clear()
            self._send_decisions()
            self._drop_lost()
            # Changes of a tick are answered together: each decision looks at
            # all endpoints.
            await asyncio.sleep(TICK_S)
            waits = self._desk.queued_count > 0
            if not waits:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(IDLE_TICK_S):
                        await self._wake.wait()

    def _send_decisions(self) -> None:
        self._feed.refresh()
        for key, decision in self._desk.decide(clock.now_s()):
            assert isinstance(key, Key)
            self._send_decision(key, decision)

    def _send_decision(self, key: Key, decision: messages.Decision) -> None:
        session = self._sessions.get(key.instance)
        if session is not None:
            session.send(wire_codec.encode_decision(key.ask, decision))

    def _drop_lost(self) -> None:
        now_s = clock.now_s()
        self._desk.expire(now_s)
        for instance, lost_at_s in list(self._lost_at_s.items()):
            if now_s - lost_at_s > KEEP_LOST_S:
                del self._lost_at_s[instance]
                self._drop_requests(instance)

    def _drop_requests(self, instance: ids.InstanceId) -> None:
        def is_of_instance(key: scheduler.Key) -> bool:
            return isinstance(key, Key) and key.instance == instance

        self._desk.drop_requests(is_of_instance, clock.now_s())

    async def _beat(self) -> None:
        while True:
            self._dial_members()
            beat = self._make_beat()
            for session in list(self._sessions.values()):
                session.send(beat)
                self._repair(session)
            await asyncio.sleep(message_streams.HEARTBEAT_PERIOD_S)

    def _make_beat(self) -> placement_pb2.PlacerMessage:
        beat = placement_pb2.PlacerMessage()
        beat.beat.revision = self._mirror.revision
        beat.beat.hears_store = self._hears_store()
        return beat

    def _note_beat(
        self, session: Session, beat: placement_pb2.Beat, now_s: float
    ) -> None:
        session.hears_store = beat.hears_store
        session.is_leaving = beat.is_leaving
        session.revision = max(session.revision, beat.revision)
        if session.revision >= self._mirror.revision:
            session.behind_since_s = None
        elif session.behind_since_s is None:
            session.behind_since_s = now_s

    def _pass_on(self, changes: tuple[kv.Change, ...]) -> None:
        del changes  # An instance may lack more than the newest ones.
        encoded: dict[int, placement_pb2.Changes] = {}
        for session in self._sessions.values():
            if session.hears_store or not session.revision:
                continue
            found = encoded.get(session.revision)
            if found is None:
                found = encoded[session.revision] = (
                    store_changes.encode_changes(
                        self._mirror, kv.Revision(session.revision)
                    )
                )
            if store_changes.is_large(found):
                session.send(self._make_beat())
            else:
                self._send_changes(session, found)

    def _repair(self, session: Session) -> None:
        behind_since_s = session.behind_since_s
        if behind_since_s is None:
            return
        if clock.now_s() - behind_since_s >= REPAIR_AFTER_S:
            self._send_changes(session)

    def _send_changes(
        self, session: Session, encoded: placement_pb2.Changes | None = None
    ) -> None:
        message = placement_pb2.PlacerMessage()
        message.changes.CopyFrom(
            encoded
            or store_changes.encode_changes(
                self._mirror, kv.Revision(session.revision)
            )
        )
        session.revision = self._mirror.revision
        session.behind_since_s = None
        session.send(message)

    def _dial_members(self) -> None:
        members = self._catalogue.members
        for instance, member in members.items():
            if instance == self._instance or instance in self._dials:
                continue
            self._dials[instance] = asyncio.create_task(
                self._keep_serving(instance, member.address)
            )
        for instance in [i for i in self._dials if i not in members]:
            self._dials.pop(instance).cancel()
            self._unreachable_since_s.pop(instance, None)

    async def _keep_serving(
        self, instance: ids.InstanceId, address: str
    ) -> None:
        while True:
            if instance not in self._sessions:
                self._unreachable_since_s.setdefault(instance, clock.now_s())
            channel = self._open_channel(address)
            try:
                await self._serve(instance, channel)
            except transport.CALL_ERRORS as error:
                logs.log(log_events.PeerLost(peer=instance, reason=repr(error)))
            finally:
                channel.close()
            await asyncio.sleep(REDIAL_S)
            current = self._catalogue.members.get(instance)
            if current is not None:
                address = current.address

    async def _serve(
        self, instance: ids.InstanceId, channel: client.Channel
    ) -> None:
        async with asyncio.timeout(DIAL_TIMEOUT_S):
            await channel.__connect__()
        stub = placement_grpc.PlacementServiceStub(channel)
        outbox: message_streams.Outbox[placement_pb2.PlacerMessage] = (
            message_streams.Outbox()
        )
        watchdog = message_streams.Watchdog()
        async with stub.Serve.open() as stream:
            await stream.send_request()
            session = self.open_session(instance, outbox.put)

            async def receive() -> None:
                async for message in stream:
                    watchdog.note()
                    self.handle(session, message)

            try:
                await message_streams.run_until_first_ends(
                    receive(),
                    outbox.send_all(stream.send_message),
                    watchdog.wait_for_silence(lambda: outbox.is_overrun),
                )
            finally:
                self.close_session(session, "stream_ended")
                await stream.cancel()
