"""Messages of the endpoint control protocol."""

from __future__ import annotations

import enum

import msgspec


class CancelState(enum.Enum):
    """What a cancelled stream was."""

    CANCELLED = "cancelled"
    FINISHED = "finished"
    UNKNOWN = "unknown"


class CacheOperation(enum.Enum):
    """What happened to a cached prompt prefix."""

    STORED = "stored"
    EVICTED = "evicted"
    CLEARED = "cleared"


class OrderKind(enum.Enum):
    """Orders that change what an engine runs."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    SET_VERSION = "set_version"
    SET_ROLE = "set_role"


class StreamState(msgspec.Struct, frozen=True):
    """One stream at an engine.

    Attributes:
        stream: Identity of the stream.
        epoch: Fencing number with which it was started.
        state: `finished` or a state in which it holds memory.
        next_seq: Sequence number of the next event.
        memory_tokens: KV cache held, in tokens.
    """

    stream: str
    epoch: int = 0
    state: str = "running"
    next_seq: int = 0
    memory_tokens: int = 0

    @property
    def is_finished(self) -> bool:
        """Whether the stream runs no longer and holds no memory."""
        return self.state in ("finished", "cancelled", "failed")


class Handle(msgspec.Struct, frozen=True):
    """KV cache exported for another engine.

    Attributes:
        handle: Identity of the exported cache.
        tokens: Size in tokens.
        expires_s: Seconds until the engine frees it by itself.
    """

    handle: str
    tokens: int = 0
    expires_s: float = 0.0


class EngineState(msgspec.Struct, frozen=True):
    """Exact state of an engine at the time of the call.

    Attributes:
        restart_id: Changes whenever the engine restarts and so turns cold.
        epoch: Highest fencing number seen.
        memory_tokens: Size of the KV cache, in tokens.
        memory_used_tokens: KV cache in use, in tokens.
        streams: Streams that run or ended lately.
        handles: Exported caches that still hold memory.
        role: Role of the engine.
    """

    restart_id: str
    epoch: int = 0
    memory_tokens: int = 0
    memory_used_tokens: int = 0
    streams: tuple[StreamState, ...] = ()
    handles: tuple[Handle | str, ...] = ()
    role: str = ""


class EngineReport(msgspec.Struct, frozen=True):
    """Load of an engine as of a moment in the past.

    Attributes:
        as_of_s: Time of the measurement on the engine's clock.
        restart_id: Restart identity at that time.
        running: Streams that ran.
        waiting: Streams that waited inside the engine.
        memory_used_tokens: KV cache in use, in tokens.
        prefill_tokens_per_s: Prefill rate seen by the engine.
    """

    as_of_s: float
    restart_id: str
    running: int = 0
    waiting: int = 0
    memory_used_tokens: int = 0
    prefill_tokens_per_s: float = 0.0


class CacheEvent(msgspec.Struct, frozen=True):
    """One change of an engine's prefix cache.

    Attributes:
        seq: Number of the event; a jump means that events were lost.
        op: What happened.
        digest: Digest of the prompt prefix; empty for `cleared`.
    """

    seq: int
    op: CacheOperation
    digest: int | str = ""


class CacheEvents(msgspec.Struct, frozen=True):
    """Changes of an engine's prefix cache after a sequence number.

    Attributes:
        restart_id: Restart identity of the engine.
        events: Changes in the order of their numbers.
    """

    restart_id: str
    events: tuple[CacheEvent, ...] = ()


class CancelAnswer(msgspec.Struct, frozen=True):
    """Answer to a cancel order.

    Attributes:
        state: What the stream was before.
    """

    state: CancelState
