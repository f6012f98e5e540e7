"""What engines report about themselves."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EngineWork:
    """What an engine reports about its work.

    Attributes:
        requests: Requests that run or are queued.
        memory_tokens: Memory that these and reservations hold.
    """

    requests: int
    memory_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """Report of an engine.

    Attributes:
        slowdown: Slowdown factor; 1 is the speed of its profile.
        work: Its work; None if it does not say.
    """

    slowdown: float
    work: EngineWork | None = None
