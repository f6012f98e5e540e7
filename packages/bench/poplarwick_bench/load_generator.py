"""Open-loop load: requests are sent when due, regardless of latency."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import random
import time
from collections.abc import Callable
from collections.abc import Sequence

import aiohttp

from poplarwick_bench import caller
from poplarwick_bench import workload
from poplarwick_core import outcome

NO_RESPONSE_BACKOFF_S = 0.2
DEFAULT_RETRY_AFTER_S = 0.2

MakeCall = Callable[[workload.Arrival], caller.Call]


@dataclasses.dataclass(frozen=True, slots=True)
class RetryPolicy:
    """When callers retry a call.

    Attributes:
        retries_past_deadline: Whether retries continue past the deadline of
            the call, until the load ends.
        retries_unknown: Whether a call that may have run is retried.
        backoff_scale: Factor applied to the Retry-After of a response.
    """

    retries_past_deadline: bool = False
    retries_unknown: bool = True
    backoff_scale: float = 1.0


class LoadGenerator:
    """Sends arrivals to the addresses of a system, round-robin.

    Attributes:
        records: All attempts, in the order of their ends.
        started_s: Monotonic time of the start.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        addresses: Sequence[str],
        make_call: MakeCall,
        *,
        retry: RetryPolicy | None = None,
        seed: int = 0,
    ) -> None:
        self.records: list[caller.AttemptRecord] = []
        self.started_s = 0.0
        self._callers = itertools.cycle(
            [caller.Caller(session, address) for address in addresses]
        )
        self._make_call = make_call
        self._retry = retry or RetryPolicy()
        self._rng = random.Random(seed)
        self._ends_at_s = 0.0

    async def run(
        self, arrivals: Sequence[workload.Arrival], drain_s: float
    ) -> list[caller.AttemptRecord]:
        """Sends all arrivals and waits until they have ended.

        Args:
            arrivals: Arrivals, ordered by time.
            drain_s: Time after the last arrival during which callers retry.

        Returns:
            All attempts.
        """
        self.started_s = time.monotonic()
        last_s = arrivals[-1].at_s if arrivals else 0.0
        self._ends_at_s = self.started_s + last_s + drain_s
        async with asyncio.TaskGroup() as group:
            for arrival in arrivals:
                due_s = self.started_s + arrival.at_s
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
                group.create_task(self._run_call(arrival, due_s))
        return self.records

    async def _run_call(self, arrival: workload.Arrival, due_s: float) -> None:
        while True:
            sender = next(self._callers)
            call = self._make_call(arrival)
            record = await sender.send(call, due_s)
            self.records.append(record)
            backoff_s = self._compute_backoff_s(record)
            if backoff_s is None:
                return
            retry_at_s = time.monotonic() + backoff_s
            if retry_at_s > self._compute_retry_deadline_s(arrival, due_s):
                return
            del call
            await asyncio.sleep(backoff_s)

    def _compute_retry_deadline_s(
        self, arrival: workload.Arrival, due_s: float
    ) -> float:
        if self._retry.retries_past_deadline:
            return self._ends_at_s
        return min(self._ends_at_s, due_s + arrival.timeout_s)

    def _compute_backoff_s(self, record: caller.AttemptRecord) -> float | None:
        """Returns the delay before the next attempt; None for no retry."""
        jitter = self._rng.uniform(0.75, 1.25)
        match record.outcome:
            case outcome.Outcome.COMPLETE:
                return None
            case outcome.Outcome.NOT_RUN:
                if 400 <= record.status < 429 and record.status != 408:
                    return None
                retry_after_s = record.retry_after_s or DEFAULT_RETRY_AFTER_S
                return retry_after_s * self._retry.backoff_scale * jitter
            case outcome.Outcome.FAILED:
                return NO_RESPONSE_BACKOFF_S * jitter
            case outcome.Outcome.UNKNOWN if not self._retry.retries_unknown:
                return None
            case _:
                return NO_RESPONSE_BACKOFF_S * jitter
