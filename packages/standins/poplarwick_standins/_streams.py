"""Generation streams of the stand-in engine and their events."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import time
from typing import Any

import msgspec

from poplarwick_standins import _prefix_cache
from poplarwick_standins import completions


class StreamState(enum.Enum):
    """Life of a stream."""

    WAITING = "waiting"
    PREFILL = "prefill"
    DECODE = "decode"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    LOST = "lost"


RUNNING_STATES = frozenset(
    {StreamState.WAITING, StreamState.PREFILL, StreamState.DECODE}
)


@dataclasses.dataclass(slots=True, eq=False)
class Stream:
    """One generation stream.

    Attributes:
        id: Identity chosen by the dispatcher.
        epoch: Fencing number that the stream was started with.
        priority: Higher is served first.
        digest: Digest of the prompt.
        prompt_tokens: Size of the prompt.
        max_tokens: Tokens that the stream generates.
        has_limit: Whether the caller named the limit.
        is_chat: Whether events have the chat form.
        model: Model that the caller named.
        cached_tokens: Part of the prompt found in the prefix cache.
        prefixes: Prefixes that are cached once the prefill has ended.
        state: Current state.
        prefilled: Prompt tokens processed so far.
        progress: Tokens that have fallen due so far.
        emitted: Tokens handed out in events.
        events: Encoded events; the index is the sequence number.
        ended_at_s: Monotonic time of the end.
        wake: Set when something changed.
    """

    id: str
    epoch: int
    priority: int
    digest: str
    prompt_tokens: int
    max_tokens: int
    has_limit: bool = True
    is_chat: bool = False
    model: str = ""
    cached_tokens: int = 0
    prefixes: list[_prefix_cache.Prefix] = dataclasses.field(
        default_factory=list
    )
    state: StreamState = StreamState.WAITING
    prefilled: float = 0.0
    progress: float = 0.0
    emitted: int = 0
    events: list[bytes] = dataclasses.field(default_factory=list)
    ended_at_s: float = 0.0
    wake: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def memory_tokens(self) -> int:
        """KV cache memory reserved for the stream."""
        return self.prompt_tokens + self.max_tokens

    @property
    def is_running(self) -> bool:
        """Whether the stream still holds memory."""
        return self.state in RUNNING_STATES

    def notify(self) -> None:
        """Wakes all readers."""
        self.wake.set()
        self.wake = asyncio.Event()

    def emit(self, end: int) -> None:
        """Adds one event with the tokens up to `end`."""
        is_last = end >= self.max_tokens
        self.events.append(_encode_event(self, end, is_last))
        self.emitted = end

    def read_finish_reason(self) -> str:
        """Returns why the text ends."""
        return "length" if self.has_limit else "stop"

    def read_usage(self) -> dict[str, int]:
        """Returns the token counts in the published form."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.emitted,
            "total_tokens": self.prompt_tokens + self.emitted,
        }


def encode_answer(stream: Stream) -> bytes:
    """Returns the whole answer of a finished stream as one JSON object."""
    text = completions.make_text(stream.digest, 0, stream.emitted)
    choice: dict[str, Any] = {"index": 0, "logprobs": None}
    if stream.is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    choice["finish_reason"] = stream.read_finish_reason()
    kind = "chat.completion" if stream.is_chat else "text_completion"
    return msgspec.json.encode(
        {
            "stream": stream.id,
            "id": stream.id,
            "object": kind,
            "created": int(time.time()),
            "model": stream.model,
            "choices": [choice],
            "usage": stream.read_usage(),
        }
    )


def _encode_event(stream: Stream, end: int, is_last: bool) -> bytes:
    text = completions.make_text(stream.digest, stream.emitted, end)
    choice: dict[str, Any] = {"index": 0}
    if stream.is_chat:
        choice["delta"] = {"content": text}
        if not stream.events:
            choice["delta"]["role"] = "assistant"
    else:
        choice["text"] = text
        choice["logprobs"] = None
    choice["finish_reason"] = stream.read_finish_reason() if is_last else None
    kind = "chat.completion.chunk" if stream.is_chat else "text_completion"
    event: dict[str, Any] = {
        "stream": stream.id,
        "seq": len(stream.events),
        "tokens": end - stream.emitted,
        "id": stream.id,
        "object": kind,
        "created": int(time.time()),
        "model": stream.model,
        "choices": [choice],
    }
    return b"data: " + msgspec.json.encode(event) + b"\n\n"
