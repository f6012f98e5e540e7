"""What a play does to instances and links besides the stops."""

from __future__ import annotations

import argparse
import dataclasses
import enum
import random

import cpu_shares
import standstills

BYTES_PER_MBIT = 125_000


class StoreFault(enum.Enum):
    """What the store does while an instance stops."""

    DOWN = "down"
    UNRESPONSIVE = "unresponsive"
    LOSES_ANSWERS = "loses_answers"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Conditions:
    """Conditions of a play; the defaults change nothing.

    Attributes:
        cpu_share: Smallest and largest share of a core of an instance.
        cpu_period_s: Period of these shares; a longer one makes each timer
            late.
        standstill: When instances stand still; None if they do not.
        ends_s: Times after SIGTERM at which answers end that the leaving
            instance has taken from 1.5 s before it on.
        silent_share: Share of these answers whose engines are silent until
            their end.
        link_delay_s: Delay of the links between clients and instances, one
            way.
        link_mbit: Slowest and fastest link between clients and an instance.
        link_buffer_bytes: Size of each buffer of these links.
        event_bytes: Size of an engine's event; 0 for events of a few bytes.
        slow_share: Share of connections whose callers read slowly.
        slow_bytes_per_s: Rate at which these read.
        together: Number of instances, the placer among them, that are stopped
            at once; 0 for stops in turn.
        same_domain: Whether all instances of the placer's failure domain are
            stopped at once instead.
        stagger_s: Longest time between the signals of such stops.
        kill_early_s: Time before the end of the grace period at which
            instances are killed.
        store_fault: What the store does from before SIGTERM to the exit.
    """

    cpu_share: tuple[float, float] | None = None
    cpu_period_s: float = cpu_shares.PERIOD_S
    standstill: standstills.Plan | None = None
    ends_s: tuple[float, ...] = ()
    silent_share: float = 0.0
    link_delay_s: float = 0.0
    link_mbit: tuple[float, float] | None = None
    link_buffer_bytes: int | None = None
    event_bytes: int = 0
    slow_share: float = 0.0
    slow_bytes_per_s: float = 50_000
    together: int = 0
    same_domain: bool = False
    stagger_s: float = 2.0
    kill_early_s: float = 0.0
    store_fault: StoreFault | None = None

    @property
    def has_links(self) -> bool:
        """Whether links lie between clients and instances."""
        return bool(self.link_delay_s or self.link_mbit)

    def draw_standstill(self, rng: random.Random) -> tuple[float, float]:
        """Returns the time before SIGTERM and the duration of a standstill."""
        return (0.0, 0.0) if not self.standstill else self.standstill.draw(rng)


def add_options(parser: argparse.ArgumentParser) -> None:
    """Adds the options that `read_options` reads."""
    parser.add_argument("--cpu-share", type=float, nargs=2)
    parser.add_argument(
        "--cpu-period-s", type=float, default=cpu_shares.PERIOD_S
    )
    parser.add_argument("--standstill-lead-s", type=float, nargs=2)
    parser.add_argument(
        "--standstill-s", type=float, nargs=2, default=(0.1, 2.0)
    )
    parser.add_argument("--ends-s", type=float, nargs="+", default=())
    parser.add_argument("--silent-share", type=float, default=0.0)
    parser.add_argument("--link-delay-s", type=float, default=0.0)
    parser.add_argument("--link-mbit", type=float, nargs=2)
    parser.add_argument("--link-buffer-bytes", type=int)
    parser.add_argument("--event-bytes", type=int, default=0)
    parser.add_argument("--slow-share", type=float, default=0.0)
    parser.add_argument("--slow-bytes-per-s", type=float, default=50_000)
    parser.add_argument("--together", type=int, default=0)
    parser.add_argument("--same-domain", action="store_true")
    parser.add_argument("--stagger-s", type=float, default=2.0)
    parser.add_argument("--kill-early-s", type=float, default=0.0)
    parser.add_argument(
        "--store-fault", choices=[fault.value for fault in StoreFault]
    )


def read_options(options: dict) -> Conditions:
    """Takes the conditions out of parsed options."""
    lead_s = options.pop("standstill_lead_s")
    duration_s = tuple(options.pop("standstill_s"))
    names = [field.name for field in dataclasses.fields(Conditions)]
    fields = {n: options.pop(n) for n in names if n in options}
    for name in ("cpu_share", "ends_s", "link_mbit"):
        fields[name] = fields[name] and tuple(fields[name])
    if fields["store_fault"]:
        fields["store_fault"] = StoreFault(fields["store_fault"])
    if lead_s:
        fields["standstill"] = standstills.Plan(tuple(lead_s), duration_s)
    return Conditions(**fields)
