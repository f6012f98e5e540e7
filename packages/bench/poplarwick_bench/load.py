"""Open-loop load: requests are sent when due, however slow answers are."""

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

LOST_ANSWER_PAUSE_S = 0.2
DEFAULT_PAUSE_S = 0.2

MakeCall = Callable[[workload.Arrival], caller.Call]


@dataclasses.dataclass(frozen=True, slots=True)
class RetryPolicy:
    """When callers send a call again.

    Attributes:
        never_gives_up: Whether retries go on past the call's own deadline,
            until the load ends.
        retries_unknown: Whether a call that may have run is sent again.
        pause_scale: Multiplies the pause that an answer asks for.
    """

    never_gives_up: bool = False
    retries_unknown: bool = True
    pause_scale: float = 1.0


class Load:
    """Sends arrivals to the addresses of a system in turn.

    Attributes:
        records: All attempts, in the order in which they ended.
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
        self.records: list[caller.Record] = []
        self.started_s = 0.0
        self._callers = itertools.cycle(
            [caller.Caller(session, address) for address in addresses]
        )
        self._make_call = make_call
        self._retry = retry or RetryPolicy()
        self._random = random.Random(seed)
        self._until_s = 0.0

    async def run(
        self, arrivals: Sequence[workload.Arrival], drain_s: float
    ) -> list[caller.Record]:
        """Sends all arrivals and waits for their ends.

        Args:
            arrivals: Arrivals in the order of their times.
            drain_s: Time after the last arrival in which callers retry.

        Returns:
            All attempts.
        """
        self.started_s = time.monotonic()
        last_s = arrivals[-1].at_s if arrivals else 0.0
        self._until_s = self.started_s + last_s + drain_s
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
            pause_s = self._choose_pause(record)
            if pause_s is None:
                return
            again_s = time.monotonic() + pause_s
            if again_s > self._find_end(arrival, due_s):
                return
            del call
            await asyncio.sleep(pause_s)

    def _find_end(self, arrival: workload.Arrival, due_s: float) -> float:
        if self._retry.never_gives_up:
            return self._until_s
        return min(self._until_s, due_s + arrival.timeout_s)

    def _choose_pause(self, record: caller.Record) -> float | None:
        """Returns the pause before the next attempt; None means no more."""
        jitter = self._random.uniform(0.75, 1.25)
        match record.outcome:
            case outcome.Outcome.COMPLETE:
                return None
            case outcome.Outcome.NOT_RUN:
                if 400 <= record.status < 429 and record.status != 408:
                    return None
                asked_s = record.retry_after_s or DEFAULT_PAUSE_S
                return asked_s * self._retry.pause_scale * jitter
            case outcome.Outcome.FAILED:
                return LOST_ANSWER_PAUSE_S * jitter
            case outcome.Outcome.UNKNOWN if not self._retry.retries_unknown:
                return None
            case _:
                return LOST_ANSWER_PAUSE_S * jitter
