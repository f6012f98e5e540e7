"""Tests of seeded faults and of what is computed from a history."""

import pytest

from poplarwick_bench import caller
from poplarwick_bench import fault_injection
from poplarwick_bench import history
from poplarwick_bench.experiments import config
from poplarwick_bench.experiments import once
from poplarwick_core import outcome


def test_same_seed_gives_the_same_faults_and_another_seed_others():
    kinds = list(fault_injection.Kind)
    first = fault_injection.generate_faults(kinds, 30.0, 2.0, 1)
    assert first == fault_injection.generate_faults(kinds, 30.0, 2.0, 1)
    assert first != fault_injection.generate_faults(kinds, 30.0, 2.0, 2)
    assert {fault.kind for fault in first} == set(kinds)


def test_convergence_takes_as_long_as_the_slowest_instance():
    seen = history.History(
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
    assert config.find_convergence_s(seen) == [pytest.approx(1.5), -1.0]


def test_only_the_last_attempt_of_a_call_counts_as_its_end():
    def make(name, ended):
        return caller.Record(
            name=name, organisation="o", due_s=0, sent_at_s=0, outcome=ended
        )

    refused, whole = outcome.Outcome.NOT_RUN, outcome.Outcome.COMPLETE
    seen = history.History(
        records=[make("a", refused), make("b", None), make("a", whole)]
    )
    found = once.describe(seen)
    assert found["calls"] == 2
    assert found["ended_complete"] == 1
    assert found["without_outcome"] == 1
