"""Which attempts count as failed in the outage."""

from __future__ import annotations

import pytest

from poplarwick_bench import caller
from poplarwick_bench import history
from poplarwick_bench.experiments import outage

KILLED = "127.0.0.1:1"
FAULTS = outage.Faults(100.0, 200.0, KILLED, 150.0, 150.1)


def make_record(sent_at_s, duration_s, **fields):
    return caller.AttemptRecord(
        name="s1-1",
        organisation="one",
        due_s=0.0,
        sent_at_s=sent_at_s,
        ended_s=duration_s,
        code="ServerDisconnectedError",
        **{"address": KILLED, **fields},
    )


@pytest.mark.parametrize(
    ("record", "is_failed"),
    [
        pytest.param(make_record(149.9, 0.15), False, id="cut_by_the_kill"),
        pytest.param(make_record(149.9, 0.05), True, id="ended_before"),
        pytest.param(make_record(150.2, 0.1), True, id="sent_after"),
        pytest.param(
            make_record(149.9, 0.15, address="127.0.0.1:2"),
            True,
            id="sent_to_another",
        ),
        pytest.param(
            make_record(149.9, 0.15, instance="instance-1"),
            True,
            id="answered_by_another",
        ),
        pytest.param(make_record(99.0, 51.1), False, id="before_the_outage"),
    ],
)
def test_only_what_the_kill_cut_is_not_a_failure_of_the_outage(
    record, is_failed
):
    run_history = history.History(
        records=[record], killed_or_paused={"instance-7"}
    )
    assert outage.find_failed(run_history, FAULTS) == [record] * is_failed
