"""HTTP application of the caller API."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import msgspec
from aiohttp import web
from loguru import logger

from poplarwick_core import ids
from poplarwick_entry import authentication
from poplarwick_entry import completions
from poplarwick_entry import context
from poplarwick_entry import headers
from poplarwick_entry import metrics
from poplarwick_entry import parameters
from poplarwick_entry import request_errors
from poplarwick_entry import services
from poplarwick_outcomes import verdicts

MAX_BODY_BYTES = 32 * 1024 * 1024
MAX_HEADER_FIELD_BYTES = 8_190

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class ModelCard(msgspec.Struct):
    """One model in the response of `GET /v1/models`."""

    id: str
    object: str = "model"
    owned_by: str = "poplarwick"
    created: int = 0


class ModelList(msgspec.Struct):
    """The response of `GET /v1/models`."""

    data: list[ModelCard]
    object: str = "list"


def make_application(entry: context.EntryContext) -> web.Application:
    """Returns the application of the caller API."""
    application = web.Application(
        client_max_size=MAX_BODY_BYTES, middlewares=[_handle_errors]
    )
    application[context.CONTEXT_KEY] = entry
    application.on_response_prepare.append(_record_begin)
    routes = application.router
    routes.add_post(
        parameters.Api.COMPLETIONS.value, completions.handle_completions
    )
    routes.add_post(parameters.Api.CHAT.value, completions.handle_chat)
    routes.add_get("/v1/models", _list_models)
    routes.add_get("/v1/models/{model}", _show_model)
    routes.add_route("*", "/services/{service}{path:.*}", services.handle_call)
    routes.add_get("/health/live", _check_liveness)
    routes.add_get("/health/ready", _check_readiness)
    return application


async def _record_begin(
    request: web.Request, response: web.StreamResponse
) -> None:
    """Records that the caller receives the beginning of a response."""
    del response
    request[context.HAS_BEGUN_KEY] = True


@web.middleware
async def _handle_errors(
    request: web.Request, handler: _Handler
) -> web.StreamResponse:
    entry = request.app[context.CONTEXT_KEY]
    try:
        async with entry.limit_answer(
            lambda: request.get(context.HAS_BEGUN_KEY, False)
        ):
            response = await handler(request)
    except request_errors.RequestEndedError as ended:
        response = _respond_to_ending(request, ended.ending)
    except web.HTTPException as error:
        response = _respond_to_ending(request, _convert_http_error(error))
    except asyncio.CancelledError:
        # Its connection has ended. The lifecycle goes on, as a claimed call
        # continues without its caller.
        if context.LIFECYCLE_KEY in request:
            lifecycle = context.find_lifecycle(request)
            verdict = verdicts.decide_outcome(
                verdicts.CallerLeft(),
                may_have_run=lifecycle.may_have_run,
                is_idempotent=lifecycle.is_idempotent,
            )
            request_errors.log_end(verdict, request[context.REQUEST_ID_KEY])
        raise
    except Exception as error:
        logger.opt(exception=error).error("request_crashed")
        ending = verdicts.Refused(
            verdicts.Reason.INTERNAL,
            "the request failed because of an internal error",
        )
        response = _respond_to_ending(request, ending)
    if not response.prepared:
        response.headers[headers.INSTANCE] = entry.instance
    return response


def _respond_to_ending(
    request: web.Request, ending: verdicts.Ending
) -> web.Response:
    verdict = context.find_lifecycle(request).end(ending)
    metrics.count_end(verdict)
    request_errors.log_end(verdict, request.get(context.REQUEST_ID_KEY))
    return request_errors.make_response(verdict)


def _convert_http_error(error: web.HTTPException) -> verdicts.Ending:
    match error.status:
        case 404:
            reason = verdicts.Reason.NOT_FOUND
            detail = "no resource exists at this path"
        case 405:
            reason = verdicts.Reason.METHOD_NOT_ALLOWED
            detail = "the path does not support this method"
        case 413:
            reason = verdicts.Reason.TOO_LARGE
            detail = f"the body exceeds the limit of {MAX_BODY_BYTES} bytes"
        case _:
            reason, detail = verdicts.Reason.INVALID, error.reason
    return verdicts.Refused(reason, detail)


async def _list_models(request: web.Request) -> web.Response:
    view = request.app[context.CONTEXT_KEY].accept_request()
    authentication.authenticate(request, view)
    cards = [ModelCard(model.id) for model in view.document.models]
    return _make_json_response(ModelList(cards))


async def _show_model(request: web.Request) -> web.Response:
    view = request.app[context.CONTEXT_KEY].accept_request()
    authentication.authenticate(request, view)
    model = view.find_model(ids.ModelId(request.match_info["model"]))
    if model is None:
        raise request_errors.make_refusal(
            verdicts.Reason.MODEL_NOT_FOUND, "the model does not exist", "model"
        )
    return _make_json_response(ModelCard(model.id))


async def _check_liveness(request: web.Request) -> web.Response:
    return web.Response(text="live\n")


async def _check_readiness(request: web.Request) -> web.Response:
    reason = request.app[context.CONTEXT_KEY].read_unready_reason()
    if reason is None:
        return web.Response(text="ready\n")
    return web.Response(status=503, text=f"not ready: {reason}\n")


def _make_json_response(value: msgspec.Struct) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )
