"""Runs a generation request at an engine and relays its answer."""

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
from poplarwick_entry import measures
from poplarwick_entry import parameters
from poplarwick_entry import problems
from poplarwick_outcomes import lifecycle as lifecycles
from poplarwick_outcomes import stream
from poplarwick_outcomes import verdicts
from poplarwick_peers.wire import grant_pb2

MAX_ATTEMPTS = 3
MAX_RESUMES = 3
RESUME_DELAY_S = 0.05

_CALLER_FAULTS = frozenset((400, 404, 413, 422))
_BUSY = frozenset((409, 429, 503))


async def run(
    entry: context.EntryContext,
    demand: grants.Demand,
    checked: parameters.Parameters,
    answer: answers.Answer,
    lifecycle: lifecycles.Lifecycle,
) -> None:
    """Runs a request until the answer is whole.

    Inference has no side effect, so a run that failed is repeated at another
    endpoint as long as the caller has seen nothing of its answer.

    Args:
        entry: Shared parts of the caller API.
        demand: What the request needs of an endpoint.
        checked: The checked request.
        answer: Receives the events.
        lifecycle: Lifecycle of the request.

    Raises:
        problems.RequestEnded: The request ended without a whole answer and
            the caller has seen nothing of it.
    """
    excluded: frozenset[ids.EndpointId] = frozenset()
    ending: verdicts.Ending = verdicts.DeadlineExceeded()
    entry.retries.note_first()
    for _ in range(MAX_ATTEMPTS):
        version = entry.require_view().version
        held = await entry.broker.acquire(demand, excluded, version)
        lifecycle.grant()
        ending = await _run_once(entry, held, checked, answer, lifecycle)
        if isinstance(ending, verdicts.AnswerComplete):
            measures.count_end(lifecycle.end(ending))
            return
        if answer.has_begun or isinstance(ending, verdicts.CallerLeft):
            verdict = lifecycle.end(ending)
            measures.count_end(verdict)
            await answer.fail(verdict)
            return
        is_final = isinstance(ending, verdicts.Refused)
        if is_final or demand.deadline.has_passed:
            break
        if not entry.retries.take():
            break
        excluded |= {held.endpoint}
    raise problems.RequestEnded(ending)


async def _run_once(
    entry: context.EntryContext,
    held: grants.HeldGrant,
    checked: parameters.Parameters,
    answer: answers.Answer,
    lifecycle: lifecycles.Lifecycle,
) -> verdicts.Ending:
    try:
        async with held, asyncio.timeout(checked.deadline.remaining_s):
            await _Run(entry, held, checked, answer, lifecycle).run()
    except TimeoutError:
        return verdicts.DeadlineExceeded()
    except problems.RequestEnded as ended:
        return ended.ending
    return verdicts.AnswerComplete()


class _Run:
    """One run of a request at one endpoint."""

    def __init__(
        self,
        entry: context.EntryContext,
        held: grants.HeldGrant,
        checked: parameters.Parameters,
        answer: answers.Answer,
        lifecycle: lifecycles.Lifecycle,
    ) -> None:
        self._lifecycle = lifecycle
        self._entry = entry
        self._held = held
        self._checked = checked
        self._answer = answer
        self._reader = stream.StreamReader(held.target.stream)
        self._sent_s = 0.0

    async def run(self) -> None:
        """Relays the answer, resuming it after broken connections."""
        self._sent_s = clock.now_s()
        self._lifecycle.send()
        self._held.note_sent()
        try:
            await self._read_first_connection()
            await self._resume_until_whole()
        except generation.NotRunError as error:
            self._lifecycle.record_refusal()
            self._held.note_end(grant_pb2.REPORT_NOT_SENT, detail="connect")
            raise problems.RequestEnded(
                verdicts.EndpointRefused("the endpoint could not be reached")
            ) from error
        except generation.RefusedError as error:
            raise self._refuse(error) from error
        self._held.note_end(
            grant_pb2.REPORT_COMPLETE, output_tokens=self._reader.tokens
        )
        await self._answer.finish()
        self._log_end()

    async def _read_first_connection(self) -> None:
        opened = generation.open_generation(
            self._entry.session,
            self._held.target,
            self._checked.api.value,
            self._checked.body,
            self._checked.deadline,
        )
        try:
            async with opened as content:
                await self._answer.begin(self._held.endpoint)
                await self._relay(content)
        except generation.BrokenError:
            self._reader.end()

    async def _resume_until_whole(self) -> None:
        for attempt in range(MAX_RESUMES):
            if self._reader.is_complete:
                return
            self._log_break()
            await asyncio.sleep(RESUME_DELAY_S * attempt)
            await self._resume()
        if not self._reader.is_complete:
            raise self._make_lost_error()

    async def _resume(self) -> None:
        self._reader.resume()
        opened = generation.resume_generation(
            self._entry.session,
            self._held.target,
            self._reader.next_seq,
            self._checked.deadline,
        )
        try:
            async with opened as content:
                await self._relay(content)
        except (generation.BrokenError, generation.NotRunError):
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
                self._held.note_first_token(clock.now_s() - self._sent_s)
                measures.count_first_token(
                    self._checked.prompt_tokens,
                    clock.now_s() - self._checked.received_s,
                )
            await self._answer.write(events)

    def _refuse(self, error: generation.RefusedError) -> problems.RequestEnded:
        detail = f"status_{error.status}"
        if error.status in _BUSY:
            self._lifecycle.record_refusal()
            self._held.note_end(grant_pb2.REPORT_NOT_SENT, detail=detail)
            return problems.RequestEnded(
                verdicts.EndpointRefused("the endpoint has no room")
            )
        self._held.note_end(grant_pb2.REPORT_FAILED, detail=detail)
        if error.status in _CALLER_FAULTS:
            self._lifecycle.record_refusal()
            return problems.refuse(
                verdicts.Reason.INVALID, "the engine refused the request"
            )
        return self._make_lost_error()

    def _make_lost_error(self) -> problems.RequestEnded:
        fault = self._reader.fault
        self._lifecycle.record_loss()
        self._held.note_end(
            grant_pb2.REPORT_FAILED,
            output_tokens=self._reader.tokens,
            detail=fault.value if fault is not None else "broken",
        )
        return problems.RequestEnded(
            verdicts.ConnectionLost("the engine's answer broke off")
        )

    def _log_break(self) -> None:
        fault = self._reader.fault
        measures.count_break(fault.value if fault is not None else "none")
        logs.log_event(
            "stream_broken",
            "WARNING",
            request=self._checked.request,
            endpoint=self._held.endpoint,
            fault=fault.value if fault is not None else None,
            next_seq=self._reader.next_seq,
        )

    def _log_end(self) -> None:
        logs.log_event(
            "request_complete",
            request=self._checked.request,
            organisation=self._checked.organisation.id,
            endpoint=self._held.endpoint,
            epoch=self._held.target.epoch,
            prompt_tokens=self._checked.prompt_tokens,
            output_tokens=self._reader.tokens,
        )
