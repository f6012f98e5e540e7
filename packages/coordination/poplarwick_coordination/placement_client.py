"""Gets places for this instance's requests."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
from collections.abc import Callable

from poplarwick_catalogue import catalogue
from poplarwick_catalogue import deployment
from poplarwick_coordination import candidates
from poplarwick_coordination import desk_feed
from poplarwick_coordination import log_events
from poplarwick_coordination import store_changes
from poplarwick_coordination import wire_codec
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_peers.wire import placement_pb2
from poplarwick_placement import messages
from poplarwick_platform import kv
from poplarwick_platform import mirror

TICK_S = 0.02
"""Period at which requests that wait at this instance are tried again."""

ANSWER_SHARE = 0.4
"""Part of the time left to be on time after which a silent placer is not
waited for."""

HEARD_S = 0.4
"""A placer heard within this time is alive: one and a half beats."""

AHEAD_S = 0.2
"""Time that a placer which follows the store itself may lag behind; its own
watch tells it within some ways and one beat."""

Send = Callable[[placement_pb2.EntryMessage], None]


@dataclasses.dataclass(slots=True)
class _Asked:
    wanted: messages.PlacementRequest
    decision: asyncio.Future[messages.Decision]


@dataclasses.dataclass(slots=True)
class _Running:
    wanted: messages.PlacementRequest
    placement: messages.Placement
    has_begun: bool = False
    on_doubt: Callable[[], None] | None = None


@dataclasses.dataclass(slots=True)
class PlacerConnection:
    """The placer that serves this instance.

    Attributes:
        placer: Its instance.
        epoch: Number of its tenure.
        send: Sends a message to it.
        heard_at_s: When it was last heard.
        hears_store: Whether it passes the store's changes on.
        revision: Revision up to which it knows the store.
    """

    placer: str
    epoch: int
    send: Send
    heard_at_s: float
    hears_store: bool = False
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementOutcome:
    """A request whose place was decided.

    Attributes:
        request_number: Number of the request at this instance.
        decision: Where it runs, or why it does not.
        decided_by: Placer that decided, or "own".
        waited_s: Time from the question to the decision.
    """

    request_number: int
    decision: messages.Decision
    decided_by: str
    waited_s: float


class PlacementClient:
    """Asks the placer, or decides alone where none answers.

    Args:
        known: What is routed where.
        copy: Mirror of the store.
        place: Where the instance runs.
        observe_epoch: Called with the tenure of each placer that calls.
        hears_store: Tells whether changes come in from the store now.
        accept: Called with the tenure that a stopping placer hands over.
    """

    def __init__(
        self,
        known: catalogue.Catalogue,
        copy: mirror.Mirror,
        place: deployment.Deployment,
        observe_epoch: Callable[[ids.Epoch], None],
        hears_store: Callable[[], bool],
        accept: Callable[[ids.Epoch], None],
    ) -> None:
        self._accept = accept
        self.is_leaving = False
        self.last_epoch = 0
        self._hears_store = hears_store
        self.disconnected_since_s = clock.now_s()
        self.connection: PlacerConnection | None = None
        self._catalogue = known
        self._mirror = copy
        self._place = place
        self._note_later = observe_epoch
        self._ahead_since_s: float | None = None
        self._numbers = itertools.count(1)
        self._asked: dict[int, _Asked] = {}
        self._running: dict[int, _Running] = {}
        self._own: set[int] = set()
        self._wake = asyncio.Event()
        self._feed = desk_feed.DeskFeed(
            known, place, candidates.Scope.INSTANCE, self._wake.set
        )
        self._desk = self._feed.desk

    @property
    def is_behind(self) -> bool:
        """Whether the placer knows more of the store."""
        return self.connection is not None and (
            self.connection.revision > self._mirror.revision
        )

    async def run(self) -> None:
        """Decides on the requests that wait here, until cancelled."""
        while True:
            self._wake.clear()
            await self._wake.wait()
            while self._own or self._asked:
                self._take_back_unanswered()
                self._decide_own()
                await asyncio.sleep(TICK_S)

    async def place(
        self, wanted: messages.PlacementRequest
    ) -> PlacementOutcome:
        """Returns where a request runs, or why it does not.

        The caller reports the end of each placed request.
        """
        ask = next(self._numbers)
        if not wanted.is_retry:
            self._desk.count_request(wanted.service, clock.now_s())
        began_s = clock.now_s()
        asked = _Asked(wanted, asyncio.get_running_loop().create_future())
        self._asked[ask] = asked
        by = self._submit(ask, wanted)
        try:
            decision = await asked.decision
        except asyncio.CancelledError:
            self.record_end(ask, messages.Result.GIVEN_UP)
            raise
        finally:
            self._asked.pop(ask, None)
        if ask in self._own:
            self._own.discard(ask)
            by = "own"
        if isinstance(decision, messages.Placement):
            self._note_placed(ask, wanted, decision, by)
        return PlacementOutcome(ask, decision, by, clock.now_s() - began_s)

    def record_first_event(self, ask: int) -> None:
        """Notes the first event of a placed request."""
        running = self._running.get(ask)
        if running is None or running.has_begun:
            return
        running.has_begun = True
        self._desk.record_first_event(ask, clock.now_s())
        message = placement_pb2.EntryMessage()
        message.began.ask = ask
        self._send(message)

    def on_suspicion(self, ask: int, listener: Callable[[], None]) -> None:
        """Calls `listener` if the request's endpoint is doubted."""
        running = self._running.get(ask)
        if running is not None:
            running.on_doubt = listener

    def record_end(
        self, ask: int, result: messages.Result, blamed: str | None = None
    ) -> None:
        """Notes the end of a request, placed or not.

        Args:
            ask: Number of the request.
            result: How it ended.
            blamed: Address of another endpoint that made it fail.
        """
        self._running.pop(ask, None)
        self._own.discard(ask)
        self._desk.record_end(ask, result, clock.now_s(), blamed)
        message = placement_pb2.EntryMessage()
        message.ended.ask = ask
        message.ended.result = result.value
        message.ended.blamed = blamed or ""
        self._send(message)

    def attach(self, link: PlacerConnection) -> bool:
        """Follows a placer unless a later one is known."""
        current = self.connection
        if current is not None and current.epoch > link.epoch:
            return False
        self._note_later(ids.Epoch(link.epoch))
        self.last_epoch = max(self.last_epoch, link.epoch)
        self.connection = link
        logs.log(
            log_events.PlacerFollowed(placer=link.placer, epoch=link.epoch)
        )
        for ask, running in self._running.items():
            self._send_running(ask, running)
        for ask, asked in self._asked.items():
            if not asked.decision.done():
                self._forget_own(ask)
                self._send_ask(ask, asked.wanted)
        return True

    def detach(self, link: PlacerConnection, reason: object) -> None:
        """Stops following a placer; what waited there is decided here."""
        if self.connection is not link:
            return
        self.connection = None
        self.disconnected_since_s = clock.now_s()
        logs.log(log_events.PlacerLost(placer=link.placer, reason=str(reason)))
        for ask, asked in self._asked.items():
            if not asked.decision.done():
                self._submit_own(ask, asked.wanted)
        self._decide_own()

    def handle(
        self, link: PlacerConnection, message: placement_pb2.PlacerMessage
    ) -> None:
        """Acts on a message of the placer."""
        link.heard_at_s = clock.now_s()
        match message.WhichOneof("kind"):
            case "beat":
                link.hears_store = message.beat.hears_store
                link.revision = message.beat.revision
                self._tell_changes(link)
            case "decision":
                self._take_decision(message.decision)
            case "changes":
                store_changes.apply_changes(self._mirror, message.changes)
            case "handover":
                self._accept(ids.Epoch(message.handover.epoch))
            case "doubt":
                self._tell_doubt(ids.EndpointId(message.doubt.endpoint))

    def make_heartbeat(self) -> placement_pb2.EntryMessage:
        """Returns a beat for the placer."""
        message = placement_pb2.EntryMessage()
        message.beat.revision = self._mirror.revision
        message.beat.hears_store = self._hears_store()
        message.beat.is_leaving = self.is_leaving
        return message

    def _tell_changes(self, link: PlacerConnection) -> None:
        """Tells the placer what it does not hear from the store itself.

        The store may refuse the placer and serve others; until its lease ends
        it would place by what it knew.
        """
        if not self._hears_store() or link.revision >= self._mirror.revision:
            self._ahead_since_s = None
            return
        now_s = clock.now_s()
        if self._ahead_since_s is None:
            self._ahead_since_s = now_s
        if link.hears_store and now_s - self._ahead_since_s < AHEAD_S:
            return
        message = placement_pb2.EntryMessage()
        message.changes.CopyFrom(
            store_changes.encode_changes(
                self._mirror, kv.Revision(link.revision)
            )
        )
        link.send(message)
        logs.log(
            log_events.PlacerTold(
                placer=link.placer,
                since=link.revision,
                revision=self._mirror.revision,
            )
        )

    def _tell_doubt(self, endpoint: ids.EndpointId) -> None:
        for running in list(self._running.values()):
            if running.placement.endpoint == endpoint and running.on_doubt:
                running.on_doubt()

    def _take_decision(self, message: placement_pb2.Decision) -> None:
        asked = self._asked.get(message.ask)
        if asked is None or asked.decision.done():
            self._return_late(message)
            return
        if message.ask in self._own:
            self._forget_own(message.ask)
        asked.decision.set_result(wire_codec.decode_decision(message))

    def _return_late(self, message: placement_pb2.Decision) -> None:
        # The request was placed here or has ended: its place is given back.
        if message.ask in self._running:
            return
        returned = placement_pb2.EntryMessage()
        returned.ended.ask = message.ask
        returned.ended.result = messages.Result.GIVEN_UP.value
        self._send(returned)

    def _submit(self, ask: int, wanted: messages.PlacementRequest) -> str:
        self._wake.set()
        if self.connection is None:
            self._submit_own(ask, wanted)
            self._decide_own()
            return "own"
        placer = self.connection.placer
        self._send_ask(ask, wanted)
        return placer

    def _submit_own(self, ask: int, wanted: messages.PlacementRequest) -> None:
        self._own.add(ask)
        self._desk.submit(ask, wanted, clock.now_s())
        self._wake.set()

    def _forget_own(self, ask: int) -> None:
        if ask in self._own:
            self._own.discard(ask)
            self._desk.record_end(ask, messages.Result.GIVEN_UP, clock.now_s())

    def _take_back_unanswered(self) -> None:
        link = self.connection
        if link is None:
            return
        now_s = clock.now_s()
        if now_s - link.heard_at_s < HEARD_S:
            return
        for ask, asked in self._asked.items():
            left_s = asked.wanted.on_time_at_s - now_s
            if ask in self._own or asked.decision.done():
                continue
            if now_s - link.heard_at_s > ANSWER_SHARE * max(left_s, 0):
                logs.log(
                    log_events.PlacerNotWaitedFor(
                        request=asked.wanted.request_id,
                        placer=link.placer,
                        silent_s=now_s - link.heard_at_s,
                    )
                )
                self._submit_own(ask, asked.wanted)

    def _decide_own(self) -> None:
        if not self._own:
            return
        self._feed.refresh()
        for key, decision in self._desk.decide(clock.now_s()):
            assert isinstance(key, int)
            asked = self._asked.get(key)
            if asked is not None and not asked.decision.done():
                asked.decision.set_result(decision)

    def _note_placed(
        self,
        ask: int,
        wanted: messages.PlacementRequest,
        placement: messages.Placement,
        by: str,
    ) -> None:
        running = _Running(wanted, placement)
        self._running[ask] = running
        if by == "own":
            self._send_running(ask, running)
            return
        self._feed.refresh()
        self._desk.adopt(
            ask, wanted, placement.endpoint, clock.now_s(), has_begun=False
        )

    def _send_ask(self, ask: int, wanted: messages.PlacementRequest) -> None:
        message = placement_pb2.EntryMessage()
        message.ask.CopyFrom(wire_codec.encode_work(ask, wanted, clock.now_s()))
        self._send(message)

    def _send_running(self, ask: int, running: _Running) -> None:
        message = placement_pb2.EntryMessage()
        message.running.ask.CopyFrom(
            wire_codec.encode_work(ask, running.wanted, clock.now_s())
        )
        message.running.endpoint = running.placement.endpoint
        message.running.has_begun = running.has_begun
        self._send(message)

    def _send(self, message: placement_pb2.EntryMessage) -> None:
        if self.connection is not None:
            self.connection.send(message)
