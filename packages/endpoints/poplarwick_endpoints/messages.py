"""Messages of the endpoint control protocol."""

from __future__ import annotations

import enum

import msgspec


class CancelState(enum.Enum):
    """State of a stream when it was cancelled."""

    CANCELLED = "cancelled"
    FINISHED = "finished"
    UNKNOWN = "unknown"


class CacheOperation(enum.Enum):
    """Kind of change of the prefix cache."""

    STORED = "stored"
    EVICTED = "evicted"
    CLEARED = "cleared"


class OrderKind(enum.Enum):
    """Kinds of commands that change what an engine runs."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    SET_VERSION = "set_version"
    SET_ROLE = "set_role"


class StreamState(msgspec.Struct, frozen=True):
    """State of a stream at an engine.

    Attributes:
        stream: Identity of the stream.
        epoch: Fencing token with which the stream was started.
        state: `finished`, `cancelled` or `failed`, or a state in which the
            stream uses memory.
        next_seq: Sequence number of the next event.
        memory_tokens: KV-cache memory that the stream uses, in tokens.
    """

    stream: str
    epoch: int = 0
    state: str = "running"
    next_seq: int = 0
    memory_tokens: int = 0

    @property
    def is_finished(self) -> bool:
        """Whether the stream has ended and uses no memory."""
        return self.state in ("finished", "cancelled", "failed")


class Handle(msgspec.Struct, frozen=True):
    """A KV cache that is exported for another engine.

    Attributes:
        handle: Identity of the exported cache.
        tokens: Size in tokens.
        expires_s: Seconds until the engine frees the cache.
    """

    handle: str
    tokens: int = 0
    expires_s: float = 0.0


class EngineState(msgspec.Struct, frozen=True):
    """State of an engine at the time of the call.

    Attributes:
        restart_id: Identity of the current run of the engine; a new value
            means that the engine restarted and is cold.
        epoch: Highest fencing token received.
        memory_tokens: Capacity of the KV cache, in tokens.
        memory_used_tokens: KV-cache memory in use, in tokens.
        streams: Streams that are running or ended recently.
        handles: Exported caches that still use memory.
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
    """Load of an engine at a time in the past.

    Attributes:
        as_of_s: Time of the measurement on the clock of the engine, in
            seconds.
        restart_id: `EngineState.restart_id` at that time.
        running: Number of running streams.
        waiting: Number of streams queued inside the engine.
        memory_used_tokens: KV-cache memory in use, in tokens.
        prefill_tokens_per_s: Measured prefill rate.
    """

    as_of_s: float
    restart_id: str
    running: int = 0
    waiting: int = 0
    memory_used_tokens: int = 0
    prefill_tokens_per_s: float = 0.0


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of the prefix cache of an engine.

    Attributes:
        seq: Sequence number of the event; a gap means that events were lost.
        op: Kind of change.
        digest: Digest of the prompt prefix; empty for `cleared`.
    """

    seq: int
    op: CacheOperation
    digest: int | str = ""


class CacheEvents(msgspec.Struct, frozen=True):
    """Changes of the prefix cache after a sequence number.

    Attributes:
        restart_id: `EngineState.restart_id` of the engine.
        events: Changes in the order of their sequence numbers.
    """

    restart_id: str
    events: tuple[CacheEvent, ...] = ()


class CancelAnswer(msgspec.Struct, frozen=True):
    """Response to a cancel call.

    Attributes:
        state: State of the stream when it was cancelled.
    """

    state: CancelState
