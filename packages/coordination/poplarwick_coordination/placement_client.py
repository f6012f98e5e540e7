"""Obtains placement decisions for this instance's requests.

Requests go to the current placer. While no placer is connected, or the placer
is unresponsive, a scheduler in this process decides on them.
"""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
from collections.abc import Callable

from poplarwick_catalogue import catalogue
from poplarwick_catalogue import deployment
from poplarwick_catalogue import quarantines
from poplarwick_catalogue import types
from poplarwick_coordination import candidates
from poplarwick_coordination import log_events
from poplarwick_coordination import message_streams
from poplarwick_coordination import recent_cuts
from poplarwick_coordination import relief_grants
from poplarwick_coordination import scheduler_feed
from poplarwick_coordination import store_changes
from poplarwick_coordination import wire_codec
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_peers.wire import placement_pb2
from poplarwick_placement import crash_evidence
from poplarwick_placement import engine_report
from poplarwick_placement import messages
from poplarwick_platform import kv
from poplarwick_platform import mirror

LOCAL_DECISION_PERIOD_S = 0.02
"""Interval between scheduling attempts for requests queued at this instance."""

ANSWER_WAIT_SHARE = 0.4
"""Share of the time left to answer on time for which a request waits for an
unresponsive placer. After that it is scheduled locally."""

PLACER_ALIVE_S = 0.4
"""A placer counts as alive for this long after its last message; about one and
a half heartbeat periods."""

PLACER_CHANGE_S = 3.0
"""Time after the last message of a placer within which the next one usually
connects: the lease ends, a candidate wins the tenure and dials."""

PLACER_CHANGE_SHARE = 0.5
"""Share of the time to its deadline for which a request waits for the next
placer at most, so that it can still be served without one."""

STORE_LAG_LIMIT_S = 0.2
"""Time for which a placer that watches the store may lag behind this instance.
Its own watch should deliver the changes within a few network hops and one
heartbeat."""

Send = Callable[[placement_pb2.EntryMessage], None]


@dataclasses.dataclass(slots=True)
class _PendingRequest:
    request: messages.PlacementRequest
    decision: asyncio.Future[messages.Decision]


@dataclasses.dataclass(slots=True)
class _RunningRequest:
    request: messages.PlacementRequest
    placement: messages.Placement
    placed_at_s: float
    has_begun: bool = False
    on_suspicion: Callable[[], None] | None = None


@dataclasses.dataclass(slots=True)
class PlacerConnection:
    """Connection to the placer that serves this instance.

    Attributes:
        placer: Instance that runs the placer.
        epoch: Epoch of its tenure.
        send: Sends a message to the placer.
        last_received_at_s: Monotonic time of its last message.
        receives_store_updates: Whether the placer receives updates from the
            store and forwards them.
        position: Point in the store's history that the placer has reached.
        protocol: Version of the messages that the placer knows.
    """

    placer: str
    epoch: int
    send: Send
    last_received_at_s: float
    receives_store_updates: bool = False
    position: kv.Position = kv.Position(kv.FIRST_ERA, kv.Revision(0))
    protocol: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementOutcome:
    """Decision on a request.

    Attributes:
        request_number: Number of the request at this instance.
        decision: Placement, or refusal with its reason.
        decided_by: Instance of the placer that decided; "own" if the decision
            was local.
        waited_s: Time from submission to decision.
    """

    request_number: int
    decision: messages.Decision
    decided_by: str
    waited_s: float


