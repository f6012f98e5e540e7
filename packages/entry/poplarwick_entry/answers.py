"""Answers to callers, either streamed or buffered into one body."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any
from typing import Protocol

import msgspec
from aiohttp import web

from poplarwick_core import ids
from poplarwick_core import outcome
from poplarwick_entry import headers
from poplarwick_entry import parameters
from poplarwick_entry import request_errors
from poplarwick_entry import response_memory
from poplarwick_outcomes import replies
from poplarwick_outcomes import stream
from poplarwick_outcomes import verdicts

ERROR_WRITE_TIMEOUT_S = 0.5

_DATA_PREFIX = b"data:"


class Answer(Protocol):
    """Receives the server-sent events of one answer."""

    @property
    def has_begun(self) -> bool:
        """Whether the caller may have received part of the answer."""
        ...

    @property
    def response(self) -> web.StreamResponse:
        """The response that the handler returns."""
        ...

    async def begin(self, endpoint: ids.EndpointId) -> None:
        """Starts the answer of an endpoint."""
        ...

    async def write(self, events: bytes) -> None:
        """Accepts complete events; applies backpressure from a slow caller."""
        ...

    async def finish(self) -> None:
        """Ends a complete answer."""
        ...

    async def fail(self, verdict: verdicts.Verdict) -> None:
        """Ends an answer that failed after it was partly sent."""
        ...


class StreamedAnswer:
    """Streams events to the caller as server-sent events.

    Args:
        request: HTTP request of the caller.
        completion: The validated request.
        instance: Id of this instance.
    """

    def __init__(
        self,
        request: web.Request,
        completion: parameters.CompletionRequest,
        instance: ids.InstanceId,
    ) -> None:
        self._request = request
        self._response = web.StreamResponse()
        self._response.content_type = "text/event-stream"
        self._response.headers["Cache-Control"] = "no-store"
        self._response.headers[headers.REQUEST_ID] = completion.request_id
        self._response.headers[headers.INSTANCE] = instance

    @property
    def has_begun(self) -> bool:
        """Whether the response headers were sent."""
        return self._response.prepared

    @property
    def response(self) -> web.StreamResponse:
        """The streamed response."""
        return self._response

    async def begin(self, endpoint: ids.EndpointId) -> None:
        """Sets the endpoint header unless the headers were already sent."""
        if not self._response.prepared:
            self._response.headers[headers.ENDPOINT] = endpoint

    async def write(self, events: bytes) -> None:
        """Sends events; waits while the send buffer is full."""
        try:
            if not self._response.prepared:
                await self._response.prepare(self._request)
            await self._response.write(events)
        except ConnectionError as error:
            # Distinguishes a disconnected caller from a lost engine connection,
            # which would be resumed.
            raise request_errors.RequestEndedError(
                verdicts.CallerLeft()
            ) from error

    async def finish(self) -> None:
        """Sends the outcome as a comment, then the `[DONE]` event."""
        comment = _make_outcome_comment(outcome.Outcome.COMPLETE)
        await self.write(comment + stream.DONE_EVENT)
        await self._write_eof()

    async def fail(self, verdict: verdicts.Verdict) -> None:
        """Sends the outcome and an error event, without `[DONE]`.

        The connection is aborted if the caller does not read within
        `ERROR_WRITE_TIMEOUT_S`.
        """
        comment = _make_outcome_comment(verdict.outcome)
        try:
            async with asyncio.timeout(ERROR_WRITE_TIMEOUT_S):
                await self.write(comment + replies.encode_event(verdict))
                await self._write_eof()
        except TimeoutError:
            transport = self._request.transport
            if transport is not None:
                transport.abort()
        except request_errors.RequestEndedError:
            return

    async def _write_eof(self) -> None:
        with contextlib.suppress(ConnectionError):
            await self._response.write_eof()


class BufferedAnswer:
    """Buffers events into the body of one response.

    Args:
        completion: The validated request.
        instance: Id of this instance.
        held: Counts the buffered events.
    """

    def __init__(
        self,
        completion: parameters.CompletionRequest,
        instance: ids.InstanceId,
        held: response_memory.HeldResponse,
    ) -> None:
        self._completion = completion
        self._instance = instance
        self._held = held
        self._endpoint = ids.EndpointId("")
        self._texts: list[str] = []
        self._finish_reason: str | None = None
        self._created = 0
        self._tokens = 0
        self._response = web.Response()

    @property
    def has_begun(self) -> bool:
        """Always false, because nothing is sent before the end."""
        return False

    @property
    def response(self) -> web.StreamResponse:
        """The response, complete after `finish` or `fail` was called."""
        return self._response

    async def begin(self, endpoint: ids.EndpointId) -> None:
        """Discards buffered text and starts the answer of an endpoint."""
        self._endpoint = endpoint
        self._texts.clear()
        self._held.release()
        self._tokens = 0

    async def write(self, events: bytes) -> None:
        """Buffers the text of the events.

        Raises:
            request_errors.RequestEndedError: The answer takes too much memory.
        """
        try:
            self._held.add(len(events))
        except response_memory.ResponseMemoryError as error:
            raise request_errors.RequestEndedError(
                verdicts.EndpointFailed(
                    "there is no memory for such a large answer"
                )
            ) from error
        for event in events.split(b"\n\n"):
            if event.startswith(_DATA_PREFIX):
                self._append_event(
                    msgspec.json.decode(event[len(_DATA_PREFIX) :])
                )

    async def finish(self) -> None:
        """Builds the response from the buffered text."""
        self._response = web.Response(
            body=json.dumps(self._make_body(), ensure_ascii=False).encode(),
            content_type="application/json",
        )
        response_headers = self._response.headers
        response_headers[headers.REQUEST_ID] = self._completion.request_id
        response_headers[headers.INSTANCE] = self._instance
        response_headers[headers.ENDPOINT] = self._endpoint
        response_headers[replies.OUTCOME_HEADER] = (
            outcome.Outcome.COMPLETE.value
        )

    async def fail(self, verdict: verdicts.Verdict) -> None:
        """Replaces the response by an error response with the verdict."""
        self._response = request_errors.make_response(verdict)

    def _append_event(self, event: dict[str, Any]) -> None:
        self._created = event.get("created", self._created)
        self._tokens += event.get("tokens", 1)
        for choice in event.get("choices", ()):
            match self._completion.api:
                case parameters.Api.COMPLETIONS:
                    text = choice.get("text")
                case parameters.Api.CHAT:
                    text = choice.get("delta", {}).get("content")
            if text:
                self._texts.append(text)
            self._finish_reason = choice.get("finish_reason") or (
                self._finish_reason
            )

    def _make_body(self) -> dict[str, Any]:
        text = "".join(self._texts)
        choice: dict[str, Any] = {
            "index": 0,
            "finish_reason": self._finish_reason,
            "logprobs": None,
        }
        match self._completion.api:
            case parameters.Api.COMPLETIONS:
                kind = "text_completion"
                choice["text"] = text
            case parameters.Api.CHAT:
                kind = "chat.completion"
                choice["message"] = {"role": "assistant", "content": text}
        prompt_tokens = self._completion.prompt_tokens
        return {
            "id": self._completion.request_id,
            "object": kind,
            "created": self._created,
            "model": self._completion.model.id,
            "choices": [choice],
            "usage": {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": self._tokens,
                "total_tokens": prompt_tokens + self._tokens,
            },
        }


def _make_outcome_comment(final_outcome: outcome.Outcome) -> bytes:
    return (
        f": {replies.OUTCOME_HEADER.lower()} {final_outcome.value}\n\n".encode()
    )
