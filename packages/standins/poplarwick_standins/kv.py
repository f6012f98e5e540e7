"""Stand-in for the platform's key-value service.

It implements the published etcd v3 JSON gateway protocol with an in-memory
store. `GET` and `POST /control/faults` return and set the injected faults, and
`GET /control/stats` returns statistics of the calls.
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
        faults: Faults that are injected from the start.
        progress_s: Interval between progress messages of idle watches.
        history: Number of changes retained for watches.
    """

    faults: _kv_faults.Faults = _kv_faults.Faults()
    progress_s: Annotated[float, msgspec.Meta(gt=0)] = 5.0
    history: Annotated[int, msgspec.Meta(ge=2)] = 100_000


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds no options; the settings file has everything."""


async def serve(arguments: argparse.Namespace) -> None:
    """Serves until cancelled.

    Raises:
        errors.DocumentError: The settings file cannot be read or is invalid.
    """
    settings = KvSettings()
    if arguments.settings:
        settings = jsonc.read_file(pathlib.Path(arguments.settings), KvSettings)
    await _http.serve_application(make_application(settings), arguments.listen)


def make_application(settings: KvSettings | None = None) -> web.Application:
    """Returns the web application of a new, empty key-value service."""
    return KvService(settings or KvSettings()).application


class KvService:
    """HTTP service of the key-value store.

    Args:
        settings: Settings of the service.
    """

    def __init__(self, settings: KvSettings) -> None:
        self._settings = settings
        self._store = _kv_store.Store(settings.history)
        self._fault_state = _kv_faults.FaultState(settings.faults)
        self.application = web.Application(client_max_size=MAX_REQUEST_BYTES)
        self._add_routes()
        self.application.cleanup_ctx.append(self._run_expiry)

    def _add_routes(self) -> None:
        read, write = _CallKind.READ, _CallKind.WRITE
        self._add_call("/v3/kv/range", read, messages.RangeRequest, self._range)
        self._add_call("/v3/kv/put", write, messages.PutRequest, self._put)
        self._add_call(
            "/v3/kv/deleterange",
            write,
            messages.DeleteRangeRequest,
            self._delete_range,
        )
        self._add_call("/v3/kv/txn", write, messages.TxnRequest, self._run)
        self._add_call(
            "/v3/kv/compaction",
            write,
            messages.CompactionRequest,
            self._compact,
        )
        self._add_call(
            "/v3/lease/grant", write, messages.LeaseGrantRequest, self._grant
        )
        self._add_call(
            "/v3/lease/keepalive", write, messages.LeaseRequest, self._renew
        )
        for path in ("/v3/lease/revoke", "/v3/kv/lease/revoke"):
            self._add_call(path, write, messages.LeaseRequest, self._revoke)
        router = self.application.router
        router.add_post("/v3/watch", self._watch)
        router.add_get("/control/faults", self._get_faults)
        router.add_post("/control/faults", self._set_faults)
        router.add_get("/control/stats", self._get_statistics)

    def _add_call(
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
            return _close_connection(request)
        if not self._fault_state.admit(kind, request.path):
            return _make_error_response(
                messages.Code.RESOURCE_EXHAUSTED,
                "etcdserver: too many requests",
            )
        await asyncio.sleep(self._fault_state.faults.delay_s)
        if self._is_cut_off(request):
            return _close_connection(request)
        try:
            reply = function(
                msgspec.json.decode(body, type=message, strict=False)
            )
        except msgspec.ValidationError as error:
            return _make_error_response(
                messages.Code.INVALID_ARGUMENT, str(error)
            )
        except _kv_store.StoreError as error:
            return _make_error_response(error.code, str(error))
        if kind is _CallKind.WRITE:
            await self._store.notify()
        if self._fault_state.drops_response(kind):
            return _close_connection(request)
        return _make_response(reply)

    def _is_cut_off(self, request: web.Request) -> bool:
        faults = self._fault_state.faults
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
            return _close_connection(request)
        if not self._fault_state.admit(_CallKind.WATCH, request.path):
            return _make_error_response(
                messages.Code.RESOURCE_EXHAUSTED,
                "etcdserver: too many requests",
            )
        create_request = msgspec.json.decode(
            body, type=messages.WatchRequest, strict=False
        ).create_request
        response = web.StreamResponse()
        response.content_type = "application/json"
        await response.prepare(request)
        self._fault_state.statistics.open_watches += 1
        try:
            await self._stream(request, response, create_request)
        except ConnectionError:
            pass
        finally:
            self._fault_state.statistics.open_watches -= 1
        return response

    async def _stream(
        self,
        request: web.Request,
        response: web.StreamResponse,
        create_request: messages.WatchCreateRequest,
    ) -> None:
        next_revision = (
            create_request.start_revision or self._store.revision + 1
        )
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
                create_request.key, create_request.range_end, next_revision
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
        _close_connection(request)

    async def _wait_for_change(self, next_revision: int) -> bool:
        """Returns whether the store or the faults changed before the timeout.

        The timeout is the interval between progress messages.
        """
        faults = self._fault_state.faults
        try:
            async with asyncio.timeout(self._settings.progress_s):
                async with self._store.changed:
                    await self._store.changed.wait_for(
                        lambda: (
                            self._store.revision >= next_revision
                            or self._fault_state.faults is not faults
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
        shown_revision = self._store.revision if revision is None else revision
        reply.header = messages.Header(revision=str(shown_revision))
        line = msgspec.json.encode(messages.StreamReply(reply))
        await response.write(line + b"\n")

    async def _get_faults(self, request: web.Request) -> web.Response:
        return _make_response(self._fault_state.faults)

    async def _set_faults(self, request: web.Request) -> web.Response:
        try:
            faults = msgspec.json.decode(
                await request.read(), type=_kv_faults.Faults
            )
        except msgspec.DecodeError as error:
            return _make_error_response(
                messages.Code.INVALID_ARGUMENT, str(error)
            )
        if self._fault_state.faults.outage and not faults.outage:
            self._store.extend_leases()
        self._fault_state.replace(faults)
        await self._store.notify()
        return _make_response(faults)

    async def _get_statistics(self, request: web.Request) -> web.Response:
        return _make_response(self._fault_state.statistics)

    async def _run_expiry(
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
            if self._fault_state.faults.outage:
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


def _make_response(reply: msgspec.Struct) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(reply), content_type="application/json"
    )


def _make_error_response(code: messages.Code, message: str) -> web.Response:
    body = messages.ErrorReply(error=message, code=code, message=message)
    return web.Response(
        status=_HTTP_STATUS.get(code, 400),
        body=msgspec.json.encode(body),
        content_type="application/json",
    )


def _close_connection(request: web.Request) -> web.StreamResponse:
    """Closes the connection without a response."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)
