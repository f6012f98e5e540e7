"""Callers that record the response to each attempt."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec

from poplarwick_core import outcome
from poplarwick_standins import completions

OUTCOME_HEADER = "Poplarwick-Outcome"
ENDPOINT_HEADER = "Poplarwick-Endpoint"
INSTANCE_HEADER = "Poplarwick-Instance"
REQUEST_HEADER = "Poplarwick-Request"
TIMEOUT_HEADER = "Poplarwick-Timeout"
KEY_HEADER = "Idempotency-Key"

# Added to the timeout of a call before the caller closes the connection.
RESPONSE_MARGIN_S = 5.0

TextSink = Callable[[str], None]

_OUTCOME_COMMENT = f": {OUTCOME_HEADER.lower()} ".encode()
_DATA = b"data: "
_END_MARK = b"[DONE]"


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """One call, independent of its attempts.

    Attributes:
        name: Unique name in a run.
        organisation: Organisation that calls.
        body: Body of the request.
        path: Path of the request.
        method: HTTP method.
        secret: API key of the organisation.
        timeout_s: Time limit of the call; None sends no limit.
        key: Idempotency key; None for a call without one.
    """

    name: str
    organisation: str
    body: dict[str, Any]
    secret: str
    path: str = "/v1/completions"
    method: str = "POST"
    timeout_s: float | None = None
    key: str | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class AttemptRecord:
    """Result of one attempt of a call, as seen by the caller.

    Attributes:
        name: Name of the call.
        organisation: Organisation that called.
        address: Host and port that it was sent to.
        due_s: Monotonic time at which the call was due.
        sent_at_s: Wall time at which it was sent.
        waited_s: Seconds from due to sent, including earlier attempts.
        first_token_s: Seconds from due to the first token; None if none came.
        ended_s: Seconds from due to the end.
        status: HTTP status; 0 without a response.
        outcome: Outcome reported to the caller; None if none was reported.
        code: Error code; empty without an error.
        text: Text received.
        tokens: Tokens received.
        is_complete: Whether the response had its end marker or full body.
        endpoint: Endpoint named in the response.
        instance: Instance named in the response.
        request_id: Request id named in the response.
        retry_after_s: Retry-After of the response, in seconds.
        timeout_s: Time limit of the call.
        key: Idempotency key.
        prompt_digest: Digest of the prompt; empty for plain services.
        prompt_tokens: Size of the prompt.
        max_tokens: Tokens of the complete response.
        gaps_s: Times between successive tokens of a stream.
    """

    name: str
    organisation: str
    due_s: float
    sent_at_s: float
    address: str = ""
    waited_s: float = 0.0
    first_token_s: float | None = None
    ended_s: float = 0.0
    status: int = 0
    outcome: outcome.Outcome | None = None
    code: str = ""
    text: str = ""
    tokens: int = 0
    is_complete: bool = False
    endpoint: str = ""
    instance: str = ""
    request_id: str = ""
    retry_after_s: float | None = None
    timeout_s: float | None = None
    key: str | None = None
    prompt_digest: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    gaps_s: list[float] = dataclasses.field(default_factory=list)

    @property
    def duration_s(self) -> float:
        """Duration of this attempt alone, in seconds."""
        return self.ended_s - self.waited_s


class Caller:
    """Sends calls to one address.

    Attributes:
        session: HTTP client.
        address: Host and port of an instance.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self.session = session
        self.address = address

    async def send(
        self,
        call: Call,
        due_s: float | None = None,
        on_text: TextSink | None = None,
    ) -> AttemptRecord:
        """Sends a call once and records the response.

        Args:
            call: The call.
            due_s: Monotonic time at which the call was due; None for now.
            on_text: Called with each piece of text as it arrives.
        """
        record = _make_record(call, due_s)
        record.address = self.address
        wait_limit_s = None
        if call.timeout_s is not None:
            wait_limit_s = call.timeout_s + RESPONSE_MARGIN_S
        try:
            async with (
                asyncio.timeout(wait_limit_s),
                self.session.request(
                    call.method,
                    f"http://{self.address}{call.path}",
                    data=msgspec.json.encode(call.body) if call.body else None,
                    headers=make_headers(call),
                ) as response,
            ):
                await _read_response(response, record, on_text)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            record.code = record.code or type(error).__name__
        record.ended_s = time.monotonic() - record.due_s
        return record


