"""Stand-in for a replica on the users' platform, with fault injection.

It implements the platform's protocol, so it uses the platform's names. It
prefills prompts at the published rate, runs at most as many requests as it has
slots, and allocates memory to requests and reservations.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import enum
import json
import socket
import time
import types
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import Self

import multidict
from aiohttp import web

from poplarwick_standins import _resets
from poplarwick_standins import crash_forms

PREFILL_TOKENS_PER_S = 154_000
"""Prefill rate of an engine without helpers, from the users' data sheets."""

MAX_QUEUED = 4
"""Maximum number of queued requests of a replica, besides its slots."""

HANG_S = 60.0
"""Time for which a replica with fault SILENT or STALL hangs."""


ERROR_TEXT = (
    "HTTP/1.1 500 Internal Server Error\n\ndata: the engine is overloaded\n\n"
)
"""An error that is sent as if it were the answer."""

PAUSE_S = 1.8
"""Time for which a replica with fault PAUSE sends nothing: it prefills long
prompts between the tokens of others."""

TRICKLE_INTERVAL_S = 0.2
"""Interval between the bytes of a stream with fault TRICKLE."""

SLOW_EVENT_BYTES = 40_000
SLOW_PART_BYTES = 4_000
SLOW_PART_INTERVAL_S = 0.2
"""An event with fault SLOW_EVENT arrives in ten parts over two seconds."""

UNREAD_BUFFER_BYTES = 16_384
"""Send buffer of streams that are cut if they stay unread."""

UNREAD_CHECK_S = 0.05
"""Interval between checks whether a stream is read."""

HEAD_RESET_DELAY_S = 0.02
"""Time from the beginning of a head to the reset of its connection."""

ENDLESS_PART_BYTES = 65_536
"""Size of the parts of a body with fault ENDLESS_BODY."""


class Fault(enum.Enum):
    """Faults that can be injected into requests."""

    NONE = "none"
    FULL = "full"
    SILENT = "silent"
    CUT_INSIDE_EVENT = "cut_inside_event"
    CUT_BEFORE_END = "cut_before_end"
    SKIP_EVENT = "skip_event"
    OTHER_REQUEST = "other_request"
    EARLIER_REFUSAL = "earlier_refusal"
    TEXT = "text"
    EVENTS_WITHOUT_IDS = "events_without_ids"
    NOTHING = "nothing"
    NOTHING_WITHOUT_TYPE = "nothing_without_type"
    UNSIGNED = "unsigned"
    ENCODED = "encoded"
    BARE_503 = "bare_503"
    RESET_WITHOUT_LENGTH = "reset_without_length"
    ERROR = "error"
    STALL = "stall"
    PAUSE = "pause"
    ANSWER_LOST = "answer_lost"
    TRICKLE = "trickle"
    SLOW_EVENT = "slow_event"
    ENDLESS_BODY = "endless_body"
    UNDELIMITED = "undelimited"
    UNDELIMITED_EMPTY = "undelimited_empty"
    UNDELIMITED_INSIDE_EVENT = "undelimited_inside_event"
    UNDELIMITED_OPEN = "undelimited_open"
    BODY_UNREAD = "body_unread"


@dataclasses.dataclass
class Execution:
    """A request that a replica executed.

    Attributes:
        request_id: Id of the request.
        headers: Headers as received.
        method: HTTP method.
        target: Request target as received.
        body: Request body.
        fault: Fault that was injected.
        outcome: `running`, `done`, `cancelled` or `cut`.
        began_at_s: Monotonic time of the start.
        ended_at_s: Monotonic time of the end; None while it runs.
    """

    request_id: str
    headers: Mapping[str, str]
    method: str
    target: str
    body: bytes
    fault: Fault = Fault.NONE
    outcome: str = "running"
    began_at_s: float = 0.0
    ended_at_s: float | None = None


