"""Parsing and validation of completion requests."""

from __future__ import annotations

import dataclasses
import enum
import math
from typing import Annotated

import msgspec
import xxhash

from poplarwick_configuration import document
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_entry import headers
from poplarwick_entry import request_errors
from poplarwick_outcomes import verdicts

BYTES_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 256
FIRST_PREFIX_BYTES = 4_096
PREFIX_GROWTH = 4
MAX_PREFIXES = 6


class Api(enum.Enum):
    """The two text generation APIs, by their paths."""

    COMPLETIONS = "/v1/completions"
    CHAT = "/v1/chat/completions"


class _Body(msgspec.Struct):
    model: Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
    prompt: msgspec.Raw = msgspec.Raw()
    messages: msgspec.Raw = msgspec.Raw()
    max_tokens: Annotated[int, msgspec.Meta(gt=0)] | None = None
    max_completion_tokens: Annotated[int, msgspec.Meta(gt=0)] | None = None
    stream: bool | None = None


class _Message(msgspec.Struct):
    role: str
    content: str | list[msgspec.Raw] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionRequest:
    """A validated completion request.

    Attributes:
        request_id: Id of the request.
        api: The API that was called.
        organisation: Organisation of the caller.
        model: Model to run.
        body: JSON body to send to the engine.
        prompt_tokens: Estimated prompt length, in tokens.
        output_tokens: Maximum number of tokens to generate.
        is_streamed: Whether the caller requested a streamed answer.
        priority: Priority within the organisation; higher goes first.
        deadline: Time by which the request must end.
        prefix_digests: Digests of prompt prefixes, the shortest first.
        received_s: Monotonic time in seconds at which the body was parsed.
    """

    request_id: ids.RequestId
    api: Api
    organisation: document.Organisation
    model: document.Model
    body: bytes
    prompt_tokens: int
    output_tokens: int
    is_streamed: bool
    priority: int
    deadline: clock.Deadline
    prefix_digests: tuple[int, ...]
    received_s: float


def parse_completion(
    api: Api,
    body: bytes,
    organisation: document.Organisation,
    view: document.View,
    *,
    priority: str | None,
    timeout: str | None,
) -> CompletionRequest:
    """Parses and validates a completion request.

    Args:
        api: The API that was called.
        body: Request body as received.
        organisation: Organisation of the caller.
        view: The configuration in force.
        priority: Value of the priority header.
        timeout: Value of the timeout header.

    Returns:
        The validated request.

    Raises:
        request_errors.RequestEndedError: A field or header is invalid.
    """
    fields = _decode_body(body)
    model = view.find_model(ids.ModelId(fields.model))
    if model is None:
        raise request_errors.make_refusal(
            verdicts.Reason.MODEL_NOT_FOUND,
            f"the model {fields.model!r} does not exist",
            "model",
        )
    prompt = _extract_prompt(api, fields)
    prompt_tokens = math.ceil(len(prompt) / BYTES_PER_TOKEN)
    output_tokens = _get_output_tokens(fields, model)
    _check_length(prompt_tokens, output_tokens, model)
    timeout_s = parse_timeout(timeout, model.timeout_s, model.max_timeout_s)
    return CompletionRequest(
        request_id=ids.make_request_id(),
        api=api,
        organisation=organisation,
        model=model,
        body=_make_engine_body(body, fields, output_tokens),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        is_streamed=bool(fields.stream),
        priority=parse_priority(priority),
        deadline=clock.make_deadline(timeout_s),
        prefix_digests=_digest_prefixes(fields.model, prompt),
        received_s=clock.now_s(),
    )


def parse_priority(value: str | None) -> int:
    """Parses the priority header; a missing header means 0.

    Raises:
        request_errors.RequestEndedError: The value is not an integer in the
            allowed range.
    """
    if value is None:
        return 0
    try:
        priority = int(value)
    except ValueError:
        priority = headers.MAX_PRIORITY + 1
    if not headers.MIN_PRIORITY <= priority <= headers.MAX_PRIORITY:
        raise request_errors.make_refusal(
            verdicts.Reason.INVALID,
            f"{headers.PRIORITY} must be an integer from "
            f"{headers.MIN_PRIORITY} to {headers.MAX_PRIORITY}",
            headers.PRIORITY,
        )
    return priority


