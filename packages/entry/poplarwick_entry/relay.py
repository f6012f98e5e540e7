"""Runs generation requests at engines and relays the event streams."""

from __future__ import annotations

import asyncio

import aiohttp

from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_endpoints import generation
from poplarwick_entry import answers
from poplarwick_entry import context
from poplarwick_entry import grants
from poplarwick_entry import metrics
from poplarwick_entry import parameters
from poplarwick_entry import request_errors
from poplarwick_outcomes import lifecycle as lifecycles
from poplarwick_outcomes import stream
from poplarwick_outcomes import verdicts
from poplarwick_peers.wire import grant_pb2

MAX_ATTEMPTS = 3
MAX_RESUMES = 3
RESUME_DELAY_S = 0.05

_CLIENT_ERROR_STATUSES = frozenset((400, 404, 413, 422))
_OVERLOAD_STATUSES = frozenset((409, 429, 503))


async def relay_completion(
    entry: context.EntryContext,
    grant_request: grants.GrantRequest,
    completion: parameters.CompletionRequest,
    answer: answers.Answer,
    lifecycle: lifecycles.Lifecycle,
) -> None:
    """Runs a request until its answer is complete.

    Inference has no side effects, so a failed attempt is retried at another
    endpoint unless the caller has already received part of the answer.

    Args:
        entry: Dependencies of the caller API.
        grant_request: Resources that the request needs at an endpoint.
        completion: The validated request.
        answer: Receives the events.
        lifecycle: Lifecycle of the request.

    Raises:
        request_errors.RequestEndedError: The request ended without a
            complete answer, and nothing was sent to the caller.
    """
    excluded: frozenset[ids.EndpointId] = frozenset()
    ending: verdicts.Ending = verdicts.DeadlineExceeded()
    entry.retry_budget.count_request()
    for _ in range(MAX_ATTEMPTS):
        version = entry.require_view().version
        grant = await entry.grant_client.acquire(
            grant_request, excluded, version
        )
        lifecycle.grant()
        ending = await _run_attempt(entry, grant, completion, answer, lifecycle)
        if isinstance(ending, verdicts.AnswerComplete):
            metrics.count_end(lifecycle.end(ending))
            return
        if answer.has_begun or isinstance(ending, verdicts.CallerLeft):
            verdict = lifecycle.end(ending)
            metrics.count_end(verdict)
            request_errors.log_end(verdict, completion.request_id)
            await answer.fail(verdict)
            return
        is_final = isinstance(ending, verdicts.Refused)
        if is_final or grant_request.deadline.has_passed:
            break
        if not entry.retry_budget.take():
            break
        excluded |= {grant.endpoint}
    raise request_errors.RequestEndedError(ending)


async def _run_attempt(
    entry: context.EntryContext,
    grant: grants.HeldGrant,
    completion: parameters.CompletionRequest,
    answer: answers.Answer,
    lifecycle: lifecycles.Lifecycle,
) -> verdicts.Ending:
    try:
        async with grant, asyncio.timeout(completion.deadline.remaining_s):
            await _Attempt(entry, grant, completion, answer, lifecycle).run()
    except TimeoutError:
        return verdicts.DeadlineExceeded()
    except request_errors.RequestEndedError as ended:
        return ended.ending
    return verdicts.AnswerComplete()


