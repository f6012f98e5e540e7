"""Handlers of the published completions and chat completions API."""

from __future__ import annotations

from aiohttp import web

from poplarwick_core import ids
from poplarwick_entry import admission
from poplarwick_entry import answers
from poplarwick_entry import authentication
from poplarwick_entry import bodies
from poplarwick_entry import context
from poplarwick_entry import grants
from poplarwick_entry import headers
from poplarwick_entry import parameters
from poplarwick_entry import relay


async def handle_completions(request: web.Request) -> web.StreamResponse:
    """Answers `POST /v1/completions`."""
    return await _handle(request, parameters.Api.COMPLETIONS)


async def handle_chat(request: web.Request) -> web.StreamResponse:
    """Answers `POST /v1/chat/completions`."""
    return await _handle(request, parameters.Api.CHAT)


async def _handle(
    request: web.Request, api: parameters.Api
) -> web.StreamResponse:
    entry = request.app[context.CONTEXT_KEY]
    view = entry.require_view()
    organisation = authentication.authenticate(request, view)
    checked = parameters.parse_completion(
        api,
        await bodies.read_body(request),
        organisation,
        view,
        priority=request.headers.get(headers.PRIORITY),
        timeout=request.headers.get(headers.TIMEOUT),
    )
    answer: answers.Answer
    if checked.is_streamed:
        answer = answers.StreamedAnswer(request, checked, entry.instance)
    else:
        answer = answers.GatheredAnswer(checked, entry.instance)
    lifecycle = context.begin_lifecycle(request, is_idempotent=True)
    demand = _make_demand(checked)
    tokens = checked.prompt_tokens + checked.output_tokens
    async with admission.admit(entry.limiter, organisation, tokens):
        await relay.run(entry, demand, checked, answer, lifecycle)
    return answer.response


def _make_demand(checked: parameters.Parameters) -> grants.Demand:
    return grants.Demand(
        request=checked.request,
        organisation=ids.OrganisationId(checked.organisation.id),
        deadline=checked.deadline,
        model=checked.model.id,
        prompt_tokens=checked.prompt_tokens,
        output_tokens=checked.output_tokens,
        priority=checked.priority,
        prefix_digests=checked.prefix_digests,
    )