def parse_timeout(value: str | None, default_s: float, max_s: float) -> float:
    """Parses the timeout header.

    Args:
        value: Value of the header, or None if it is missing.
        default_s: Timeout in seconds if the header is missing.
        max_s: Longest allowed timeout, in seconds.

    Returns:
        The timeout in seconds.

    Raises:
        request_errors.RequestEndedError: The value is not a number above 0
            and up to `max_s`.
    """
    if value is None:
        return default_s
    try:
        timeout_s = float(value)
    except ValueError:
        timeout_s = math.nan
    if not 0 < timeout_s <= max_s:
        raise request_errors.make_refusal(
            verdicts.Reason.INVALID,
            f"{headers.TIMEOUT} must be above 0 and at most {max_s:g} s",
            headers.TIMEOUT,
        )
    return timeout_s


def _decode_body(body: bytes) -> _Body:
    try:
        body.decode("utf-8")
    except UnicodeDecodeError as error:
        raise request_errors.make_refusal(
            verdicts.Reason.INVALID, f"the body is not UTF-8: {error.reason}"
        ) from error
    try:
        return msgspec.json.decode(body, type=_Body)
    except msgspec.ValidationError as error:
        raise request_errors.make_refusal(
            verdicts.Reason.INVALID, str(error), _find_param(str(error))
        ) from error
    except (msgspec.DecodeError, RecursionError) as error:
        raise request_errors.make_refusal(
            verdicts.Reason.INVALID, f"the body is not valid JSON: {error}"
        ) from error


def _find_param(message: str) -> str | None:
    _, found, path = message.partition("`$.")
    return path.rstrip("`") if found else None


def _extract_prompt(api: Api, fields: _Body) -> bytes:
    match api:
        case Api.COMPLETIONS:
            name, raw = "prompt", fields.prompt
        case Api.CHAT:
            name, raw = "messages", fields.messages
    prompt = bytes(raw)
    if not prompt:
        raise request_errors.make_refusal(
            verdicts.Reason.INVALID, f"the field {name!r} is required", name
        )
    _check_prompt(api, name, prompt)
    return prompt


def _check_prompt(api: Api, name: str, prompt: bytes) -> None:
    try:
        match api:
            case Api.COMPLETIONS:
                is_empty = not msgspec.json.decode(prompt, type=str)
            case Api.CHAT:
                is_empty = not msgspec.json.decode(prompt, type=list[_Message])
    except msgspec.ValidationError as error:
        raise request_errors.make_refusal(
            verdicts.Reason.INVALID, f"{name}: {error}", name
        ) from error
    if is_empty:
        raise request_errors.make_refusal(
            verdicts.Reason.INVALID, f"the field {name!r} is empty", name
        )


def _get_output_tokens(fields: _Body, model: document.Model) -> int:
    requested = fields.max_completion_tokens or fields.max_tokens
    return requested or min(DEFAULT_OUTPUT_TOKENS, model.context_tokens)


def _check_length(
    prompt_tokens: int, output_tokens: int, model: document.Model
) -> None:
    if prompt_tokens + output_tokens > model.context_tokens:
        raise request_errors.make_refusal(
            verdicts.Reason.TOO_LONG,
            f"the prompt has about {prompt_tokens} tokens and the output up to "
            f"{output_tokens}; the context length is {model.context_tokens}",
        )


def _make_engine_body(body: bytes, fields: _Body, output_tokens: int) -> bytes:
    """Returns the body to send, which always streams and limits the output."""
    has_token_limit = fields.max_completion_tokens or fields.max_tokens
    if fields.stream and has_token_limit:
        return body
    members = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    members["stream"] = msgspec.Raw(b"true")
    if not has_token_limit:
        members["max_tokens"] = msgspec.Raw(str(output_tokens).encode())
    return msgspec.json.encode(members)


def _digest_prefixes(model: str, prompt: bytes) -> tuple[int, ...]:
    digest = xxhash.xxh3_64(model.encode())
    digests: list[int] = []
    start, end = 0, FIRST_PREFIX_BYTES
    while len(digests) < MAX_PREFIXES:
        digest.update(prompt[start:end])
        digests.append(digest.intdigest())
        if end >= len(prompt):
            break
        start, end = end, end * PREFIX_GROWTH
    return tuple(digests)
