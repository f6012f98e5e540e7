"""Continuous batching of the stand-in engine.

A fluid model: in each simulation step, the elapsed engine time is spent on
prefill, in order of priority and then of arrival, and at the same time on
decode, which advances all streams that have completed their prefill.
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
    """The engine has too little free memory for a request."""


class ColdOverloadError(Exception):
    """A cold engine was overloaded and is restarting."""


class Batch:
    """Streams of one engine and their memory.

    Args:
        settings: Capacity of the engine.

    Attributes:
        settings: Capacity of the engine.
        restart_id: Changes on every restart.
        epoch: Highest epoch (fencing token) received.
        streams: Running streams, and ended streams that can be resumed.
        log: Execution log.
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
        self._has_work = asyncio.Event()
        self._completed = 0 if settings.starts_cold else settings.warm_requests
        self._restarting_until_s = 0.0
        self._reports: collections.deque[dict[str, Any]] = collections.deque()
        self._prefilled_tokens = 0.0

    @property
    def is_cold(self) -> bool:
        """Whether the engine is cold and thus has a reduced capacity."""
        return self._completed < self.settings.warm_requests

    @property
    def memory_used_tokens(self) -> int:
        """KV-cache memory reserved for running streams."""
        return sum(stream.memory_tokens for stream in self._running)

    def start(self, stream: _streams.Stream) -> None:
        """Admits a stream.

        Raises:
            OverloadedError: There is too little free memory.
            ColdOverloadError: The engine is cold and the stream exceeds its
                capacity, or the engine is restarting.
        """
        if time.monotonic() < self._restarting_until_s:
            raise ColdOverloadError
        if self.is_cold and not self._can_admit_cold(stream):
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
        # The last prompt token is always computed, as in published engines.
        stream.prefilled = min(stream.cached_tokens, stream.prompt_tokens - 1)
        self.streams[stream.id] = stream
        self._running.append(stream)
        self._log_stream("started", stream)
        self._has_work.set()

    def cancel(self, stream_id: str) -> str:
        """Cancels a stream.

        Returns:
            State of the stream as the protocol names it: `unknown`,
            `finished` or `cancelled`.
        """
        stream = self.streams.get(stream_id)
        if stream is None:
            return "unknown"
        if stream.is_running:
            self._end(stream, _streams.StreamState.CANCELLED)
        finished = stream.state is _streams.StreamState.FINISHED
        return "finished" if finished else "cancelled"

    def restart(self, reason: str = "unannounced") -> None:
        """Restarts the engine: running streams are lost, and it is cold."""
        for stream in list(self._running):
            self._end(stream, _streams.StreamState.LOST)
        self.streams.clear()
        self.cache.clear()
        self._completed = 0
        self.restart_id = secrets.token_hex(RESTART_ID_BYTES)
        restart_s = self.settings.restart_s / self.settings.time_scale
        self._restarting_until_s = time.monotonic() + restart_s
        self.log.append("restarted", restart_id=self.restart_id, reason=reason)

    def read_report(self) -> dict[str, Any]:
        """Returns the load as it was `report_lag_s` ago."""
        if not self._reports:
            return self._make_report(0.0)
        return self._reports[0]

    async def run(self) -> None:
        """Runs the simulation steps until cancelled."""
        last_s = time.monotonic()
        while True:
            if not self._running:
                self._has_work.clear()
                await self._has_work.wait()
                last_s = time.monotonic()
            await asyncio.sleep(self.settings.tick_s)
            now_s = time.monotonic()
            self._advance((now_s - last_s) * self.settings.time_scale)
            last_s = now_s

    async def run_reports(self) -> None:
        """Records load reports and drops expired streams until cancelled."""
        lag_s = self.settings.report_lag_s / self.settings.time_scale
        report_count = max(1, round(lag_s / REPORT_PERIOD_S))
        while True:
            await asyncio.sleep(REPORT_PERIOD_S)
            rate = self._prefilled_tokens / REPORT_PERIOD_S
            self._prefilled_tokens = 0.0
            self._reports.append(
                self._make_report(rate / self.settings.time_scale)
            )
            while len(self._reports) > report_count:
                self._reports.popleft()
            self._drop_expired_streams()

    def _make_report(self, prefill_tokens_per_s: float) -> dict[str, Any]:
        running = self._running[: self.settings.max_batch]
        return {
            "as_of_s": time.time(),
            "restart_id": self.restart_id,
            "running": len(running),
            "waiting": len(self._running) - len(running),
            "memory_used_tokens": self.memory_used_tokens,
            "prefill_tokens_per_s": prefill_tokens_per_s,
        }

    def _drop_expired_streams(self) -> None:
        expired_before_s = time.monotonic() - self.settings.retention_s
        for stream in list(self.streams.values()):
            if not stream.is_running and stream.ended_at_s < expired_before_s:
                del self.streams[stream.id]

    def _can_admit_cold(self, stream: _streams.Stream) -> bool:
        concurrent = self.settings.cold_concurrent + self._completed
        tokens = (
            self.settings.cold_tokens
            * concurrent
            // self.settings.cold_concurrent
        )
        running_tokens = sum(other.prompt_tokens for other in self._running)
        fits = (
            running_tokens + stream.prompt_tokens <= tokens or not self._running
        )
        return fits and len(self._running) < concurrent

    def _advance(self, elapsed_s: float) -> None:
        batch = self._select_batch()
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

    def _select_batch(self) -> list[_streams.Stream]:
        if len(self._running) <= self.settings.max_batch:
            return list(self._running)
        # A decoding stream keeps its batch slot, as in published engines.
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
