"""Chooses the long prompts to defer when not all of them can be on time.

Load pattern: a burst of very long prompts whose prefill takes the engines
longer than their time limits allow, so that serving all in due-time order makes
most of them late. As many prompts as possible are kept on time. Those of the
lowest priority are deferred first, then those of organisations that use more
than their share, then those with the least weight for the engines' time. The
rule is the Moore-Hodgson algorithm for the fewest late jobs on one machine (J.
M. Moore, Management Science, 1968), extended by priorities. All engines
together are the machine, because they prefill one long prompt after the other.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Hashable
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A queued long prompt.

    Attributes:
        key: Key of the request.
        due_s: Monotonic time by which the prefill must end.
        duration_s: Time for which all engines prefill the prompt.
        priority: Priority of the request; 0 is the highest.
        weight: Weight of the request if it is on time.
        excess: By how much its organisation exceeds its share.
    """

    key: Hashable
    due_s: float
    duration_s: float
    priority: int
    weight: float
    excess: float = 0.0


def choose_deferred(jobs: Sequence[Job], free_at_s: float) -> set[Hashable]:
    """Returns the keys of the prompts to defer.

    Args:
        jobs: Queued prompts.
        free_at_s: Monotonic time at which the engines can begin.
    """
    accepted: list[Job] = []
    deferred: set[Hashable] = set()
    end_s = free_at_s
    for job in sorted(jobs, key=lambda job: job.due_s):
        accepted.append(job)
        end_s += job.duration_s
        while accepted and end_s > job.due_s:
            deferred_job = max(accepted, key=_calculate_deferral_key)
            accepted.remove(deferred_job)
            deferred.add(deferred_job.key)
            end_s -= deferred_job.duration_s
    return deferred


def _calculate_deferral_key(job: Job) -> tuple[int, float, float]:
    return (
        job.priority,
        job.excess,
        job.duration_s / max(job.weight, 1e-9),
    )
