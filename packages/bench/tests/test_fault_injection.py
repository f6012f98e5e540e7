"""Tests for seeded faults and metrics computed from a history."""

import pytest

from poplarwick_bench import caller
from poplarwick_bench import fault_injection
from poplarwick_bench import history
from poplarwick_bench.experiments import config
from poplarwick_bench.experiments import once
from poplarwick_core import outcome


def test_faults_depend_only_on_the_seed():
    kinds = list(fault_injection.Kind)
    first = fault_injection.generate_faults(kinds, 30.0, 2.0, 1)
    assert first == fault_injection.generate_faults(kinds, 30.0, 2.0, 1)
    assert first != fault_injection.generate_faults(kinds, 30.0, 2.0, 2)
    assert {fault.kind for fault in first} == set(kinds)


def test_convergence_time_is_that_of_the_slowest_instance():
    run_history = history.History(
        acceptances=[
            history.Acceptance(2, 10.0),
            history.Acceptance(9, 10.0),
        ],
        observations=[
            history.Observation("a", 2, 10.5),
            history.Observation("b", 1, 10.5),
            history.Observation("b", 3, 11.5),
        ],
    )
    assert config.compute_convergence_s(run_history) == [
        pytest.approx(1.5),
        -1.0,
    ]


def test_outcome_of_a_call_is_that_of_its_last_attempt():
    def make(name, ended):
        return caller.AttemptRecord(
            name=name, organisation="o", due_s=0, sent_at_s=0, outcome=ended
        )

    refused, complete = outcome.Outcome.NOT_RUN, outcome.Outcome.COMPLETE
    run_history = history.History(
        records=[make("a", refused), make("b", None), make("a", complete)]
    )
    results = once.describe(run_history)
    assert results["calls"] == 2
    assert results["ended_complete"] == 1
    assert results["without_outcome"] == 1
