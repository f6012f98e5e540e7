"""Settings and injected faults of the stand-in engine."""

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
    """Capacity and behaviour of one engine.

    Rates are per second of engine time and durations are in engine time,
    except `tick_s` and `retention_s`, which are in real time.

    Attributes:
        models: Models served; empty means any.
        time_scale: Seconds of engine time per second of real time.
        memory_tokens: KV-cache capacity.
        max_batch: Maximum number of streams in the batch; others are queued.
        prefill_tokens_per_s: Prefill rate of the whole engine.
        decode_tokens_per_s: Decode rate of a stream that runs alone.
        decode_slowdown: Relative increase of the time per token for each
            additional decoding stream.
        prefill_decode_share: Fraction of the decode rate that remains while
            the engine also prefills.
        max_event_tokens: Maximum number of tokens per event.
        default_max_tokens: Output length if the request sets no limit.
        tick_s: Interval between two simulation steps.
        starts_cold: Whether the engine is cold when its process starts.
        cold_concurrent: Requests that a cold engine can process at once.
        cold_tokens: Prompt tokens that a cold engine can process at once.
        cold_speed: Fraction of the rates that a cold engine reaches.
        warm_requests: Completed requests after which the engine is warm.
        restart_s: Duration of a restart, during which requests are refused.
        checks_epochs: Whether calls with an outdated epoch (fencing token) are
            refused.
        report_lag_s: Age of the load report.
        retention_s: Time for which ended streams can be resumed.
        cache_tokens: Prefix-cache capacity.
        cache_event_lag_s: Delay of prefix-cache events.
        cache_event_gap: Every n-th prefix-cache event is lost; 0 loses none.
        execution_log: File to which the execution log is appended.
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
    """Faults that a test injects; 0 disables a fault.

    Attributes:
        duplicate_every: Every n-th event is sent twice.
        late_every: Every n-th event is followed by a duplicate of the event
            before it.
        missing_every: Every n-th event is dropped.
        crossed_every: Every n-th event is preceded by an event of another
            stream.
        cut_after_events: Number of events after which the connection is
            closed.
        cuts: Number of responses that are cut off; 0 means all.
        refuse: Whether new requests are refused with status 500.
    """

    duplicate_every: Count = 0
    late_every: Count = 0
    missing_every: Count = 0
    crossed_every: Count = 0
    cut_after_events: Count = 0
    cuts: Count = 0
    refuse: bool = False


def read_settings(path: str | None) -> EngineSettings:
    """Reads a settings file.

    Args:
        path: Path of the file; None selects the defaults.

    Raises:
        errors.DocumentError: The file cannot be read or is invalid.
    """
    if path is None:
        return EngineSettings()
    return jsonc.read_file(pathlib.Path(path), EngineSettings)


def replace_time_scale(
    settings: EngineSettings, time_scale: float
) -> EngineSettings:
    """Returns a copy of the settings with a different time scale."""
    return msgspec.structs.replace(settings, time_scale=time_scale)
