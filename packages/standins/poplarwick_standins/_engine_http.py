"""HTTP interface of the stand-in engine."""

from __future__ import annotations

import asyncio
import secrets
from typing import Any

import msgspec
from aiohttp import web

from poplarwick_standins import _batch
from poplarwick_standins import _event_writer
from poplarwick_standins import _http
from poplarwick_standins import _prefix_cache
from poplarwick_standins import _streams
from poplarwick_standins import completions
from poplarwick_standins import engine_settings

STREAM_HEADER = "Endpoint-Stream"
EPOCH_HEADER = "Endpoint-Epoch"
PRIORITY_HEADER = "Endpoint-Priority"


def make_application(batch: _batch.Batch) -> web.Application:
    """Returns the web application of one engine."""
    handlers = _Handlers(batch)
    app = web.Application(client_max_size=_http.MAX_BODY_BYTES)
    app.router.add_post("/v1/completions", handlers.complete)
    app.router.add_post("/v1/chat/completions", handlers.complete)
    app.router.add_get("/v1/models", handlers.list_models)
    app.router.add_get("/health", handlers.check_health)
    app.router.add_get("/control/streams/{id}", handlers.resume)
    app.router.add_post("/control/streams/{id}/cancel", handlers.cancel)
    app.router.add_get("/control/state", handlers.read_state)
    app.router.add_get("/control/report", handlers.read_report)
    app.router.add_get("/control/cache-events", handlers.read_cache_events)
    app.router.add_get("/control/log", batch.log.handle_get)
    app.router.add_post("/control/faults", handlers.set_faults)
    app.router.add_post("/control/restart", handlers.restart)
    return app