def make_headers(call: Call) -> dict[str, str]:
    """Returns the request headers of a call."""
    headers = {"Authorization": f"Bearer {call.secret}"}
    if call.body:
        headers["Content-Type"] = "application/json"
    if call.timeout_s is not None:
        headers[TIMEOUT_HEADER] = f"{call.timeout_s:g}"
    if call.key is not None:
        headers[KEY_HEADER] = call.key
    return headers


def has_expected_text(record: AttemptRecord) -> bool:
    """Returns whether the text is the expected response to the call."""
    return record.text == completions.make_text(
        record.prompt_digest, 0, record.max_tokens
    )


def _make_record(call: Call, due_s: float | None) -> AttemptRecord:
    now_s = time.monotonic()
    due_s = now_s if due_s is None else due_s
    record = AttemptRecord(
        name=call.name,
        organisation=call.organisation,
        due_s=due_s,
        sent_at_s=time.time(),
        waited_s=now_s - due_s,
        timeout_s=call.timeout_s,
        key=call.key,
    )
    if "max_tokens" in call.body:
        prompt = completions.read_prompt(call.body)
        record.prompt_digest = completions.digest_prompt(prompt)
        record.prompt_tokens = completions.estimate_tokens(prompt)
        record.max_tokens = call.body["max_tokens"]
    return record


async def _read_response(
    response: aiohttp.ClientResponse,
    record: AttemptRecord,
    on_text: TextSink | None,
) -> None:
    headers = response.headers
    record.status = response.status
    record.endpoint = headers.get(ENDPOINT_HEADER, "")
    record.instance = headers.get(INSTANCE_HEADER, "")
    record.request_id = headers.get(REQUEST_HEADER, "")
    if OUTCOME_HEADER in headers:
        record.outcome = outcome.Outcome(headers[OUTCOME_HEADER])
    if "Retry-After" in headers:
        record.retry_after_s = float(headers["Retry-After"])
    if response.content_type == "text/event-stream":
        await _read_events(response, record, on_text)
    else:
        _read_body(await response.read(), record)


async def _read_events(
    response: aiohttp.ClientResponse,
    record: AttemptRecord,
    on_text: TextSink | None,
) -> None:
    last_s = 0.0
    buffered = b""
    async for part in response.content.iter_any():
        now_s = time.monotonic()
        *events, buffered = (buffered + part).split(b"\n\n")
        tokens, length = record.tokens, len(record.text)
        for event in events:
            _apply_event(event, record)
        if on_text is not None:
            on_text(record.text[length:])
        if record.tokens == tokens:
            continue
        if record.first_token_s is None:
            record.first_token_s = now_s - record.due_s
        else:
            record.gaps_s.append(now_s - last_s)
        last_s = now_s


def _apply_event(event: bytes, record: AttemptRecord) -> None:
    if event.startswith(_OUTCOME_COMMENT):
        word = event.removeprefix(_OUTCOME_COMMENT).decode().strip()
        record.outcome = outcome.Outcome(word)
        return
    if not event.startswith(_DATA):
        return
    data = event.removeprefix(_DATA)
    if data == _END_MARK:
        record.is_complete = True
        record.outcome = record.outcome or outcome.Outcome.COMPLETE
        return
    fields = msgspec.json.decode(data)
    if "error" in fields:
        _apply_error(fields["error"], record)
        return
    for choice in fields.get("choices", ()):
        record.text += _read_text(choice)
    record.tokens += fields.get("tokens", 1)


def _read_body(body: bytes, record: AttemptRecord) -> None:
    try:
        fields = msgspec.json.decode(body)
    except msgspec.DecodeError:
        fields = None
    if isinstance(fields, dict) and "error" in fields and record.status >= 400:
        _apply_error(fields["error"], record)
        return
    record.is_complete = record.status == 200
    if not isinstance(fields, dict) or "choices" not in fields:
        record.text = body.decode(errors="replace")
        return
    record.text = "".join(_read_text(c) for c in fields["choices"])
    record.tokens = fields.get("usage", {}).get("completion_tokens", 0)


def _apply_error(error: dict[str, Any], record: AttemptRecord) -> None:
    record.code = str(error.get("code") or error.get("type"))
    if error.get("outcome"):
        record.outcome = outcome.Outcome(error["outcome"])


def _read_text(choice: dict[str, Any]) -> str:
    message = choice.get("delta") or choice.get("message") or choice
    return str(message.get("text") or message.get("content") or "")