class PlacementClient:
    """Submits requests to the placer and falls back to local scheduling.

    Args:
        catalogue_: Routing configuration, endpoints and members.
        store_mirror: Local copy of the store.
        deployment_: Deployment of this instance.
        observe_epoch: Called with the epoch of each placer that connects, and
            with that placer.
        receives_store_updates: Returns whether this instance receives updates
            from the store.
        accept_handover: Called with the epoch that a stopping placer hands
            over to this instance, and with that placer.
    """

    def __init__(
        self,
        catalogue_: catalogue.Catalogue,
        store_mirror: mirror.Mirror,
        deployment_: deployment.Deployment,
        observe_epoch: Callable[[ids.Epoch, ids.InstanceId], None],
        receives_store_updates: Callable[[], bool],
        accept_handover: Callable[[ids.Epoch, ids.InstanceId], None],
    ) -> None:
        self._accept_handover = accept_handover
        self.is_leaving = False
        self.asks_for_relief = False
        self._relieved_at_s: float | None = None
        self.last_epoch = 0
        self._receives_store_updates = receives_store_updates
        self.disconnected_since_s = clock.now_s()
        self.connection: PlacerConnection | None = None
        self._catalogue = catalogue_
        self._mirror = store_mirror
        self._deployment = deployment_
        self._observe_epoch = observe_epoch
        self._ahead_since_s: float | None = None
        self._request_numbers = itertools.count(1)
        self._pending: dict[int, _PendingRequest] = {}
        self._running: dict[int, _RunningRequest] = {}
        self._local_requests: set[int] = set()
        self._cuts = recent_cuts.RecentCuts()
        self._wake = asyncio.Event()
        self._feed = scheduler_feed.SchedulerFeed(
            catalogue_, deployment_, candidates.Scope.INSTANCE, self._wake.set
        )
        self._scheduler = self._feed.scheduler
        self._on_possible_crash: Callable[[ids.EndpointId], None] = (
            lambda endpoint: None
        )
        catalogue_.quarantines.add_listener(self._report_quarantine)

    @property
    def is_behind(self) -> bool:
        """Whether the placer knows a later state of the store."""
        return self.connection is not None and (
            self.connection.position > self._mirror.position
        )

    @property
    def evidence(self) -> crash_evidence.CrashEvidence:
        """What the requests of this instance say of crashes of endpoints."""
        return self._scheduler.evidence

    def has_relief(self, now_s: float) -> bool:
        """Returns whether the placer lets this instance turn callers away."""
        at_s = self._relieved_at_s
        return at_s is not None and now_s < at_s + relief_grants.GRANT_TTL_S

    async def run(self) -> None:
        """Schedules local requests until cancelled."""
        while True:
            self._wake.clear()
            await self._wake.wait()
            while self._local_requests or self._pending:
                self._reclaim_unanswered()
                self._decide_local()
                await asyncio.sleep(LOCAL_DECISION_PERIOD_S)

    async def place(
        self, request: messages.PlacementRequest
    ) -> PlacementOutcome:
        """Waits for the decision on a request.

        The caller must call `record_end` for each placed request.
        """
        request_number = next(self._request_numbers)
        if not request.was_placed:
            self._scheduler.count_request(request.service, clock.now_s())
        submitted_at_s = clock.now_s()
        pending = _PendingRequest(
            request, asyncio.get_running_loop().create_future()
        )
        self._pending[request_number] = pending
        decided_by = self._submit(request_number, request)
        try:
            decision = await pending.decision
        except asyncio.CancelledError:
            self.record_end(request_number, messages.Result.GIVEN_UP)
            raise
        finally:
            self._pending.pop(request_number, None)
        if request_number in self._local_requests:
            self._local_requests.discard(request_number)
            decided_by = "own"
        if isinstance(decision, messages.Placement):
            self._record_placement(
                request_number, request, decision, decided_by
            )
        return PlacementOutcome(
            request_number, decision, decided_by, clock.now_s() - submitted_at_s
        )

    def on_possible_crash(
        self, listener: Callable[[ids.EndpointId], None]
    ) -> None:
        """Calls `listener` with endpoints that cut answers off.

        Only while there is no placer, which finds out itself.
        """
        self._on_possible_crash = listener

    def record_report(
        self,
        endpoint: ids.EndpointId,
        report: engine_report.EngineReport | None,
    ) -> None:
        """Records the report of an engine; None if it did not return one."""
        self._scheduler.record_report(endpoint, report, clock.now_s())
        self._impose_without_placer()

    def record_connection(
        self, endpoint: ids.EndpointId, is_reachable: bool
    ) -> None:
        """Records whether an endpoint accepted a connection."""
        self._scheduler.record_connection(
            endpoint, clock.now_s(), is_reachable=is_reachable
        )
        self._impose_without_placer()

    def _impose_without_placer(self) -> None:
        # The placer hears of all crashes and decides where there is one.
        if self.connection is None:
            self._feed.impose_quarantines()

    def record_first_event(self, request_number: int) -> None:
        """Records that a placed request has produced its first event."""
        running = self._running.get(request_number)
        if running is None or running.has_begun:
            return
        running.has_begun = True
        self._scheduler.record_first_event(request_number, clock.now_s())
        message = placement_pb2.EntryMessage()
        message.began.ask = request_number
        self._send(message)

    def on_suspicion(
        self, request_number: int, listener: Callable[[], None]
    ) -> None:
        """Calls `listener` if the endpoint of a request is suspected."""
        running = self._running.get(request_number)
        if running is not None:
            running.on_suspicion = listener

    def record_end(
        self,
        request_number: int,
        result: messages.Result,
        blamed: str | None = None,
        answer: messages.AnswerEnd | None = None,
    ) -> None:
        """Records the end of a request, placed or not.

        Args:
            request_number: Number of the request.
            result: Result of the request.
            blamed: Address of another endpoint that caused the failure.
            answer: How its answer ended; None if it is of no consequence.
        """
        running = self._running.pop(request_number, None)
        self._local_requests.discard(request_number)
        if running is not None and answer is not None:
            self._record_answer(request_number, running, answer)
        endpoint = self._feed.record_end(request_number, result, blamed, answer)
        if (
            self.connection is None
            and endpoint is not None
            and self._scheduler.may_have_crashed(endpoint)
        ):
            self._on_possible_crash(endpoint)
        self._impose_without_placer()
        message = placement_pb2.EntryMessage()
        message.ended.CopyFrom(
            wire_codec.encode_ended(request_number, result, blamed, answer)
        )
        self._send(message)

    def _record_answer(
        self,
        request_number: int,
        running: _RunningRequest,
        answer: messages.AnswerEnd,
    ) -> None:
        """Keeps a cut for the next placer, unless its endpoint leaves."""
        if answer.is_conclusive:
            self._cuts.record_answer(running.request)
            return
        tracked = self._catalogue.endpoints.get(running.placement.endpoint)
        if (
            tracked is None
            or tracked.endpoint.state is not types.EndpointState.READY
            or tracked.endpoint.id in self._catalogue.leaving
        ):
            return
        self._cuts.record(
            recent_cuts.RecentCut(
                request_number,
                running.request,
                tracked.endpoint.start,
                tracked.endpoint.software_version,
                answer.written_s,
                clock.now_s(),
                running.placed_at_s,
            )
        )

    def attach(self, connection: PlacerConnection) -> bool:
        """Uses the connection unless the current placer goes first.

        The later epoch does, and of equal ones the same for all instances.

        Running requests are reported to the new placer and undecided ones are
        submitted to it.

        Returns:
            Whether the connection is used.
        """
        current = self.connection
        if current is not None and (current.epoch, current.placer) > (
            connection.epoch,
            connection.placer,
        ):
            return False
        self._observe_epoch(
            ids.Epoch(connection.epoch), ids.InstanceId(connection.placer)
        )
        self.last_epoch = max(self.last_epoch, connection.epoch)
        self.connection = connection
        logs.log(
            log_events.PlacerFollowed(
                placer=connection.placer, epoch=connection.epoch
            )
        )
        for quarantine in self._catalogue.quarantines.known:
            self._report_quarantine(quarantine)
        for start, per_s in self._catalogue.rate_limits.known.items():
            self.report_limit(start, per_s)
        self._report_evidence(connection)
        for request_number, running in self._running.items():
            self._send_running(request_number, running)
        for request_number, pending in self._pending.items():
            if not pending.decision.done():
                self._withdraw_local(request_number)
                self._send_request(request_number, pending.request)
        return True

    def _report_evidence(self, connection: PlacerConnection) -> None:
        """Tells a new placer what answers were cut off, and what were sound."""
        now_s = clock.now_s()
        if connection.protocol >= message_streams.ANSWERS_PROTOCOL:
            for scope, answer in self.evidence.list_sound_answers():
                message = placement_pb2.EntryMessage()
                message.earlier_answer.CopyFrom(
                    wire_codec.encode_earlier_answer(scope, answer, now_s)
                )
                self._send(message)
        if connection.protocol >= recent_cuts.PROTOCOL:
            for cut in self._cuts.iter_recent(now_s):
                message = placement_pb2.EntryMessage()
                message.cut.CopyFrom(wire_codec.encode_cut(cut, now_s))
                self._send(message)

    def detach(self, connection: PlacerConnection, reason: object) -> None:
        """Drops the connection and schedules its undecided requests locally.

        Has no effect if another connection has replaced it.
        """
        if self.connection is not connection:
            return
        self.connection = None
        self.disconnected_since_s = clock.now_s()
        logs.log(
            log_events.PlacerLost(placer=connection.placer, reason=str(reason))
        )
        for request_number, pending in self._pending.items():
            if not pending.decision.done():
                self._submit_without_placer(request_number, pending.request)
        self._decide_local()

    def handle(
        self, connection: PlacerConnection, message: placement_pb2.PlacerMessage
    ) -> None:
        """Handles a message from the placer."""
        connection.last_received_at_s = clock.now_s()
        match message.WhichOneof("kind"):
            case "beat":
                connection.receives_store_updates = message.beat.hears_store
                connection.position = kv.Position(
                    kv.Era(message.beat.era), kv.Revision(message.beat.revision)
                )
                if message.beat.relief:
                    self._relieved_at_s = clock.now_s()
                else:
                    self._relieved_at_s = None
                self._send_missed_changes(connection)
            case "decision":
                self._apply_decision(message.decision)
            case "changes":
                store_changes.apply_changes(self._mirror, message.changes)
            case "handover":
                # One that this instance no longer follows is not the placer.
                if connection is self.connection:
                    self._accept_handover(
                        ids.Epoch(message.handover.epoch),
                        ids.InstanceId(connection.placer),
                    )
            case "endpoint_leaving":
                self._catalogue.record_leaving(
                    wire_codec.decode_start(message.endpoint_leaving)
                )
            case "endpoint_limit":
                wire_codec.apply_limit(
                    self._catalogue.rate_limits, message.endpoint_limit
                )
            case "quarantine":
                self._catalogue.quarantines.merge(
                    wire_codec.decode_quarantine(message.quarantine)
                )
            case "doubt":
                self._notify_suspicion(ids.EndpointId(message.doubt.endpoint))

    def report_leaving(self, start: types.EndpointStart) -> None:
        """Tells the placer that an endpoint leaves."""
        message = placement_pb2.EntryMessage()
        message.endpoint_leaving.CopyFrom(wire_codec.encode_start(start))
        self._send(message)

    def report_limit(
        self, start: types.EndpointStart, per_s: float | None
    ) -> None:
        """Tells the placer the rate of requests that an endpoint takes."""
        message = placement_pb2.EntryMessage()
        message.endpoint_limit.CopyFrom(wire_codec.encode_limit(start, per_s))
        self._send(message)

    def _report_quarantine(self, quarantine: quarantines.Quarantine) -> None:
        message = placement_pb2.EntryMessage()
        message.quarantine.CopyFrom(wire_codec.encode_quarantine(quarantine))
        self._send(message)

    def make_heartbeat(self) -> placement_pb2.EntryMessage:
        """Returns a heartbeat to send to the placer."""
        message = placement_pb2.EntryMessage()
        message.beat.revision = self._mirror.revision
        message.beat.era = self._mirror.era
        message.beat.hears_store = self._receives_store_updates()
        message.beat.is_leaving = self.is_leaving
        message.beat.protocol = message_streams.PROTOCOL_VERSION
        message.beat.relief = self.asks_for_relief
        return message

    def _send_missed_changes(self, connection: PlacerConnection) -> None:
        """Sends the placer store changes that it has not received itself.

        The store may reject the placer's calls while it serves other
        instances. Without this, the placer would decide on stale data until
        its lease ends.
        """
        if (
            not self._receives_store_updates()
            or connection.position >= self._mirror.position
        ):
            self._ahead_since_s = None
            return
        now_s = clock.now_s()
        if self._ahead_since_s is None:
            self._ahead_since_s = now_s
        if (
            connection.receives_store_updates
            and now_s - self._ahead_since_s < STORE_LAG_LIMIT_S
        ):
            return
        message = placement_pb2.EntryMessage()
        message.changes.CopyFrom(
            store_changes.encode_changes(self._mirror, connection.position)
        )
        connection.send(message)
        logs.log(
            log_events.PlacerTold(
                placer=connection.placer,
                since=connection.position.revision,
                revision=self._mirror.revision,
            )
        )

    def _notify_suspicion(self, endpoint: ids.EndpointId) -> None:
        for running in list(self._running.values()):
            if running.placement.endpoint == endpoint and running.on_suspicion:
                running.on_suspicion()

    def _apply_decision(self, message: placement_pb2.Decision) -> None:
        pending = self._pending.get(message.ask)
        if pending is None or pending.decision.done():
            self._release_late_placement(message)
            return
        if message.ask in self._local_requests:
            self._withdraw_local(message.ask)
        pending.decision.set_result(wire_codec.decode_decision(message))

    def _release_late_placement(self, message: placement_pb2.Decision) -> None:
        # The request was placed locally or has ended, so the capacity that the
        # placer allocated for it is released.
        if message.ask in self._running:
            return
        returned = placement_pb2.EntryMessage()
        returned.ended.ask = message.ask
        returned.ended.result = messages.Result.GIVEN_UP.value
        self._send(returned)

    def _submit(
        self, request_number: int, request: messages.PlacementRequest
    ) -> str:
        self._wake.set()
        if self.connection is None:
            self._submit_without_placer(request_number, request)
            self._decide_local()
            return "own"
        placer = self.connection.placer
        self._send_request(request_number, request)
        return placer

    def _submit_without_placer(
        self, request_number: int, request: messages.PlacementRequest
    ) -> None:
        if not self._must_await_placer(request):
            self._submit_local(request_number, request)
            return
        logs.log(log_events.AwaitsPlacer(request=request.request_id))
        self._wake.set()

    def _must_await_placer(self, request: messages.PlacementRequest) -> bool:
        """Returns whether a request waits for the next placer.

        Each instance knows only its own cuts. Without this, each one would send
        its copy of a request that crashes endpoints to another endpoint.
        """
        now_s = clock.now_s()
        lost_at_s = self.disconnected_since_s
        if self.connection is not None:
            lost_at_s = self.connection.last_received_at_s
        limit_s = min(
            PLACER_CHANGE_S,
            PLACER_CHANGE_SHARE * (request.deadline_at_s - lost_at_s),
        )
        return now_s - lost_at_s < limit_s and self._cuts.is_suspected(
            request, now_s
        )

    def _submit_local(
        self, request_number: int, request: messages.PlacementRequest
    ) -> None:
        self._local_requests.add(request_number)
        self._scheduler.submit(request_number, request, clock.now_s())
        self._wake.set()

    def _withdraw_local(self, request_number: int) -> None:
        if request_number in self._local_requests:
            self._local_requests.discard(request_number)
            self._scheduler.record_end(
                request_number, messages.Result.GIVEN_UP, clock.now_s()
            )

    def _reclaim_unanswered(self) -> None:
        connection = self.connection
        now_s = clock.now_s()
        if connection is None:
            self._submit_awaiting()
            return
        if now_s - connection.last_received_at_s < PLACER_ALIVE_S:
            return
        for request_number, pending in self._pending.items():
            time_left_s = pending.request.on_time_at_s - now_s
            if (
                request_number in self._local_requests
                or pending.decision.done()
                or self._must_await_placer(pending.request)
            ):
                continue
            if now_s - connection.last_received_at_s > ANSWER_WAIT_SHARE * max(
                time_left_s, 0
            ):
                logs.log(
                    log_events.PlacerNotWaitedFor(
                        request=pending.request.request_id,
                        placer=connection.placer,
                        silent_s=now_s - connection.last_received_at_s,
                    )
                )
                self._submit_local(request_number, pending.request)

    def _submit_awaiting(self) -> None:
        """Submits the requests that have waited for a placer in vain."""
        for request_number, pending in self._pending.items():
            if (
                request_number not in self._local_requests
                and not pending.decision.done()
                and not self._must_await_placer(pending.request)
            ):
                self._submit_local(request_number, pending.request)

    def _decide_local(self) -> None:
        if not self._local_requests:
            return
        self._feed.refresh()
        self._impose_without_placer()
        for key, decision in self._scheduler.decide(clock.now_s()):
            assert isinstance(key, int)
            pending = self._pending.get(key)
            if pending is not None and not pending.decision.done():
                pending.decision.set_result(decision)

    def _record_placement(
        self,
        request_number: int,
        request: messages.PlacementRequest,
        placement: messages.Placement,
        decided_by: str,
    ) -> None:
        running = _RunningRequest(request, placement, clock.now_s())
        self._running[request_number] = running
        if decided_by == "own":
            self._send_running(request_number, running)
            return
        self._feed.refresh()
        self._scheduler.adopt(
            request_number,
            request,
            placement.endpoint,
            clock.now_s(),
            has_begun=False,
        )

    def _send_request(
        self, request_number: int, request: messages.PlacementRequest
    ) -> None:
        message = placement_pb2.EntryMessage()
        message.ask.CopyFrom(
            wire_codec.encode_request(request_number, request, clock.now_s())
        )
        self._send(message)

    def _send_running(
        self, request_number: int, running: _RunningRequest
    ) -> None:
        message = placement_pb2.EntryMessage()
        message.running.ask.CopyFrom(
            wire_codec.encode_request(
                request_number, running.request, clock.now_s()
            )
        )
        message.running.endpoint = running.placement.endpoint
        message.running.has_begun = running.has_begun
        self._send(message)

    def _send(self, message: placement_pb2.EntryMessage) -> None:
        if self.connection is not None:
            self.connection.send(message)
