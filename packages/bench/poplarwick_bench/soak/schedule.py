"""Faults and planned work of a soak, drawn from a seed."""

from __future__ import annotations

import dataclasses
import enum
import random

PAUSE_MEAN_S = 1.2
"""Mean time from one fault to the next; they overlap."""

DURATIONS_S = (0.4, 3.0)
"""Shortest and longest fault; short of and over the lease of the placer."""

QUIET_SHARE = 0.2
"""Part of a run at its end that stays without faults, for recovery."""

ALL_KILL_SHARE = 0.6
"""Part of a run after which all instances are killed."""

SERIES_CHANCE = 0.25
"""Chance that a fault is followed by another one of its kind."""

SERIES_MOST = 3
"""Most faults in such a series."""


class Kind(enum.Enum):
    """What happens; the value is its name in reports."""

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

    @property
    def is_planned(self) -> bool:
        """Whether operators do it; nothing may be cut by it."""
        return self in _PLANNED


_PLANNED = frozenset(
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
    """One fault, or one piece of planned work.

    Attributes:
        kind: What happens.
        at_s: Seconds after the start of the load.
        lasts_s: How long it lasts.
        target: Number that chooses what it hits.
    """

    kind: Kind
    at_s: float
    lasts_s: float
    target: int


def draw_schedule(
    seed: int, duration_s: float, *, planned_only: bool = False
) -> list[Fault]:
    """Returns the faults of a run; the same seed gives the same ones.

    Args:
        seed: Seed.
        duration_s: Length of the load.
        planned_only: Whether only planned work is drawn, with nothing that
            excuses a cut request.
    """
    chance = random.Random(seed)
    kinds = [
        kind
        for kind in Kind
        if kind is not Kind.ALL_KILL and (kind.is_planned or not planned_only)
    ]
    pool: list[Kind] = []
    found: list[Fault] = []
    at_s = chance.expovariate(1 / PAUSE_MEAN_S)
    while at_s < duration_s * (1 - QUIET_SHARE):
        if not pool:
            pool = chance.sample(kinds, len(kinds))
        kind = pool.pop()
        count = 1
        if chance.random() < SERIES_CHANCE:
            count = chance.randint(2, SERIES_MOST)
        for number in range(count):
            lasts_s = chance.uniform(*DURATIONS_S)
            begins_s = at_s + number * PAUSE_MEAN_S / 2
            target = chance.randrange(1_000_000)
            found.append(Fault(kind, begins_s, lasts_s, target))
        at_s += chance.expovariate(1 / PAUSE_MEAN_S)
    if not planned_only:
        at_s = duration_s * ALL_KILL_SHARE
        found.append(Fault(Kind.ALL_KILL, at_s, 0.0, 0))
    return sorted(found, key=lambda fault: fault.at_s)
