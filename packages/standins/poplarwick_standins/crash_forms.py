"""How a stand-in for an endpoint crashes on a request.

Real endpoints crash in many ways. A test that knows a single one shows little,
so tests draw the form of each crash from a seed.
"""

from __future__ import annotations

import dataclasses
import enum
import random
from collections.abc import Sequence

DELAYS_S = (0.0, 0.005, 0.08, 0.5)
"""Times from a request to its crash that `draw_form` chooses from."""


class Stage(enum.Enum):
    """How much of the answer has been sent when the endpoint crashes."""

    BEFORE_HEAD = "before_head"
    AFTER_HEAD = "after_head"
    AFTER_EVENT = "after_event"


class Ending(enum.Enum):
    """How the connections of a crashed endpoint end.

    Attributes:
        CLOSE: They are closed; its address refuses connections.
        RESET: They are reset; its address refuses connections.
        SILENCE: Nothing is sent any more, as after a loss of power; its address
            accepts connections and does not answer.
    """

    CLOSE = "close"
    RESET = "reset"
    SILENCE = "silence"


@dataclasses.dataclass(frozen=True, slots=True)
class CrashForm:
    """How an endpoint crashes on a request.

    Attributes:
        stage: How much of the answer has been sent.
        delay_s: Time from the request, or from that part of the answer, to
            the crash.
        ending: How connections end.
    """

    stage: Stage = Stage.AFTER_HEAD
    delay_s: float = 0.0
    ending: Ending = Ending.CLOSE


def draw_form(
    rng: random.Random, stages: Sequence[Stage], endings: Sequence[Ending]
) -> CrashForm:
    """Returns a random form.

    Args:
        rng: Source of randomness.
        stages: Stages to choose from.
        endings: Endings to choose from.
    """
    return CrashForm(
        rng.choice(stages), rng.choice(DELAYS_S), rng.choice(endings)
    )