@dataclasses.dataclass
class Arrival:
    """A request that reached a replica, whether executed or refused.

    Attributes:
        request_id: Id of the request.
        at_s: Monotonic time.
        status: Status of the response; None without a response.
    """

    request_id: str
    at_s: float
    status: int | None = None


@dataclasses.dataclass
class Reservation:
    """Memory reserved at a replica.

    Attributes:
        tokens: Size.
        expires_at_s: Monotonic time of expiry unless renewed.
        users: Ids of the requests that use it.
        idle_since_s: Monotonic time since which no request uses it.
        was_used: Whether a request has used it.
        peak_users: Maximum number of requests that used it at once.
    """

    tokens: int
    expires_at_s: float
    users: set[str]
    idle_since_s: float
    was_used: bool = False
    peak_users: int = 0


class Replica:
    """Replica, which serves requests while its context is open.

    Args:
        name: Id of the replica.
        service: Service that the replica belongs to.
        zone: Zone of the replica.
        address: Host and port to listen on; port 0 selects a free port.
        peers: Replicas by address, which serve as helpers.

    Attributes:
        fault: Fault to inject into each request.
        fault_plan: Faults of the next requests, which take precedence over
            `fault`; replicas may share one list.
        advertised_address: Address of a proxy through which callers connect;
            None if they connect directly.
        crashing_parts: Ids of the parts of prompts that crash the replica when
            it begins to write an answer on them; replicas may share one set.
        crashing_bodies: Bodies of requests that crash the replica when it
            begins to run them; replicas may share one set.
        choose_crash_form: Returns how the replica crashes on a request.
        crash_causes: Parts of the prompt, or the body, that crashed the
            replica; empty if none did.
        crashed_at_s: Monotonic time of that crash; None if there was none.
        raw_answer: Bytes that are sent in place of every response to a request
            without a planned fault or to a command, and after which the
            connection ends; None for proper responses.
        resets_raw_answer: Whether the connection is reset then.
        notice_headers: Headers that are added to every response.
        report_body: Body of its reports; None for a proper one.
        event_count: Number of events per stream.
        event_bytes: Size of an event; 0 for events of a few bytes.
        unread_limit_s: Time after which a stream that stays unread is cut;
            None if it never is.
        resets_unread: Whether it resets the connection of such a stream;
            otherwise the connection ends after the data that is under way.
        unread_cuts: Ids of the requests whose streams were cut so.
        event_interval_s: Interval between the events of a stream.
        response_delay_s: Duration of a request to a plain service.
        command_delay_s: Time until a command is carried out.
        slots: Maximum number of concurrent requests.
        memory_tokens: Memory capacity.
        cold_until_s: Monotonic time until which the replica is cold.
        executions: Executed requests, oldest first.
        arrivals: Received requests for this replica, oldest first.
        reservations: Current reservations by id.
        ended_reservations: Released and expired reservations.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str = "a",
        address: str = "127.0.0.1:0",
        peers: Mapping[str, Replica] | None = None,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.advertised_address: str | None = None
        self.fault = Fault.NONE
        self.fault_plan: list[Fault] = []
        self.crashing_parts: set[str] = set()
        self.crashing_bodies: set[bytes] = set()
        self.choose_crash_form: Callable[[], crash_forms.CrashForm] = (
            crash_forms.CrashForm
        )
        self.crash_causes: set[str] = set()
        self.crashed_at_s: float | None = None
        self.raw_answer: bytes | None = None
        self.resets_raw_answer = False
        self.notice_headers: dict[str, str] = {}
        self.report_body: bytes | None = None
        self.event_count = 5
        self.event_bytes = 0
        self.unread_limit_s: float | None = None
        self.resets_unread = True
        self.unread_cuts: list[str] = []
        self.event_interval_s = 0.01
        self.response_delay_s = 0.01
        self.command_delay_s = 0.0
        self.slots = 8
        self.memory_tokens = 405_000
        self.cold_until_s = 0.0
        self.executions: list[Execution] = []
        self.arrivals: list[Arrival] = []
        self.reservations: dict[str, Reservation] = {}
        self.ended_reservations: list[Reservation] = []
        self._peers = {} if peers is None else peers
        self._running = 0
        self._queued = 0
        self._used_tokens = 0
        self._slot_released = asyncio.Condition()
        self._is_open = False
        self._is_silent = False
        self._crash: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        self._server = web.Server(
            self._handle, access_log=None, handler_cancellation=True
        )
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        self._listener = await loop.create_server(
            self._server, host, int(port), reuse_address=True
        )
        host, number = self._listener.sockets[0].getsockname()
        self.address = f"{host}:{number}"
        self._is_open = True
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        await self.crash()

    @property
    def is_open(self) -> bool:
        """Whether the replica runs."""
        return self._is_open

    async def crash(
        self, ending: crash_forms.Ending = crash_forms.Ending.CLOSE
    ) -> None:
        """Stops at once and cuts off running requests.

        A silent replica still has to be crashed in another way at the end.
        """
        if not self._is_open and not self._is_silent:
            return
        self._is_open = False
        self._is_silent = ending is crash_forms.Ending.SILENCE
        if self._is_silent:
            return
        self._listener.close()
        if ending is crash_forms.Ending.RESET:
            for connection in list(self._server.connections):
                if connection.transport is not None:
                    _resets.set_reset(connection.transport)
        self.reset_connections()
        await self._server.shutdown(0)

    def reset_connections(self) -> None:
        """Resets all connections of callers."""
        for connection in list(self._server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    def make_entry(
        self, state: str = "ready", **changes: Any
    ) -> dict[str, Any]:
        """Returns the store entry of this replica.

        Args:
            state: State of the replica.
            **changes: Fields that override the defaults.
        """
        cold_s = max(self.cold_until_s - time.monotonic(), 0.0)
        return {
            "service": self.service,
            "address": self.advertised_address or self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_left_ms": round(cold_s * 1_000),
            "sequence": 1,
            "born": 1,
            **changes,
        }

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        await self._stop_if_silent()
        if request.path == "/v1/report":
            if self.report_body is not None:
                return web.Response(
                    body=self.report_body, headers=self.notice_headers
                )
            return web.json_response(
                {
                    "pace": 1.0,
                    "queued": self._queued,
                    "running": self._running,
                    "kv_used": self.allocated_tokens,
                },
                headers=self.notice_headers,
            )
        if request.path == "/v1/order":
            carried_out = await self._execute_command(request)
            if self.raw_answer is not None:
                return await self._send_raw(request)
            return carried_out
        arrival = Arrival(request.headers["Request-Id"], time.monotonic())
        if request.headers.get("Expect-Instance") != self.name:
            return web.Response(status=421, headers={"Replica-Id": "other"})
        self.arrivals.append(arrival)
        if self.fault is Fault.BODY_UNREAD:
            await asyncio.sleep(HANG_S)
        if self.fault is Fault.FULL:
            full = _refuse(self.address)
            full.headers.update(self.notice_headers)
            return full
        async with contextlib.AsyncExitStack() as stack:
            refusal = await self._admit(request, stack)
            if refusal is not None:
                arrival.status = refusal.status
                return refusal
            return await self._run_recorded(request, arrival)

    async def _run_recorded(
        self, request: web.BaseRequest, arrival: Arrival
    ) -> web.StreamResponse:
        execution = Execution(
            arrival.request_id,
            multidict.CIMultiDict(request.headers),
            request.method,
            request.raw_path,
            await request.read(),
            self.fault_plan.pop(0) if self.fault_plan else self.fault,
            began_at_s=time.monotonic(),
        )
        self.executions.append(execution)
        try:
            response = await self._run(request, execution)
            execution.outcome = "done"
            arrival.status = response.status
            return response
        except asyncio.CancelledError:
            execution.outcome = "cancelled"
            raise
        except ConnectionError:
            execution.outcome = "cut"
            raise
        finally:
            execution.ended_at_s = time.monotonic()

    async def _admit(
        self, request: web.BaseRequest, stack: contextlib.AsyncExitStack
    ) -> web.Response | None:
        """Allocates a slot and memory; returns a refusal on failure."""
        if self._running >= self.slots and self._queued >= MAX_QUEUED:
            return _refuse(self.address)
        await stack.enter_async_context(self._take_slot())
        request_id = request.headers["Request-Id"]
        reservations: list[Reservation] = []
        for address, reservation_id in read_helpers(request.headers):
            peer = self._peers.get(address)
            if reservation_id is None:
                continue
            reservation = (
                None if peer is None else peer.find_reservation(reservation_id)
            )
            if reservation is None:
                return _refuse(address)
            reservations.append(reservation)
        tokens = sum(_read_counts(request.headers))
        tokens -= min(sum(t.tokens for t in reservations), tokens)
        if tokens > self.memory_tokens - self.allocated_tokens:
            return _refuse(self.address)
        self._used_tokens += tokens
        stack.callback(self._release_tokens, tokens)
        for reservation in reservations:
            stack.enter_context(_use(reservation, request_id))
        return None

    @contextlib.asynccontextmanager
    async def _take_slot(self) -> AsyncIterator[None]:
        self._queued += 1
        try:
            async with self._slot_released:
                await self._slot_released.wait_for(
                    lambda: self._running < self.slots
                )
                self._running += 1
        except asyncio.CancelledError:
            self._queued -= 1
            await self._notify_waiting()
            raise
        self._queued -= 1
        try:
            yield
        finally:
            self._running -= 1
            await self._notify_waiting()

    async def _notify_waiting(self) -> None:
        """Wakes those that wait for a slot or until no request is left."""
        async with self._slot_released:
            self._slot_released.notify_all()

    def _release_tokens(self, tokens: int) -> None:
        self._used_tokens -= tokens

    async def wait_until_idle(self) -> None:
        """Waits until no request is running or queued."""
        async with self._slot_released:
            await self._slot_released.wait_for(
                lambda: not self._running and not self._queued
            )

    @property
    def allocated_tokens(self) -> int:
        """Memory allocated to requests and reservations."""
        self._expire_reservations()
        reserved = sum(
            reservation.tokens for reservation in self.reservations.values()
        )
        return self._used_tokens + reserved

    def find_reservation(self, reservation_id: str) -> Reservation | None:
        """Returns a reservation; None if it does not exist."""
        self._expire_reservations()
        return self.reservations.get(reservation_id)

    def _expire_reservations(self) -> None:
        now_s = time.monotonic()
        for reservation_id, reservation in list(self.reservations.items()):
            if now_s > reservation.expires_at_s:
                self.ended_reservations.append(
                    self.reservations.pop(reservation_id)
                )

    async def _execute_command(self, request: web.BaseRequest) -> web.Response:
        command = json.loads(await request.read())
        await asyncio.sleep(self.command_delay_s)
        self._expire_reservations()
        reservation_id = command["id"]
        if command["op"] == "release":
            if reservation_id in self.reservations:
                self.ended_reservations.append(
                    self.reservations.pop(reservation_id)
                )
            return self._respond_to_command(self.memory_tokens)
        now_s = time.monotonic()
        existing = self.reservations.get(reservation_id)
        free = self.memory_tokens - self.allocated_tokens
        if command["tokens"] > free + (existing.tokens if existing else 0):
            return self._respond_to_command(0, status=409)
        expires_at_s = now_s + command["hold_ms"] / 1_000
        if existing is None:
            self.reservations[reservation_id] = Reservation(
                command["tokens"], expires_at_s, set(), now_s
            )
        else:
            existing.expires_at_s = expires_at_s
        return self._respond_to_command(free)

    def _respond_to_command(
        self, free: int, *, status: int = 200
    ) -> web.Response:
        return web.json_response(
            {"free": free}, status=status, headers=self.notice_headers
        )

    def make_event(self, request_id: str, number: int) -> bytes:
        """Returns an event of a stream, encoded.

        Args:
            request_id: Id of the request.
            number: Number of the event, from 1.
        """
        del request_id
        return f"id: {number}\ndata: piece {number}\n\n".encode()

    def make_body(self, request_id: str) -> str:
        """Returns the response body of a plain service."""
        del request_id
        return f"answer of {self.name}"

    def choose_event_count(self, headers: Mapping[str, str]) -> int:
        """Returns the number of events of a stream."""
        del headers
        return self.event_count

    async def _send_raw(self, request: web.BaseRequest) -> web.Response:
        """Sends `raw_answer` and ends the connection."""
        transport = request.transport
        assert transport is not None and self.raw_answer is not None
        transport.write(self.raw_answer)
        if self.resets_raw_answer:
            await asyncio.sleep(HEAD_RESET_DELAY_S)
            _reset(request)
        else:
            transport.close()
        return web.Response()

    async def _run(
        self, request: web.BaseRequest, execution: Execution
    ) -> web.StreamResponse:
        if self.raw_answer is not None and execution.fault is Fault.NONE:
            return await self._send_raw(request)
        if execution.fault is Fault.SILENT:
            await asyncio.sleep(HANG_S)
        headers = {
            "Request-Id": execution.request_id,
            "Response-Stamp": f"s-{self.name}",
            **self.notice_headers,
        }
        match execution.fault:
            case Fault.OTHER_REQUEST:
                headers["Request-Id"] = "another"
            case Fault.UNSIGNED:
                del headers["Response-Stamp"]
            case Fault.ENCODED:
                headers["Content-Encoding"] = "br"
            case Fault.EARLIER_REFUSAL:
                headers["Request-Id"] = "earlier"
                headers["Not-Executed"] = "1"
                return web.Response(status=503, headers=headers)
            case Fault.TEXT:
                return web.Response(text=ERROR_TEXT, headers=headers)
            case Fault.EVENTS_WITHOUT_IDS:
                return web.Response(
                    text=ERROR_TEXT,
                    content_type="text/event-stream",
                    headers=headers,
                )
            case Fault.NOTHING_WITHOUT_TYPE:
                nothing = web.Response(headers=headers)
                await nothing.prepare(request)
                del nothing.headers["Content-Type"]
                return nothing
            case Fault.NOTHING:
                return web.Response(headers=headers)
            case Fault.BARE_503:
                return web.Response(status=503, headers=headers)
            case Fault.ERROR:
                return web.Response(status=500, headers=headers, text="error")
            case Fault.ANSWER_LOST:
                await asyncio.sleep(self.response_delay_s)
                _abort(request)
                return web.Response()
            case Fault.ENDLESS_BODY:
                return await self._send_without_end(request, headers)
            case Fault.RESET_WITHOUT_LENGTH:
                return await self._reset_without_length(request, headers)
            case (
                Fault.UNDELIMITED
                | Fault.UNDELIMITED_EMPTY
                | Fault.UNDELIMITED_INSIDE_EVENT
                | Fault.UNDELIMITED_OPEN
            ):
                return await self._stream_undelimited(
                    request, execution, headers
                )
            case _:
                pass
        if "Token-Counts" in request.headers:
            return await self._stream(request, execution, headers)
        await asyncio.sleep(self.response_delay_s)
        form = self.choose_crash_form()
        await self._crash_on(execution, form, form.stage)
        await self._stop_if_silent()
        return web.Response(
            headers=headers, text=self.make_body(execution.request_id)
        )

    async def _reset_without_length(
        self, request: web.BaseRequest, headers: Mapping[str, str]
    ) -> web.Response:
        lines = "".join(f"{k}: {v}\r\n" for k, v in headers.items())
        transport = request.transport
        assert transport is not None
        transport.write(f"HTTP/1.1 200 OK\r\n{lines}\r\nhalf of it".encode())
        await asyncio.sleep(0.05)
        _reset(request)
        return web.Response()

    async def _stream_undelimited(
        self,
        request: web.BaseRequest,
        execution: Execution,
        headers: Mapping[str, str],
    ) -> web.Response:
        """Sends a stream that ends with its connection, closed cleanly."""
        lines = "".join(f"{k}: {v}\r\n" for k, v in headers.items())
        transport = request.transport
        assert transport is not None
        transport.write(
            f"HTTP/1.1 200 OK\r\n{lines}Connection: close\r\n\r\n".encode()
        )
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        events = [
            self.make_event(execution.request_id, number)
            for number in range(first, self.event_count + 1)
        ]
        match execution.fault:
            case Fault.UNDELIMITED_EMPTY:
                events = []
            case Fault.UNDELIMITED_INSIDE_EVENT:
                events[2:] = [events[2][:-6]]
            case Fault.UNDELIMITED_OPEN:
                del events[2:]
            case _:
                pass
        for event in events:
            await asyncio.sleep(self.event_interval_s)
            transport.write(event)
        if execution.fault is Fault.UNDELIMITED_OPEN:
            await asyncio.sleep(HANG_S)
        transport.close()
        return web.Response()

    async def _send_without_end(
        self, request: web.BaseRequest, headers: Mapping[str, str]
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        while True:
            await response.write(b"x" * ENDLESS_PART_BYTES)

    async def _crash_on(
        self,
        execution: Execution,
        form: crash_forms.CrashForm,
        stage: crash_forms.Stage,
    ) -> None:
        """Crashes if the request or a part of its prompt does so.

        Args:
            execution: The request.
            form: How it crashes the replica.
            stage: How much of the answer has been sent.
        """
        if form.stage is not stage:
            return
        causes = set(_read_parts(execution.headers)) & self.crashing_parts
        if execution.body in self.crashing_bodies:
            causes.add(execution.body.decode(errors="replace"))
        if not causes:
            return
        await asyncio.sleep(form.delay_s)
        if self._is_open:
            self.crash_causes = causes
            self.crashed_at_s = time.monotonic()
            # In a task of its own, because the crash ends this request too.
            self._crash = asyncio.create_task(self.crash(form.ending))
        await asyncio.sleep(HANG_S)

    async def _stop_if_silent(self) -> None:
        if self._is_silent:
            await asyncio.sleep(HANG_S)

    async def prepare_events(
        self, prompt_tokens: int, headers: Mapping[str, str]
    ) -> None:
        """Reads a prompt, with the helpers that the headers name."""
        engine_count = 1 + len(read_helpers(headers))
        await asyncio.sleep(prompt_tokens / PREFILL_TOKENS_PER_S / engine_count)

    async def wait_for_event(self) -> None:
        """Waits until the next event of a stream is made."""
        await asyncio.sleep(self.event_interval_s)

    async def _stream(
        self,
        request: web.BaseRequest,
        execution: Execution,
        headers: Mapping[str, str],
    ) -> web.StreamResponse:
        prompt_tokens, _ = _read_counts(request.headers)
        form = self.choose_crash_form()
        await self._crash_on(execution, form, crash_forms.Stage.BEFORE_HEAD)
        await self._stop_if_silent()
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        if self.unread_limit_s is not None and request.transport is not None:
            request.transport.set_write_buffer_limits(0)
            # Otherwise the kernel takes megabytes that nobody reads.
            request.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, UNREAD_BUFFER_BYTES
            )
        await self.prepare_events(prompt_tokens, request.headers)
        await self._crash_on(execution, form, crash_forms.Stage.AFTER_HEAD)
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        events = self.choose_event_count(request.headers)
        for number in range(first, events + 1):
            await self.wait_for_event()
            await self._stop_if_silent()
            event = self.make_event(execution.request_id, number)
            if self.event_bytes:
                event = _enlarge(event, self.event_bytes)
            is_middle = number == (first + events) // 2
            if is_middle and execution.fault is Fault.SKIP_EVENT:
                continue
            if is_middle and execution.fault is Fault.STALL:
                await asyncio.sleep(HANG_S)
            if is_middle and execution.fault is Fault.PAUSE:
                await asyncio.sleep(PAUSE_S)
            if is_middle and execution.fault is Fault.TRICKLE:
                await _trickle(response, event)
            if is_middle and execution.fault is Fault.SLOW_EVENT:
                event = _enlarge(event, SLOW_EVENT_BYTES)
                for begin in range(0, len(event), SLOW_PART_BYTES):
                    await response.write(event[begin:][:SLOW_PART_BYTES])
                    await asyncio.sleep(SLOW_PART_INTERVAL_S)
                continue
            if is_middle and execution.fault is Fault.CUT_INSIDE_EVENT:
                await response.write(event[:-6])
                _abort(request)
                return response
            if is_middle and execution.fault is Fault.CUT_BEFORE_END:
                _abort(request)
                return response
            await self._write(request, response, event)
            if number == first:
                await self._crash_on(
                    execution, form, crash_forms.Stage.AFTER_EVENT
                )
        await response.write_eof()
        return response

    async def _write(
        self,
        request: web.BaseRequest,
        response: web.StreamResponse,
        data: bytes,
    ) -> None:
        """Sends bytes of a stream; cuts it if it stays unread for too long."""
        await response.write(data)
        deadline_s = time.monotonic() + (self.unread_limit_s or 0.0)
        while self.unread_limit_s is not None and (
            request.protocol.writing_paused
        ):
            if time.monotonic() > deadline_s:
                self.unread_cuts.append(request.headers["Request-Id"])
                if self.resets_unread:
                    _reset(request)
                _abort(request)
                raise ConnectionResetError("the stream stays unread")
            await asyncio.sleep(UNREAD_CHECK_S)


async def _trickle(response: web.StreamResponse, event: bytes) -> None:
    """Sends a byte of an event now and then, without ever completing it."""
    while True:
        await response.write(event[:1])
        await asyncio.sleep(TRICKLE_INTERVAL_S)


def _enlarge(event: bytes, size_bytes: int) -> bytes:
    """Returns an event with a large comment before its data."""
    comment = b": " + b"." * (size_bytes - len(event)) + b"\n"
    return comment + event


def _refuse(refusing_server: str) -> web.Response:
    return web.Response(
        status=503, headers={"Not-Executed": "1", "At-Server": refusing_server}
    )


def _read_counts(headers: Mapping[str, str]) -> tuple[int, int]:
    prompt, _, output = headers.get("Token-Counts", "0,0").partition(",")
    return int(prompt), int(output)


def _read_parts(headers: Mapping[str, str]) -> list[str]:
    """Returns the ids of the parts of a prompt, without the last one."""
    entries = headers.get("Prompt-Prefix", "").split(",")[:-1]
    return [entry.partition(":")[0].strip() for entry in entries]


def read_helpers(
    headers: Mapping[str, str],
) -> list[tuple[str, str | None]]:
    """Returns the addresses of the helpers, and their reservations' ids."""
    found: list[tuple[str, str | None]] = []
    for word in headers.get("Helpers", "").split(","):
        address, _, reservation_id = word.strip().partition("/")
        if address:
            found.append((address, reservation_id or None))
    return found


@contextlib.contextmanager
def _use(reservation: Reservation, request_id: str) -> Any:
    reservation.users.add(request_id)
    reservation.was_used = True
    reservation.peak_users = max(reservation.peak_users, len(reservation.users))
    try:
        yield
    finally:
        reservation.users.discard(request_id)
        reservation.idle_since_s = time.monotonic()


def _abort(request: web.BaseRequest) -> None:
    if request.transport is not None:
        request.transport.abort()


def _reset(request: web.BaseRequest) -> None:
    """Discards what is under way and resets the connection."""
    if request.transport is not None:
        _resets.set_reset(request.transport)
        request.transport.abort()
