"""Stand-in of a replica of the platform, with planted faults."""

from __future__ import annotations

import asyncio
import dataclasses
import enum

import multidict
from aiohttp import web


class Fault(enum.Enum):
    """What goes wrong with the requests to come."""

    NONE = "none"
    FULL = "full"
    SILENT = "silent"
    CUT_INSIDE_EVENT = "cut_inside_event"
    CUT_BEFORE_END = "cut_before_end"
    SKIP_EVENT = "skip_event"
    OTHER_REQUEST = "other_request"
    UNSIGNED = "unsigned"
    ENCODED = "encoded"
    BARE_503 = "bare_503"
    RESET_WITHOUT_LENGTH = "reset_without_length"
    ERROR = "error"
    STALL = "stall"


@dataclasses.dataclass
class Run:
    """A request as it arrived."""

    request: str
    headers: dict[str, str]
    method: str
    target: str
    body: bytes
    fault: Fault = Fault.NONE
    ended: str = "running"


class Replica:
    """Answers requests while its context is open.

    Attributes:
        fault: Fault of each request.
        plan: Faults of the next requests, before `fault`; replicas may share
            one list.
    """

    def __init__(self, name: str, service: str, zone: str = "a") -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.fault = Fault.NONE
        self.plan: list[Fault] = []
        self.events = 5
        self.event_s = 0.01
        self.work_s = 0.01
        self.runs: list[Run] = []
        self.tickets: dict[str, int] = {}
        self.free_tokens = 405_000

    async def __aenter__(self):
        self._server = web.Server(
            self._handle, access_log=None, handler_cancellation=True
        )
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._server, "127.0.0.1", 0)
        host, port = self._listener.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_):
        self._listener.close()
        await self._server.shutdown(0.1)

    def make_entry(self, state: str = "ready", **changes) -> dict:
        """Returns the entry of this replica in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_left_ms": 0,
            "sequence": 1,
            "born": 1,
            **changes,
        }

    async def _handle(self, request):
        if request.path == "/v1/report":
            return web.json_response({"pace": 1.0, "queued": 0, "running": 0})
        if request.path == "/v1/order":
            return await self._order(request)
        if request.headers.get("Expect-Instance") != self.name:
            return web.Response(status=421, headers={"Replica-Id": "other"})
        if self.fault is Fault.FULL:
            return web.Response(status=503, headers={"Not-Executed": "1"})
        run = Run(
            request.headers["Request-Id"],
            multidict.CIMultiDict(request.headers),
            request.method,
            request.raw_path,
            await request.read(),
            self.plan.pop(0) if self.plan else self.fault,
        )
        self.runs.append(run)
        try:
            response = await self._run(request, run)
            run.ended = "done"
            return response
        except asyncio.CancelledError:
            run.ended = "cancelled"
            raise

    async def _order(self, request):
        order = await request.json()
        if order["op"] == "release":
            self.tickets.pop(order["id"], None)
            return web.json_response({"free": self.free_tokens})
        used = sum(self.tickets.values()) - self.tickets.get(order["id"], 0)
        if order["tokens"] > self.free_tokens - used:
            return web.json_response({"free": 0}, status=409)
        self.tickets[order["id"]] = order["tokens"]
        return web.json_response({"free": self.free_tokens - used})

    async def _run(self, request, run):
        if run.fault is Fault.SILENT:
            await asyncio.sleep(60)
        headers = {
            "Request-Id": run.request,
            "Response-Stamp": f"s-{self.name}",
        }
        match run.fault:
            case Fault.OTHER_REQUEST:
                headers["Request-Id"] = "another"
            case Fault.UNSIGNED:
                del headers["Response-Stamp"]
            case Fault.ENCODED:
                headers["Content-Encoding"] = "br"
            case Fault.BARE_503:
                return web.Response(status=503, headers=headers)
            case Fault.ERROR:
                return web.Response(status=500, headers=headers, text="error")
            case Fault.RESET_WITHOUT_LENGTH:
                return await self._reset_without_length(request, headers)
        if "Token-Counts" in request.headers:
            return await self._stream(request, run, headers)
        await asyncio.sleep(self.work_s)
        return web.Response(headers=headers, text=f"answer of {self.name}")

    async def _reset_without_length(self, request, headers):
        lines = "".join(f"{k}: {v}\r\n" for k, v in headers.items())
        request.transport.write(
            f"HTTP/1.1 200 OK\r\n{lines}\r\nhalf of it".encode()
        )
        await asyncio.sleep(0.05)
        sock = request.transport.get_extra_info("socket")
        import socket
        import struct

        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        request.transport.abort()
        return web.Response()

    async def _stream(self, request, run, headers):
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            middle = number == (first + self.events) // 2
            if middle and run.fault is Fault.SKIP_EVENT:
                continue
            if middle and run.fault is Fault.STALL:
                await asyncio.sleep(60)
            if middle and run.fault is Fault.CUT_INSIDE_EVENT:
                await response.write(event[:-6])
                request.transport.abort()
            if middle and run.fault is Fault.CUT_BEFORE_END:
                request.transport.abort()
            await response.write(event)
        await response.write_eof()
        return response
