"""Stand-in for a model engine that reads prompts between the tokens of others.

All requests of an engine share its passes: in each pass every writer makes one
event, and waiting prompts are read up to a limit. Writers are silent while long
prompts are read, although nothing is wrong with their engine.
"""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Mapping
from typing import Any

from poplarwick_standins import platform_documents as documents
from poplarwick_standins import platform_replica

SECONDS_PER_PAIR = documents.ENGINE["pairs_per_m"] / 1_000 / 1_000_000
"""Time for a pair of a token and an earlier one (`pairs_per_m`)."""


@dataclasses.dataclass(eq=False, slots=True)
class _Prompt:
    """A prompt that is being read.

    Attributes:
        tokens: Its length.
        read_tokens: How much of it has been read.
    """

    tokens: int
    read_tokens: int = 0


class PassEngine(platform_replica.Replica):
    """An engine that works in passes; helpers read even parts of a prompt.

    Attributes:
        step_s: Duration of a token step.
        stride: Token steps in a pass that has writers; an event holds as many
            tokens.
        chunk: Most tokens that are read in a token step.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.step_s = 0.00131
        self.stride = int(documents.ENGINE["stride"])
        self.chunk = int(documents.ENGINE["chunk"])
        self._prompts: list[_Prompt] = []
        self._writers = 0
        self._pass_ended = asyncio.Condition()
        self._passes: asyncio.Task[None] | None = None

    async def __aexit__(self, *details: Any) -> None:
        await super().__aexit__(*details)
        if self._passes is not None:
            self._passes.cancel()

    async def prepare_events(
        self, prompt_tokens: int, headers: Mapping[str, str]
    ) -> None:
        """Reads the prompt, with the helpers that the headers name."""
        engines: list[PassEngine] = [self]
        for address, _ in platform_replica.read_helpers(headers):
            peer = self._peers.get(address)
            if isinstance(peer, PassEngine) and peer not in engines:
                engines.append(peer)
        part = -(-prompt_tokens // len(engines))
        async with asyncio.TaskGroup() as group:
            for engine in engines:
                group.create_task(engine.read(part))

    async def read(self, tokens: int) -> None:
        """Reads a prompt, or a part of one, in the engine's passes."""
        prompt = _Prompt(tokens)
        self._prompts.append(prompt)
        self._ensure_passes()
        try:
            while prompt.read_tokens < prompt.tokens:
                await self._wait_for_pass()
        finally:
            self._prompts.remove(prompt)

    async def wait_for_event(self) -> None:
        """Waits for the pass that makes the next event of a stream."""
        self._writers += 1
        self._ensure_passes()
        try:
            await self._wait_for_pass()
        finally:
            self._writers -= 1

    async def _wait_for_pass(self) -> None:
        async with self._pass_ended:
            await self._pass_ended.wait()

    def _ensure_passes(self) -> None:
        if self._passes is None or self._passes.done():
            self._passes = asyncio.create_task(self._run_passes())

    async def _run_passes(self) -> None:
        while self._prompts or self._writers:
            steps = self.stride if self._writers else 1
            await asyncio.sleep(steps * self.step_s + self._read(steps))
            async with self._pass_ended:
                self._pass_ended.notify_all()

    def _read(self, steps: int) -> float:
        """Reads waiting prompts for one pass and returns how long it takes."""
        left = steps * self.chunk
        duration_s = 0.0
        for prompt in self._prompts:
            tokens = min(left, prompt.tokens - prompt.read_tokens)
            pairs = tokens * (prompt.read_tokens + tokens / 2)
            duration_s += tokens / platform_replica.PREFILL_TOKENS_PER_S
            duration_s += pairs * SECONDS_PER_PAIR
            prompt.read_tokens += tokens
            left -= tokens
        return duration_s
