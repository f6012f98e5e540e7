"""Schedule of faults and planned operations, generated from a seed."""

from __future__ import annotations

import dataclasses
import enum
import random

FAULT_INTERVAL_MEAN_S = 1.2
"""Mean time from one fault to the next; faults can overlap."""

FAULT_DURATION_S = (0.4, 3.0)
"""Shortest and longest fault: below and above the placer's lease time."""

RECOVERY_SHARE = 0.2
"""Share of the load at its end without new faults, for recovery."""

ALL_KILL_AT_SHARE = 0.6
"""Share of the load after which all instances are killed."""

SERIES_PROBABILITY = 0.25
"""Probability that a fault is followed by others of its kind."""

SERIES_MAX = 3
"""Maximum number of faults in such a series."""


class Kind(enum.Enum):
    """Kind of a fault or planned operation; the value appears in reports."""

    INSTANCE_KILL = "instance_kill"
    INSTANCE_PAUSE = "instance_pause"
    ALL_KILL = "all_kill"
    STORE_DOWN = "store_down"
    STORE_SLOW = "store_slow"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    STORE_ACTS_LATE = "store_acts_late"
    STORE_FORGETS = "store_forgets"
    STORE_REFUSES_ONE = "store_refuses_one"
    STORE_SILENT_TO_ONE = "store_silent_to_one"
    STORE_UNHEARD_BY_ONE = "store_unheard_by_one"
    ENDPOINT_CRASH = "endpoint_crash"
    ENDPOINT_SILENT = "endpoint_silent"
    ENDPOINT_SPOILS = "endpoint_spoils"
    ENDPOINT_COLD = "endpoint_cold"
    LINK_DELAY = "link_delay"
    LINK_RESET = "link_reset"
    LINK_STALL = "link_stall"
    LINK_ONE_WAY = "link_one_way"
    INSTANCE_STOP = "instance_stop"
    SETTINGS_CHANGE = "settings_change"
    CONFIGURATION_CHANGE = "configuration_change"
    KEY_TAKEN_AWAY = "key_taken_away"
    DOMAIN_OUT = "domain_out"
    ENDPOINT_LEAVES = "endpoint_leaves"
    STORE_RESTORED = "store_restored"
    CRASHING_PART = "crashing_part"
    CRASHING_REQUEST = "crashing_request"
    INSTANCES_CUT_OFF = "instances_cut_off"
    ENDPOINT_LIMITED = "endpoint_limited"
    CALLERS_READ_SLOWLY = "callers_read_slowly"

    @property
    def is_planned(self) -> bool:
        """Whether it is planned, so that it must interrupt no request."""
        return self in _PLANNED_KINDS


_PLANNED_KINDS = frozenset(
    {
        Kind.INSTANCE_STOP,
        Kind.SETTINGS_CHANGE,
        Kind.CONFIGURATION_CHANGE,
        Kind.KEY_TAKEN_AWAY,
        Kind.DOMAIN_OUT,
        Kind.ENDPOINT_LEAVES,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault or planned operation.

    Attributes:
        kind: Kind of the fault.
        at_s: Start time in seconds after the start of the load.
        duration_s: Duration in seconds.
        target: Random number that selects the affected component.
    """

    kind: Kind
    at_s: float
    duration_s: float
    target: int


def generate_schedule(
    seed: int, duration_s: float, *, planned_only: bool = False
) -> list[Fault]:
    """Returns a schedule of faults that is determined by its arguments.

    Args:
        seed: Seed of the random number generator.
        duration_s: Duration of the load in seconds.
        planned_only: Whether to schedule only planned operations, during which
            no request may be interrupted.

    Returns:
        The faults in the order of their start times.
    """
    rng = random.Random(seed)
    kinds = [
        kind
        for kind in Kind
        if kind is not Kind.ALL_KILL and (kind.is_planned or not planned_only)
    ]
    remaining_kinds: list[Kind] = []
    faults: list[Fault] = []
    at_s = rng.expovariate(1 / FAULT_INTERVAL_MEAN_S)
    while at_s < duration_s * (1 - RECOVERY_SHARE):
        if not remaining_kinds:
            remaining_kinds = rng.sample(kinds, len(kinds))
        kind = remaining_kinds.pop()
        count = 1
        if rng.random() < SERIES_PROBABILITY:
            count = rng.randint(2, SERIES_MAX)
        for number in range(count):
            fault_duration_s = rng.uniform(*FAULT_DURATION_S)
            fault_at_s = at_s + number * FAULT_INTERVAL_MEAN_S / 2
            target = rng.randrange(1_000_000)
            faults.append(Fault(kind, fault_at_s, fault_duration_s, target))
        at_s += rng.expovariate(1 / FAULT_INTERVAL_MEAN_S)
    if not planned_only:
        at_s = duration_s * ALL_KILL_AT_SHARE
        faults.append(Fault(Kind.ALL_KILL, at_s, 0.0, 0))
    return sorted(faults, key=lambda fault: fault.at_s)
