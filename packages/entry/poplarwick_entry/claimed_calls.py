"""Non-idempotent calls, each claimed by its key and run at most once."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from types import TracebackType
from typing import Self

import result
from aiohttp import web

from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_entry import headers
from poplarwick_entry import request_errors
from poplarwick_outcomes import lifecycle as lifecycles
from poplarwick_outcomes import replies
from poplarwick_outcomes import verdicts
from poplarwick_outcomes.claims import client as clients
from poplarwick_outcomes.claims import keys
from poplarwick_outcomes.claims import records
from poplarwick_outcomes.claims import replies as claim_replies

RUN_MARGIN_S = 5.0
MS_PER_S = 1_000
REPLAYED_HEADERS = ("Content-Type", "Content-Encoding", "Location")
"""Headers of an answer that are stored for replay."""

RunCall = Callable[[], Awaitable[web.Response]]


class ClaimedCalls:
    """Runs claimed calls; use it as a context manager.

    A claimed call continues when its caller disconnects, so that a retry of
    the caller finds the answer. Leaving the context waits for the calls in
    progress.

    Args:
        client: Client of the claim service.
    """

    def __init__(self, client: clients.ClaimClient) -> None:
        self._client = client
        self._tasks: set[asyncio.Task[web.Response]] = set()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if kind is not None:
            for task in self._tasks:
                task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def run(
        self,
        key: keys.ClaimKey,
        content: bytes,
        deadline: clock.Deadline,
        lifecycle: lifecycles.Lifecycle,
        run_call: RunCall,
    ) -> web.Response:
        """Claims a call and runs it, or replays the answer of its only run.

        Args:
            key: Idempotency key of the caller.
            content: Digest of the content of the call.
            deadline: Time by which the call must end.
            lifecycle: Lifecycle of the request.
            run_call: Runs the call at an endpoint.

        Returns:
            The answer of the only run of the call.

        Raises:
            request_errors.RequestEndedError: The call ended without an answer.
        """
        remaining_s = deadline.remaining_s
        run_until_s = clock.wall_time_s() + remaining_s + RUN_MARGIN_S
        attempt = clients.make_attempt(
            key, content, int(run_until_s * MS_PER_S)
        )
        task = asyncio.create_task(
            self._run(attempt, remaining_s, lifecycle, run_call)
        )
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return await asyncio.shield(task)

    async def _run(
        self,
        attempt: records.Record,
        timeout_s: float,
        lifecycle: lifecycles.Lifecycle,
        run_call: RunCall,
    ) -> web.Response:
        match await self._client.claim(attempt, timeout_s):
            case claim_replies.Granted():
                return await self._run_granted(attempt, lifecycle, run_call)
            case claim_replies.Answered(answer):
                verdict = lifecycle.end(verdicts.AnswerComplete(answer.status))
                return _replay(answer, verdict)
            case reply:
                raise request_errors.RequestEndedError(_convert_reply(reply))

    async def _run_granted(
        self,
        attempt: records.Record,
        lifecycle: lifecycles.Lifecycle,
        run_call: RunCall,
    ) -> web.Response:
        try:
            response = await run_call()
        except BaseException:
            if lifecycle.may_have_run:
                self._client.resolve(attempt, None)
            else:
                self._client.release(attempt)
            raise
        self._client.resolve(attempt, _make_answer(response))
        return response

    def _on_task_done(self, task: asyncio.Task[web.Response]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # Retrieves the exception, so that asyncio does not log it as never
            # retrieved when the caller has disconnected.
            task.exception()


def require_key(
    request: web.Request, organisation: ids.OrganisationId
) -> keys.ClaimKey:
    """Returns the idempotency key of a non-idempotent call.

    Raises:
        request_errors.RequestEndedError: The key is missing or not valid.
    """
    values = request.headers.getall(headers.IDEMPOTENCY_KEY, [])
    if len(values) > 1:
        raise request_errors.make_refusal(
            verdicts.Reason.KEY_INVALID,
            f"more than one {headers.IDEMPOTENCY_KEY} header was sent",
            headers.IDEMPOTENCY_KEY,
        )
    now_ms = int(clock.wall_time_s() * MS_PER_S)
    value = values[0] if values else None
    match keys.parse_key(value, organisation, now_ms):
        case result.Ok(key):
            return key
        case result.Err(refused):
            raise request_errors.RequestEndedError(refused)


def _convert_reply(reply: claim_replies.ClaimReply) -> verdicts.Ending:
    match reply:
        case claim_replies.AnswerDropped(status):
            return verdicts.AnswerDropped(status)
        case claim_replies.Lost():
            return verdicts.OutcomeMissing()
        case claim_replies.Running():
            return verdicts.StillRunning()
        case claim_replies.Expired():
            return verdicts.KeyExpired()
        case claim_replies.Conflict():
            return verdicts.Refused(
                verdicts.Reason.KEY_CONFLICT,
                "the key was already used for a call with different content",
                param=headers.IDEMPOTENCY_KEY,
            )
        case claim_replies.Unavailable(retry_after_s):
            wait_s = retry_after_s
        case _:
            wait_s = clients.MAX_RETRY_S
    return verdicts.Refused(
        verdicts.Reason.CLAIMS_UNAVAILABLE,
        "the key could not be claimed, so this attempt was not run; the "
        "outcome of an earlier attempt with the key is unchanged",
        retry_after_s=wait_s,
    )


def _make_answer(response: web.Response) -> records.Answer:
    body = response.body
    return records.Answer(
        status=response.status,
        headers=tuple(
            (name, response.headers[name])
            for name in REPLAYED_HEADERS
            if name in response.headers
        ),
        body=bytes(body) if isinstance(body, (bytes, bytearray)) else b"",
    )


def _replay(answer: records.Answer, verdict: verdicts.Verdict) -> web.Response:
    response = web.Response(status=answer.status, body=answer.body)
    for name, value in answer.headers:
        response.headers[name] = value
    response.headers[headers.REPLAYED] = "true"
    response.headers.update(replies.make_headers(verdict))
    return response
