"""Chooses which long prompts go last when not all can be on time.

Load pattern: a burst of giant prompts whose reading takes the engines longer
than their aims allow, so that serving all by their due times makes most of
them late. As many as possible are kept on time; what must yield is of the
lowest rank, then gives least for the engines' time. The rule is Moore's
algorithm for the fewest late jobs on one machine (Management Science, 1968),
with ranks: the engines together are the machine, as they read one long prompt
after the other.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Hashable
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A long prompt that waits.

    Attributes:
        key: Tells it from the others.
        due_s: Monotonic time by which its reading must end.
        takes_s: Time for which all engines read it.
        rank: Its priority; 0 is the highest.
        value: What it gives if it is on time.
    """

    key: Hashable
    due_s: float
    takes_s: float
    rank: int
    value: float


def choose_last(jobs: Sequence[Job], free_at_s: float) -> set[Hashable]:
    """Returns the keys of those that go last.

    Args:
        jobs: Prompts that wait.
        free_at_s: Monotonic time at which the engines can begin.
    """
    kept: list[Job] = []
    last: set[Hashable] = set()
    ends_s = free_at_s
    for job in sorted(jobs, key=lambda job: job.due_s):
        kept.append(job)
        ends_s += job.takes_s
        while kept and ends_s > job.due_s:
            yielding = max(kept, key=_weigh)
            kept.remove(yielding)
            last.add(yielding.key)
            ends_s -= yielding.takes_s
    return last


def _weigh(job: Job) -> tuple[int, float]:
    return (job.rank, job.takes_s / max(job.value, 1e-9))
