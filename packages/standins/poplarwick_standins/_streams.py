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
    """Lifecycle states of a stream."""

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
        id: Id, chosen by the client.
        epoch: Epoch (fencing token) that the stream was started with.
        priority: Streams of higher priority are processed first.
        digest: Digest of the prompt.
        prompt_tokens: Length of the prompt.
        max_tokens: Length of the output.
        has_limit: Whether the request set the output length.
        is_chat: Whether the stream is a chat completion.
        model: Model named in the request.
        cached_tokens: Prompt tokens found in the prefix cache.
        prefixes: Prefixes to cache when the prefill is complete.
        state: Current state.
        prefilled: Prompt tokens prefilled so far.
        progress: Tokens decoded so far, with fractions.
        emitted: Tokens contained in events so far.
        events: Encoded events; the index is the sequence number.
        ended_at_s: Monotonic time of the end.
        wake: Set on the next change, and then replaced by a new event.
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
        """KV-cache memory reserved for the stream."""
        return self.prompt_tokens + self.max_tokens

    @property
    def is_running(self) -> bool:
        """Whether the stream has not ended and holds memory."""
        return self.state in RUNNING_STATES

    def notify(self) -> None:
        """Wakes all tasks that wait for a change."""
        self.wake.set()
        self.wake = asyncio.Event()

    def emit(self, end: int) -> None:
        """Appends an event with the tokens up to `end`, exclusive."""
        is_last = end >= self.max_tokens
        self.events.append(_encode_event(self, end, is_last))
        self.emitted = end

    def read_finish_reason(self) -> str:
        """Returns the finish reason in the published form."""
        return "length" if self.has_limit else "stop"

    def read_usage(self) -> dict[str, int]:
        """Returns the token counts in the published form."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.emitted,
            "total_tokens": self.prompt_tokens + self.emitted,
        }


def encode_response(stream: Stream) -> bytes:
    """Returns the non-streamed response of a finished stream, as JSON."""
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
