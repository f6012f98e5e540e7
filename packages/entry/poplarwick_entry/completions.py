"""Handlers of the completions and chat completions APIs."""

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
    """Handles `POST /v1/completions`."""
    return await _handle(request, parameters.Api.COMPLETIONS)


async def handle_chat(request: web.Request) -> web.StreamResponse:
    """Handles `POST /v1/chat/completions`."""
    return await _handle(request, parameters.Api.CHAT)


async def _handle(
    request: web.Request, api: parameters.Api
) -> web.StreamResponse:
    entry = request.app[context.CONTEXT_KEY]
    view = entry.accept_request()
    organisation = authentication.authenticate(request, view)
    completion = parameters.parse_completion(
        api,
        await bodies.read_body(request),
        organisation,
        view,
        priority=request.headers.get(headers.PRIORITY),
        timeout=request.headers.get(headers.TIMEOUT),
    )
    lifecycle = context.begin_lifecycle(
        request, completion.request_id, is_idempotent=True
    )
    grant_request = _make_grant_request(completion)
    tokens = completion.prompt_tokens + completion.output_tokens
    answer: answers.Answer
    with entry.response_memory.hold() as held:
        if completion.is_streamed:
            answer = answers.StreamedAnswer(request, completion, entry.instance)
        else:
            answer = answers.BufferedAnswer(completion, entry.instance, held)
        async with admission.admit(entry.limiter, organisation, tokens):
            await relay.relay_completion(
                entry, grant_request, completion, answer, lifecycle
            )
    return answer.response


def _make_grant_request(
    completion: parameters.CompletionRequest,
) -> grants.GrantRequest:
    return grants.GrantRequest(
        request_id=completion.request_id,
        organisation=ids.OrganisationId(completion.organisation.id),
        deadline=completion.deadline,
        model=completion.model.id,
        prompt_tokens=completion.prompt_tokens,
        output_tokens=completion.output_tokens,
        priority=completion.priority,
        prefix_digests=completion.prefix_digests,
    )
