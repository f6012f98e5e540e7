"""Continuous batching of the stand-in engine.

A fluid model: between two steps the elapsed engine time is spent on prefill,
by priority and then in order of arrival, and on decoding, which all streams
past their prefill share in.
"""

from __future__ import annotations

import asyncio
import collections
import secrets
import time
from typing import Any

from poplarwick_standins import _execution_log
from poplarwick_standins import _prefix_cache
from poplarwick_standins import _streams
from poplarwick_standins import engine_settings

RESTART_ID_BYTES = 6
REPORT_PERIOD_S = 0.05


class OverloadedError(Exception):
    """The engine has no memory left for a request."""


class ColdOverloadError(Exception):
    """A cold engine fell over, or is restarting after it did."""


class Batch:
    """Streams of one engine and the memory that they hold.

    Attributes:
        settings: Capacity of the engine.
        restart_id: Changes whenever the engine turns cold.
        epoch: Highest fencing number seen.
        streams: Running streams, and finished ones that can be resumed.
        log: What the engine executed.
        cache: Prefix cache.
    """

    def __init__(self, settings: engine_settings.EngineSettings) -> None:
        self.settings = settings
        self.restart_id = secrets.token_hex(RESTART_ID_BYTES)
        self.epoch = 0
        self.streams: dict[str, _streams.Stream] = {}
        self.log = _execution_log.ExecutionLog(settings.execution_log)
        self.cache = _prefix_cache.PrefixCache(settings)
        self._running: list[_streams.Stream] = []
        self._work = asyncio.Event()
        self._completed = 0 if settings.starts_cold else settings.warm_requests
        self._down_until_s = 0.0
        self._reports: collections.deque[dict[str, Any]] = collections.deque()
        self._prefilled_tokens = 0.0

    @property
    def is_cold(self) -> bool:
        """Whether the engine carries only part of its load."""
        return self._completed < self.settings.warm_requests

    @property
    def memory_used_tokens(self) -> int:
        """KV cache memory held by streams."""
        return sum(stream.memory_tokens for stream in self._running)

    def start(self, stream: _streams.Stream) -> None:
        """Admits a stream.

        Raises:
            OverloadedError: There is no memory left.
            ColdOverloadError: The engine is cold and this was too much for it.
        """
        if time.monotonic() < self._down_until_s:
            raise ColdOverloadError
        if self.is_cold and not self._can_carry_cold(stream):
            self.log.append(
                "cold_overload", stream=stream.id, restart_id=self.restart_id
            )
            self.restart("overload")
            raise ColdOverloadError
        free = self.settings.memory_tokens - self.memory_used_tokens
        if stream.memory_tokens > free:
            self.log.append("overloaded", stream=stream.id)
            raise OverloadedError
        stream.cached_tokens = self.cache.find_cached_tokens(stream.prefixes)
        # The last token is always computed, as in published engines.
        stream.prefilled = min(stream.cached_tokens, stream.prompt_tokens - 1)
        self.streams[stream.id] = stream
        self._running.append(stream)
        self._log_stream("started", stream)
        self._work.set()

    def cancel(self, stream_id: str) -> str:
        """Stops a stream and returns its state in the protocol's words."""
        stream = self.streams.get(stream_id)
        if stream is None:
            return "unknown"
        if stream.is_running:
            self._end(stream, _streams.StreamState.CANCELLED)
        finished = stream.state is _streams.StreamState.FINISHED
        return "finished" if finished else "cancelled"

    def restart(self, reason: str = "unannounced") -> None:
        """Turns the engine cold at once; running streams are lost."""
        for stream in list(self._running):
            self._end(stream, _streams.StreamState.LOST)
        self.streams.clear()
        self.cache.clear()
        self._completed = 0
        self.restart_id = secrets.token_hex(RESTART_ID_BYTES)
        down_s = self.settings.restart_s / self.settings.time_scale
        self._down_until_s = time.monotonic() + down_s
        self.log.append("restarted", restart_id=self.restart_id, reason=reason)

    def read_report(self) -> dict[str, Any]:
        """Returns the load as it was some time ago."""
        if not self._reports:
            return self._measure(0.0)
        return self._reports[0]

    async def run(self) -> None:
        """Advances the streams until cancelled."""
        last_s = time.monotonic()
        while True:
            if not self._running:
                self._work.clear()
                await self._work.wait()
                last_s = time.monotonic()
            await asyncio.sleep(self.settings.tick_s)
            now_s = time.monotonic()
            self._advance((now_s - last_s) * self.settings.time_scale)
            last_s = now_s

    async def run_reports(self) -> None:
        """Takes load reports and drops old streams until cancelled."""
        lag_s = self.settings.report_lag_s / self.settings.time_scale
        kept = max(1, round(lag_s / REPORT_PERIOD_S))
        while True:
            await asyncio.sleep(REPORT_PERIOD_S)
            rate = self._prefilled_tokens / REPORT_PERIOD_S
            self._prefilled_tokens = 0.0
            self._reports.append(self._measure(rate / self.settings.time_scale))
            while len(self._reports) > kept:
                self._reports.popleft()
            self._forget_old_streams()

    def _measure(self, prefill_tokens_per_s: float) -> dict[str, Any]:
        running = self._running[: self.settings.max_batch]
        return {
            "as_of_s": time.time(),
            "restart_id": self.restart_id,
            "running": len(running),
            "waiting": len(self._running) - len(running),
            "memory_used_tokens": self.memory_used_tokens,
            "prefill_tokens_per_s": prefill_tokens_per_s,
        }

    def _forget_old_streams(self) -> None:
        oldest_s = time.monotonic() - self.settings.retention_s
        for stream in list(self.streams.values()):
            if not stream.is_running and stream.ended_at_s < oldest_s:
                del self.streams[stream.id]

    def _can_carry_cold(self, stream: _streams.Stream) -> bool:
        concurrent = self.settings.cold_concurrent + self._completed
        tokens = (
            self.settings.cold_tokens
            * concurrent
            // self.settings.cold_concurrent
        )
        held = sum(other.prompt_tokens for other in self._running)
        fits = held + stream.prompt_tokens <= tokens or not self._running
        return fits and len(self._running) < concurrent

    def _advance(self, elapsed_s: float) -> None:
        batch = self._pick_batch()
        speed = self.settings.cold_speed if self.is_cold else 1.0
        decoding = [s for s in batch if s.state is _streams.StreamState.DECODE]
        prefilling = [
            s for s in batch if s.state is not _streams.StreamState.DECODE
        ]
        self._prefill(prefilling, elapsed_s * speed)
        share = self.settings.prefill_decode_share if prefilling else 1.0
        slowdown = 1.0 + self.settings.decode_slowdown * (len(decoding) - 1)
        rate = self.settings.decode_tokens_per_s * share * speed / slowdown
        for stream in decoding:
            self._decode(stream, rate * elapsed_s)

    def _pick_batch(self) -> list[_streams.Stream]:
        if len(self._running) <= self.settings.max_batch:
            return list(self._running)
        # A stream that decodes keeps its place, as in published engines.
        ranked = sorted(
            self._running,
            key=lambda s: (
                s.state is not _streams.StreamState.DECODE,
                -s.priority,
            ),
        )
        return ranked[: self.settings.max_batch]

    def _prefill(
        self, streams: list[_streams.Stream], elapsed_s: float
    ) -> None:
        budget = self.settings.prefill_tokens_per_s * elapsed_s
        for stream in sorted(streams, key=lambda s: -s.priority):
            if budget <= 0:
                return
            stream.state = _streams.StreamState.PREFILL
            step = min(budget, stream.prompt_tokens - stream.prefilled)
            stream.prefilled += step
            self._prefilled_tokens += step
            budget -= step
            if stream.prefilled >= stream.prompt_tokens:
                self._end_prefill(stream)

    def _end_prefill(self, stream: _streams.Stream) -> None:
        self.cache.store(stream.prefixes)
        stream.state = _streams.StreamState.DECODE
        self._decode(stream, 1.0)

    def _decode(self, stream: _streams.Stream, tokens: float) -> None:
        stream.progress = min(stream.progress + tokens, stream.max_tokens)
        due = int(stream.progress)
        if due <= stream.emitted:
            return
        limit = self.settings.max_event_tokens
        while stream.emitted < due:
            stream.emit(min(due, stream.emitted + limit))
        if due >= stream.max_tokens:
            self._end(stream, _streams.StreamState.FINISHED)
        else:
            stream.notify()

    def _end(
        self, stream: _streams.Stream, state: _streams.StreamState
    ) -> None:
        stream.state = state
        stream.ended_at_s = time.monotonic()
        self._running.remove(stream)
        if state is _streams.StreamState.FINISHED:
            self._completed += 1
        self._log_stream(state.value, stream)
        stream.notify()

    def _log_stream(self, event: str, stream: _streams.Stream) -> None:
        self.log.append(
            event,
            stream=stream.id,
            epoch=stream.epoch,
            prompt_digest=stream.digest,
            prompt_tokens=stream.prompt_tokens,
            tokens=stream.emitted,
            restart_id=self.restart_id,
            memory_used_tokens=self.memory_used_tokens,
            running=len(self._running),
        )
