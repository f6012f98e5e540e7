"""Settings and faults of the stand-in engine."""

from __future__ import annotations

import pathlib
from typing import Annotated

import msgspec

from poplarwick_core import jsonc

Count = Annotated[int, msgspec.Meta(ge=0)]
Positive = Annotated[int, msgspec.Meta(gt=0)]
Rate = Annotated[float, msgspec.Meta(gt=0)]
Share = Annotated[float, msgspec.Meta(gt=0, le=1)]
Seconds = Annotated[float, msgspec.Meta(ge=0)]


class EngineSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Capacity and behaviour of one engine; times are in engine time.

    Attributes:
        models: Models served; empty means any.
        time_scale: How many seconds of engine time pass in one second.
        memory_tokens: KV cache memory.
        max_batch: Streams that run at once; more wait.
        prefill_tokens_per_s: Prefill rate of the whole engine.
        decode_tokens_per_s: Decode rate of a stream that runs alone.
        decode_slowdown: Relative loss of rate for each further stream.
        prefill_decode_share: Share of the decode rate left during prefill.
        max_event_tokens: Tokens that one event carries at most.
        default_max_tokens: Output where the request names no limit.
        tick_s: Shortest pause between two steps, in real time.
        starts_cold: Whether the engine is cold when its process starts.
        cold_concurrent: Requests in progress that a cold engine carries.
        cold_tokens: Prompt tokens in progress that a cold engine carries.
        cold_speed: Share of the rates that a cold engine reaches.
        warm_requests: Completed requests after which the engine is warm.
        restart_s: Time for which a restarting engine refuses requests.
        checks_epochs: Whether orders with an old fencing number are refused.
        report_lag_s: Age of the load report.
        retention_s: Time for which finished streams can be resumed.
        cache_tokens: Prefix cache memory.
        cache_event_lag_s: Delay of cache events.
        cache_event_gap: Every n-th cache event is lost; 0 loses none.
        execution_log: File that the execution log is appended to.
    """

    models: tuple[str, ...] = ()
    time_scale: Rate = 1.0
    memory_tokens: Positive = 400_000
    max_batch: Positive = 64
    prefill_tokens_per_s: Rate = 20_000.0
    decode_tokens_per_s: Rate = 50.0
    decode_slowdown: Annotated[float, msgspec.Meta(ge=0)] = 0.01
    prefill_decode_share: Share = 0.7
    max_event_tokens: Positive = 1_024
    default_max_tokens: Positive = 64
    tick_s: Rate = 0.004
    starts_cold: bool = True
    cold_concurrent: Positive = 2
    cold_tokens: Positive = 16_384
    cold_speed: Share = 0.5
    warm_requests: Positive = 16
    restart_s: Seconds = 0.0
    checks_epochs: bool = False
    report_lag_s: Seconds = 0.5
    retention_s: Seconds = 60.0
    cache_tokens: Positive = 400_000
    cache_event_lag_s: Seconds = 0.2
    cache_event_gap: Count = 0
    execution_log: str | None = None


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults that a test switches on; 0 switches a fault off.

    Attributes:
        duplicate_every: Every n-th event is sent twice.
        late_every: Every n-th event is sent again after the one behind it.
        missing_every: Every n-th event is left out.
        crossed_every: An event of another stream precedes every n-th event.
        cut_after_events: Answers break off after this many events.
        cuts: How many answers break off; 0 means all.
        refuse: Whether new work is refused with status 500.
    """

    duplicate_every: Count = 0
    late_every: Count = 0
    missing_every: Count = 0
    crossed_every: Count = 0
    cut_after_events: Count = 0
    cuts: Count = 0
    refuse: bool = False


def read_settings(path: str | None) -> EngineSettings:
    """Reads a settings file; without one, returns the defaults.

    Raises:
        errors.DocumentError: The file cannot be read or is not valid.
    """
    if path is None:
        return EngineSettings()
    return jsonc.read_file(pathlib.Path(path), EngineSettings)


def replace_time_scale(
    settings: EngineSettings, time_scale: float
) -> EngineSettings:
    """Returns the settings with another time scale."""
    return msgspec.structs.replace(settings, time_scale=time_scale)