class _Attempt:
    """One attempt to run a request at one endpoint."""

    def __init__(
        self,
        entry: context.EntryContext,
        grant: grants.HeldGrant,
        completion: parameters.CompletionRequest,
        answer: answers.Answer,
        lifecycle: lifecycles.Lifecycle,
    ) -> None:
        self._lifecycle = lifecycle
        self._entry = entry
        self._grant = grant
        self._completion = completion
        self._answer = answer
        self._reader = stream.StreamReader(grant.target.stream)
        self._sent_s = 0.0

    async def run(self) -> None:
        """Relays the answer and resumes it after lost connections.

        Raises:
            request_errors.RequestEndedError: The attempt ended without a
                complete answer.
        """
        self._sent_s = clock.now_s()
        self._lifecycle.send()
        self._grant.record_sent()
        try:
            await self._read_first_connection()
            await self._resume_until_complete()
        except generation.NotRunError as error:
            self._lifecycle.record_refusal()
            self._grant.record_end(grant_pb2.REPORT_NOT_SENT, detail="connect")
            raise request_errors.RequestEndedError(
                verdicts.EndpointRefused("the endpoint could not be reached")
            ) from error
        except generation.RefusedError as error:
            raise self._convert_refusal(error) from error
        self._grant.record_end(
            grant_pb2.REPORT_COMPLETE, output_tokens=self._reader.tokens
        )
        await self._answer.finish()
        self._log_complete()

    async def _read_first_connection(self) -> None:
        connection = generation.open_generation(
            self._entry.session,
            self._grant.target,
            self._completion.api.value,
            self._completion.body,
            self._completion.deadline,
        )
        try:
            async with connection as content:
                await self._answer.begin(self._grant.endpoint)
                await self._relay(content)
        except generation.ConnectionBrokenError:
            self._reader.end()

    async def _resume_until_complete(self) -> None:
        for attempt in range(MAX_RESUMES):
            if self._reader.is_complete:
                return
            self._record_disconnect()
            await asyncio.sleep(RESUME_DELAY_S * attempt)
            await self._resume()
        if not self._reader.is_complete:
            raise self._make_lost_error()

    async def _resume(self) -> None:
        self._reader.resume()
        connection = generation.resume_generation(
            self._entry.session,
            self._grant.target,
            self._reader.next_seq,
            self._completion.deadline,
        )
        try:
            async with connection as content:
                await self._relay(content)
        except (generation.ConnectionBrokenError, generation.NotRunError):
            self._reader.end()
        except generation.RefusedError as error:
            raise self._make_lost_error() from error

    async def _relay(self, content: aiohttp.StreamReader) -> None:
        reader = self._reader
        while not reader.is_complete and reader.fault is None:
            data = await content.readany()
            if not data:
                reader.end()
                return
            is_first = reader.next_seq == 0
            events = reader.feed(data)
            if not events:
                continue
            if is_first:
                self._lifecycle.stream()
                self._grant.report_first_token(clock.now_s() - self._sent_s)
                metrics.count_first_token(
                    self._completion.prompt_tokens,
                    clock.now_s() - self._completion.received_s,
                )
            await self._answer.write(events)

    def _convert_refusal(
        self, error: generation.RefusedError
    ) -> request_errors.RequestEndedError:
        detail = f"status_{error.status}"
        if error.status in _OVERLOAD_STATUSES:
            self._lifecycle.record_refusal()
            self._grant.record_end(grant_pb2.REPORT_NOT_SENT, detail=detail)
            return request_errors.RequestEndedError(
                verdicts.EndpointRefused("the endpoint has no capacity")
            )
        self._grant.record_end(grant_pb2.REPORT_FAILED, detail=detail)
        if error.status in _CLIENT_ERROR_STATUSES:
            self._lifecycle.record_refusal()
            return request_errors.make_refusal(
                verdicts.Reason.INVALID, "the engine refused the request"
            )
        return self._make_lost_error()

    def _make_lost_error(self) -> request_errors.RequestEndedError:
        fault = self._reader.fault
        self._lifecycle.record_loss()
        self._grant.record_end(
            grant_pb2.REPORT_FAILED,
            output_tokens=self._reader.tokens,
            detail=fault.value if fault is not None else "broken",
        )
        return request_errors.RequestEndedError(
            verdicts.ConnectionLost("the engine did not complete the answer")
        )

    def _record_disconnect(self) -> None:
        fault = self._reader.fault
        metrics.count_disconnect(fault.value if fault is not None else "none")
        logs.log_event(
            "stream_broken",
            "WARNING",
            request=self._completion.request_id,
            endpoint=self._grant.endpoint,
            fault=fault.value if fault is not None else None,
            next_seq=self._reader.next_seq,
        )

    def _log_complete(self) -> None:
        logs.log_event(
            "request_complete",
            request=self._completion.request_id,
            organisation=self._completion.organisation.id,
            endpoint=self._grant.endpoint,
            epoch=self._grant.target.epoch,
            prompt_tokens=self._completion.prompt_tokens,
            output_tokens=self._reader.tokens,
        )
