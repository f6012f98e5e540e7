"""Stand-in of the platform's key-value service.

It speaks the published etcd v3 JSON gateway protocol and keeps everything in
memory. `GET` and `POST /control/faults` show and set its faults,
`GET /control/stats` shows its counts.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import pathlib
from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import Annotated
from typing import TypeVar

import msgspec
from aiohttp import web

from poplarwick_core import jsonc
from poplarwick_standins import _http
from poplarwick_standins import _kv_faults
from poplarwick_standins import _kv_messages as messages
from poplarwick_standins import _kv_store

EXPIRY_PERIOD_S = 0.05
MAX_REQUEST_BYTES = 4_000_000
INSTANCE_HEADER = "x-poplarwick-instance"
_HTTP_STATUS = {
    messages.Code.NOT_FOUND: 404,
    messages.Code.RESOURCE_EXHAUSTED: 429,
    messages.Code.UNAVAILABLE: 503,
}
_CallKind = _kv_faults.CallKind

Request = TypeVar("Request")


class KvSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the key-value stand-in.

    Attributes:
        faults: Faults in force at the start.
        progress_s: Period of progress messages on idle watches.
        history: Number of changes kept for watches.
    """

    faults: _kv_faults.Faults = _kv_faults.Faults()
    progress_s: Annotated[float, msgspec.Meta(gt=0)] = 5.0
    history: Annotated[int, msgspec.Meta(ge=2)] = 100_000


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds no options: all is in the settings."""


async def serve(arguments: argparse.Namespace) -> None:
    """Serves until cancelled."""
    settings = KvSettings()
    if arguments.settings:
        settings = jsonc.read_file(pathlib.Path(arguments.settings), KvSettings)
    await _http.serve_application(make_application(settings), arguments.listen)


def make_application(settings: KvSettings | None = None) -> web.Application:
    """Returns the application of a new, empty key-value service."""
    return KvService(settings or KvSettings()).application


class KvService:
    """The key-value service.

    Args:
        settings: Its settings.
    """

    def __init__(self, settings: KvSettings) -> None:
        self._settings = settings
        self._store = _kv_store.Store(settings.history)
        self._state = _kv_faults.FaultState(settings.faults)
        self.application = web.Application(client_max_size=MAX_REQUEST_BYTES)
        self._add_routes()
        self.application.cleanup_ctx.append(self._expire)

    def _add_routes(self) -> None:
        read, write = _CallKind.READ, _CallKind.WRITE
        self._add("/v3/kv/range", read, messages.RangeRequest, self._range)
        self._add("/v3/kv/put", write, messages.PutRequest, self._put)
        self._add(
            "/v3/kv/deleterange",
            write,
            messages.DeleteRangeRequest,
            self._delete_range,
        )
        self._add("/v3/kv/txn", write, messages.TxnRequest, self._run)
        self._add(
            "/v3/kv/compaction",
            write,
            messages.CompactionRequest,
            self._compact,
        )
        self._add(
            "/v3/lease/grant", write, messages.LeaseGrantRequest, self._grant
        )
        self._add(
            "/v3/lease/keepalive", write, messages.LeaseRequest, self._renew
        )
        for path in ("/v3/lease/revoke", "/v3/kv/lease/revoke"):
            self._add(path, write, messages.LeaseRequest, self._revoke)
        router = self.application.router
        router.add_post("/v3/watch", self._watch)
        router.add_get("/control/faults", self._show_faults)
        router.add_post("/control/faults", self._set_faults)
        router.add_get("/control/stats", self._show_statistics)

    def _add(
        self,
        path: str,
        kind: _kv_faults.CallKind,
        message: type[Request],
        function: Callable[[Request], messages.Reply],
    ) -> None:
        async def handle(request: web.Request) -> web.StreamResponse:
            return await self._handle(request, kind, message, function)

        self.application.router.add_post(path, handle)

    async def _handle(
        self,
        request: web.Request,
        kind: _kv_faults.CallKind,
        message: type[Request],
        function: Callable[[Request], messages.Reply],
    ) -> web.StreamResponse:
        body = await request.read()
        if self._is_cut_off(request):
            return _cut_off(request)
        if not self._state.admit(kind, request.path):
            return _make_error(
                messages.Code.RESOURCE_EXHAUSTED,
                "etcdserver: too many requests",
            )
        await asyncio.sleep(self._state.faults.delay_s)
        if self._is_cut_off(request):
            return _cut_off(request)
        try:
            reply = function(
                msgspec.json.decode(body, type=message, strict=False)
            )
        except msgspec.ValidationError as error:
            return _make_error(messages.Code.INVALID_ARGUMENT, str(error))
        except _kv_store.StoreError as error:
            return _make_error(error.code, str(error))
        if kind is _CallKind.WRITE:
            await self._store.notify()
        if self._state.takes_answer(kind):
            return _cut_off(request)
        return _make_reply(reply)

    def _is_cut_off(self, request: web.Request) -> bool:
        faults = self._state.faults
        instance = request.headers.get(INSTANCE_HEADER)
        return faults.outage or instance in faults.cut_off

    def _range(self, request: messages.RangeRequest) -> messages.Reply:
        return self._store.read(request)

    def _put(self, request: messages.PutRequest) -> messages.Reply:
        operation = messages.RequestOp(request_put=request)
        self._store.run(messages.TxnRequest(success=[operation]))
        return messages.PutReply(header=self._store.header)

    def _delete_range(
        self, request: messages.DeleteRangeRequest
    ) -> messages.Reply:
        operation = messages.RequestOp(request_delete_range=request)
        reply = self._store.run(messages.TxnRequest(success=[operation]))
        deleted = reply.responses[0].response_delete_range
        assert deleted is not None
        deleted.header = self._store.header
        return deleted

    def _run(self, request: messages.TxnRequest) -> messages.Reply:
        return self._store.run(request)

    def _compact(self, request: messages.CompactionRequest) -> messages.Reply:
        self._store.compact(request.revision)
        return messages.PutReply(header=self._store.header)

    def _grant(self, request: messages.LeaseGrantRequest) -> messages.Reply:
        lease = self._store.grant_lease(request.id, request.ttl)
        return messages.LeaseReply(
            header=self._store.header, id=str(lease), ttl=str(request.ttl)
        )

    def _renew(self, request: messages.LeaseRequest) -> messages.Reply:
        ttl_s = self._store.keep_alive(request.id)
        return messages.StreamReply(
            messages.LeaseReply(
                header=self._store.header, id=str(request.id), ttl=str(ttl_s)
            )
        )

    def _revoke(self, request: messages.LeaseRequest) -> messages.Reply:
        self._store.revoke_lease(request.id)
        return messages.PutReply(header=self._store.header)

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        if self._is_cut_off(request):
            return _cut_off(request)
        if not self._state.admit(_CallKind.WATCH, request.path):
            return _make_error(
                messages.Code.RESOURCE_EXHAUSTED,
                "etcdserver: too many requests",
            )
        wanted = msgspec.json.decode(
            body, type=messages.WatchRequest, strict=False
        ).create_request
        response = web.StreamResponse()
        response.content_type = "application/json"
        await response.prepare(request)
        self._state.statistics.open_watches += 1
        try:
            await self._stream(request, response, wanted)
        except ConnectionError:
            pass
        finally:
            self._state.statistics.open_watches -= 1
        return response

    async def _stream(
        self,
        request: web.Request,
        response: web.StreamResponse,
        wanted: messages.WatchCreateRequest,
    ) -> None:
        next_revision = wanted.start_revision or self._store.revision + 1
        await self._send(response, messages.WatchReply(created=True))
        while not self._is_cut_off(request):
            compacted = self._store.compact_revision
            if next_revision <= compacted:
                await self._send(
                    response,
                    messages.WatchReply(
                        canceled=True, compact_revision=str(compacted)
                    ),
                )
                return
            events = self._store.list_events(
                wanted.key, wanted.range_end, next_revision
            )
            next_revision = max(next_revision, self._store.revision + 1)
            if events:
                await self._send(
                    response,
                    messages.WatchReply(
                        events=[_make_event(e) for e in events]
                    ),
                )
            elif not await self._wait_for_change(next_revision):
                await self._send(
                    response, messages.WatchReply(), next_revision - 1
                )
        _cut_off(request)

    async def _wait_for_change(self, next_revision: int) -> bool:
        """Returns whether something changed within the progress period."""
        version = self._state.faults
        try:
            async with asyncio.timeout(self._settings.progress_s):
                async with self._store.changed:
                    await self._store.changed.wait_for(
                        lambda: (
                            self._store.revision >= next_revision
                            or self._state.faults is not version
                        )
                    )
        except TimeoutError:
            return False
        return True

    async def _send(
        self,
        response: web.StreamResponse,
        reply: messages.WatchReply,
        revision: int | None = None,
    ) -> None:
        shown = self._store.revision if revision is None else revision
        reply.header = messages.Header(revision=str(shown))
        line = msgspec.json.encode(messages.StreamReply(reply))
        await response.write(line + b"\n")

    async def _show_faults(self, request: web.Request) -> web.Response:
        return _make_reply(self._state.faults)

    async def _set_faults(self, request: web.Request) -> web.Response:
        try:
            faults = msgspec.json.decode(
                await request.read(), type=_kv_faults.Faults
            )
        except msgspec.DecodeError as error:
            return _make_error(messages.Code.INVALID_ARGUMENT, str(error))
        if self._state.faults.outage and not faults.outage:
            self._store.extend_leases()
        self._state.replace(faults)
        await self._store.notify()
        return _make_reply(faults)

    async def _show_statistics(self, request: web.Request) -> web.Response:
        return _make_reply(self._state.statistics)

    async def _expire(
        self, application: web.Application
    ) -> AsyncIterator[None]:
        task = asyncio.create_task(self._expire_leases())
        yield
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_S)
            if self._state.faults.outage:
                continue
            if self._store.expire_leases():
                await self._store.notify()


def _make_event(event: _kv_store.RecordedEvent) -> messages.Event:
    if event.stored is None:
        return messages.Event(
            type="DELETE",
            kv=messages.KeyValue(
                key=event.key, mod_revision=str(event.revision)
            ),
        )
    return messages.Event(kv=_kv_store.make_key_value(event.key, event.stored))


def _make_reply(reply: msgspec.Struct) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(reply), content_type="application/json"
    )


def _make_error(code: messages.Code, message: str) -> web.Response:
    body = messages.ErrorReply(error=message, code=code, message=message)
    return web.Response(
        status=_HTTP_STATUS.get(code, 400),
        body=msgspec.json.encode(body),
        content_type="application/json",
    )


def _cut_off(request: web.Request) -> web.StreamResponse:
    """Closes the connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)