class _Handlers:
    """Request handlers of one engine."""

    def __init__(self, batch: _batch.Batch) -> None:
        self._batch = batch
        self._faults = engine_settings.Faults()
        self._remaining_cuts = 0

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Runs a completion or chat completion."""
        content = await request.read()
        body = msgspec.json.decode(content)
        refusal = self._check(request, body)
        if refusal is not None:
            return refusal
        stream = self._make_stream(request, body)
        stream.prefixes = _prefix_cache.make_prefixes(
            stream.model, _find_raw_prompt(content)
        )
        try:
            self._batch.start(stream)
        except _batch.OverloadedError:
            return _refuse(429, "overloaded", "No memory left.")
        except _batch.ColdOverloadError:
            return _refuse(503, "cold_overload", "The cold engine fell over.")
        try:
            if body.get("stream"):
                return await self._write_events(request, stream, 0)
            return await _make_response(stream)
        finally:
            # A stream without an id from the client cannot be resumed.
            if STREAM_HEADER not in request.headers:
                self._batch.cancel(stream.id)

    async def resume(self, request: web.Request) -> web.StreamResponse:
        """Sends the events of a stream after a sequence number."""
        stream = self._batch.streams.get(request.match_info["id"])
        if stream is None:
            return _refuse(404, "unknown_stream", "No such stream.")
        first = int(request.query.get("after", "-1")) + 1
        return await self._write_events(request, stream, first)

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancels a stream."""
        stale = self._check_epoch(request)
        if stale is not None:
            return stale
        state = self._batch.cancel(request.match_info["id"])
        return web.json_response({"state": state})

    async def read_state(self, request: web.Request) -> web.Response:
        """Returns the current state, without the delay of the report."""
        batch = self._batch
        streams = [
            {
                "stream": stream.id,
                "epoch": stream.epoch,
                "state": stream.state.value,
                "next_seq": len(stream.events),
                "memory_tokens": stream.memory_tokens
                if stream.is_running
                else 0,
            }
            for stream in batch.streams.values()
        ]
        return web.json_response(
            {
                "restart_id": batch.restart_id,
                "epoch": batch.epoch,
                "memory_tokens": batch.settings.memory_tokens,
                "memory_used_tokens": batch.memory_used_tokens,
                "streams": streams,
                "handles": [],
                "models": {model: "" for model in batch.settings.models},
                "role": "both",
                "is_cold": batch.is_cold,
            }
        )

    async def read_report(self, request: web.Request) -> web.Response:
        """Returns the delayed load report."""
        return web.json_response(self._batch.read_report())

    async def read_cache_events(self, request: web.Request) -> web.Response:
        """Returns prefix-cache events; waits until there are some."""
        events = await self._batch.cache.read_events(
            int(request.query.get("after", "0")),
            float(request.query.get("wait_s", "0")),
        )
        body = {"restart_id": self._batch.restart_id, "events": events}
        return web.Response(
            body=msgspec.json.encode(body), content_type="application/json"
        )

    async def check_health(self, request: web.Request) -> web.Response:
        """Responds that the engine is healthy."""
        return web.Response(text="ok")

    async def list_models(self, request: web.Request) -> web.Response:
        """Lists the models in the published API's form."""
        data = [
            {"id": m, "object": "model", "created": 0, "owned_by": "standin"}
            for m in self._batch.settings.models
        ]
        return web.json_response({"object": "list", "data": data})

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replaces the injected faults."""
        try:
            self._faults = msgspec.json.decode(
                await request.read(), type=engine_settings.Faults
            )
        except msgspec.ValidationError as error:
            return _refuse(400, "invalid_faults", str(error))
        self._remaining_cuts = self._faults.cuts
        return web.json_response({})

    async def restart(self, request: web.Request) -> web.Response:
        """Restarts the engine, which makes it cold, without notice."""
        self._batch.restart()
        return web.json_response({"restart_id": self._batch.restart_id})

    def _check(self, request: web.Request, body: Any) -> web.Response | None:
        if self._faults.refuse:
            return _refuse(500, "fault", "The engine failed.")
        models = self._batch.settings.models
        if models and body.get("model") not in models:
            return _refuse(404, "model_not_found", "No such model.")
        stale = self._check_epoch(request)
        if stale is not None:
            return stale
        if request.headers.get(STREAM_HEADER) in self._batch.streams:
            return _refuse(409, "stream_exists", "The stream exists.")
        return None

    def _check_epoch(self, request: web.Request) -> web.Response | None:
        epoch = int(request.headers.get(EPOCH_HEADER, "0"))
        highest = self._batch.epoch
        if self._batch.settings.checks_epochs and 0 < epoch < highest:
            error = {"type": "stale_epoch", "epoch": highest}
            return web.json_response({"error": error}, status=409)
        self._batch.epoch = max(epoch, highest)
        return None

    def _make_stream(self, request: web.Request, body: Any) -> _streams.Stream:
        prompt = completions.read_prompt(body)
        limit = body.get("max_tokens") or body.get("max_completion_tokens")
        return _streams.Stream(
            id=request.headers.get(STREAM_HEADER) or secrets.token_hex(8),
            epoch=int(request.headers.get(EPOCH_HEADER, "0")),
            priority=int(request.headers.get(PRIORITY_HEADER, "0")),
            digest=completions.digest_prompt(prompt),
            prompt_tokens=completions.estimate_tokens(prompt),
            max_tokens=limit or self._batch.settings.default_max_tokens,
            has_limit=bool(limit),
            is_chat="messages" in body,
            model=str(body.get("model", "")),
        )

    async def _write_events(
        self, request: web.Request, stream: _streams.Stream, first: int
    ) -> web.StreamResponse:
        faults = self._faults
        cut_after = 0
        if faults.cut_after_events and (
            not faults.cuts or self._remaining_cuts
        ):
            cut_after = faults.cut_after_events
            self._remaining_cuts -= 1
        writer = _event_writer.EventWriter(
            request, stream, faults, cut_after, self._batch.streams
        )
        return await writer.write(first)


class _RawPrompt(msgspec.Struct):
    prompt: msgspec.Raw = msgspec.Raw(b"")
    messages: msgspec.Raw = msgspec.Raw(b"")


def _find_raw_prompt(content: bytes) -> bytes:
    fields = msgspec.json.decode(content, type=_RawPrompt)
    return bytes(fields.messages) or bytes(fields.prompt)


async def _make_response(stream: _streams.Stream) -> web.Response:
    while stream.is_running:
        wake: asyncio.Event = stream.wake
        await wake.wait()
    if stream.state is not _streams.StreamState.FINISHED:
        return _refuse(500, stream.state.value, "The stream did not finish.")
    return web.Response(
        body=_streams.encode_response(stream), content_type="application/json"
    )


def _refuse(status: int, kind: str, message: str) -> web.Response:
    error = {"type": kind, "message": message, "code": kind, "param": None}
    return web.json_response({"error": error}, status=status)
