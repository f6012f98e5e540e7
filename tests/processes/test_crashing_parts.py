"""Parts of prompts that crash the engines of real instances in many ways."""

from __future__ import annotations

import asyncio

import crashing_parts
import pytest

from poplarwick_standins import crash_forms

Stage = crash_forms.Stage
Ending = crash_forms.Ending

MIXED = (tuple(Stage), tuple(Ending))


# Guards against a part that is passed on long after its fifth crash, because
# its crashes end otherwise than inside a body that has begun (BUDGET).
@pytest.mark.parametrize(
    ("seed", "stages", "endings"),
    [
        (1, (Stage.BEFORE_HEAD,), (Ending.CLOSE, Ending.RESET)),
        (2, (Stage.BEFORE_HEAD,), (Ending.SILENCE,)),
        (3, *MIXED),
    ],
    ids=["before_head", "silence", "mixed"],
)
def test_part_is_not_passed_on_however_its_crashes_end(
    tmp_path, seed, stages, endings
):
    result = asyncio.run(
        crashing_parts.play(
            seed,
            tmp_path,
            instances=4,
            engines=16,
            callers=24,
            share=0.15,
            stages=stages,
            endings=endings,
        )
    )
    report = crashing_parts.describe(result)
    for part, times in result.crashes.items():
        assert times, report
        assert result.late[part] <= crashing_parts.LATE_ARRIVALS, report
    assert not result.misblamed, report
