"""Stand-in for a plain HTTP service that echoes requests."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import secrets
import time
from typing import Annotated

import msgspec
from aiohttp import web

from poplarwick_core import jsonc
from poplarwick_standins import _execution_log
from poplarwick_standins import _http

KEY_HEADER = "Idempotency-Key"
STREAM_HEADER = "Endpoint-Stream"
EPOCH_HEADER = "Endpoint-Epoch"

Count = Annotated[int, msgspec.Meta(ge=0)]
Positive = Annotated[int, msgspec.Meta(gt=0)]
Seconds = Annotated[float, msgspec.Meta(ge=0)]


class ServiceSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Capacity and behaviour of one plain service.

    Attributes:
        delay_s: Duration of a request.
        starts_cold: Whether the service is cold when its process starts.
        cold_concurrent: Requests that a cold service can process at once.
        warm_requests: Completed requests after which the service is warm.
        checks_epochs: Whether requests with an outdated epoch (fencing token)
            are refused.
        report_lag_s: Age of the load report.
        execution_log: File to which the execution log is appended.
    """

    delay_s: Seconds = 0.0
    starts_cold: bool = False
    cold_concurrent: Positive = 2
    warm_requests: Positive = 16
    checks_epochs: bool = False
    report_lag_s: Seconds = 0.5
    execution_log: str | None = None


class ServiceFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults that a test injects.

    Attributes:
        delay_s: Additional duration of each request.
        drop_answers: Number of requests that are executed but get no response,
            because the connection is closed.
        fail: Number of requests that are executed and answered with status
            500.
    """

    delay_s: Seconds = 0.0
    drop_answers: Count = 0
    fail: Count = 0


class Echo(msgspec.Struct, frozen=True):
    """Response body of the service.

    Attributes:
        method: Method of the request.
        path: Path of the request, with the query string.
        body: Request body as text.
        idempotency_key: Idempotency key of the request, if present.
        execution: Number of executions with this key, including this one.
    """

    method: str
    path: str
    body: str
    idempotency_key: str | None
    execution: int


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command-line options of the service."""
    parser.add_argument(
        "--delay-s", type=float, default=None, help="duration of a request"
    )


async def serve(arguments: argparse.Namespace) -> None:
    """Serves until cancelled.

    Raises:
        errors.DocumentError: The settings file cannot be read or is invalid.
    """
    settings = ServiceSettings()
    if arguments.settings:
        path = pathlib.Path(arguments.settings)
        settings = jsonc.read_file(path, ServiceSettings)
    if arguments.delay_s is not None:
        settings = msgspec.structs.replace(settings, delay_s=arguments.delay_s)
    app = make_application(settings)
    await _http.serve_application(app, arguments.listen)


def make_application(settings: ServiceSettings) -> web.Application:
    """Returns the web application of one plain service."""
    handlers = _Handlers(settings)
    app = web.Application(client_max_size=_http.MAX_BODY_BYTES)
    app.router.add_get("/control/log", handlers.log.handle_get)
    app.router.add_get("/control/state", handlers.read_state)
    app.router.add_get("/control/report", handlers.read_state)
    app.router.add_post("/control/faults", handlers.set_faults)
    app.router.add_post("/control/restart", handlers.restart)
    app.router.add_route("*", "/{path:.*}", handlers.echo)
    return app


class _Handlers:
    """Request handlers of one service."""

    def __init__(self, settings: ServiceSettings) -> None:
        self.log = _execution_log.ExecutionLog(settings.execution_log)
        self._settings = settings
        self._faults = ServiceFaults()
        self._executions: dict[str, int] = {}
        self._running = 0
        self._epoch = 0
        self._completed = 0 if settings.starts_cold else settings.warm_requests
        self._restart_id = secrets.token_hex(6)

    async def echo(self, request: web.Request) -> web.StreamResponse:
        """Executes a request: logs it and echoes it."""
        refusal = self._check(request)
        if refusal is not None:
            return refusal
        body = await request.text()
        key = request.headers.get(KEY_HEADER)
        execution = self._record_execution(request, key)
        self._running += 1
        try:
            # A started request completes even if its client disconnects.
            execution_task = asyncio.ensure_future(self._execute())
            await asyncio.shield(execution_task)
        finally:
            self._running -= 1
        return self._make_response(request, body, key, execution)

    async def read_state(self, request: web.Request) -> web.Response:
        """Returns the current load."""
        return web.json_response(
            {
                "as_of_s": time.time(),
                "restart_id": self._restart_id,
                "epoch": self._epoch,
                "running": self._running,
                "waiting": 0,
                "memory_used_tokens": 0,
                "prefill_tokens_per_s": 0.0,
            }
        )

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replaces the injected faults."""
        self._faults = msgspec.json.decode(
            await request.read(), type=ServiceFaults
        )
        return web.json_response({})

    async def restart(self, request: web.Request) -> web.Response:
        """Makes the service cold, as a restart does."""
        self._completed = 0
        self._restart_id = secrets.token_hex(6)
        return web.json_response({"restart_id": self._restart_id})

    def _check(self, request: web.Request) -> web.Response | None:
        epoch = int(request.headers.get(EPOCH_HEADER, "0"))
        if self._settings.checks_epochs and 0 < epoch < self._epoch:
            error = {"type": "stale_epoch", "epoch": self._epoch}
            return web.json_response({"error": error}, status=409)
        self._epoch = max(epoch, self._epoch)
        is_cold = self._completed < self._settings.warm_requests
        cold_limit = self._settings.cold_concurrent + self._completed
        if is_cold and self._running >= cold_limit:
            self.log.append("cold_overload")
            self._completed = 0
            error = {"type": "cold_overload", "epoch": self._epoch}
            return web.json_response({"error": error}, status=503)
        return None

    def _record_execution(self, request: web.Request, key: str | None) -> int:
        execution = 1
        if key is not None:
            execution = self._executions.get(key, 0) + 1
            self._executions[key] = execution
        self.log.append(
            "executed",
            method=request.method,
            path=request.path_qs,
            idempotency_key=key,
            execution=execution,
            stream=request.headers.get(STREAM_HEADER),
            epoch=int(request.headers.get(EPOCH_HEADER, "0")),
        )
        return execution

    async def _execute(self) -> None:
        await asyncio.sleep(self._settings.delay_s + self._faults.delay_s)
        self._completed += 1

    def _make_response(
        self, request: web.Request, body: str, key: str | None, execution: int
    ) -> web.StreamResponse:
        faults = self._faults
        if faults.drop_answers and request.transport is not None:
            self._faults = msgspec.structs.replace(
                faults, drop_answers=faults.drop_answers - 1
            )
            request.transport.abort()
            return web.Response(status=500)
        if faults.fail:
            self._faults = msgspec.structs.replace(faults, fail=faults.fail - 1)
            return web.Response(status=500)
        echo = Echo(request.method, request.path_qs, body, key, execution)
        return web.Response(
            body=msgspec.json.encode(echo), content_type="application/json"
        )
