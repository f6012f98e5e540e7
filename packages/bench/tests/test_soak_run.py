"""Tests of short soaks with real processes, without checks of time limits."""

from __future__ import annotations

import asyncio
import pathlib

import pytest

from poplarwick_bench.soak import fleet
from poplarwick_bench.soak import run as soak
from poplarwick_core import jsonc

ROOT = pathlib.Path(__file__).parents[3]
DURATION_S = 12.0


def run_soak(tmp_path, seed, **changes):
    options = soak.Options(
        seed=seed,
        duration_s=DURATION_S,
        is_timed=False,
        output_directory=tmp_path,
        **changes,
    )
    result = asyncio.run(soak.run(options))
    return options, result


def read_regression_seeds():
    path = ROOT / "soak" / "regressions.json"
    return [
        entry.seed for entry in jsonc.read_file(path, soak.Regressions).seeds
    ]


@pytest.mark.parametrize("seed", [1, *read_regression_seeds()])
def test_short_soak_violates_no_invariant(tmp_path, seed):
    options, result = run_soak(tmp_path, seed)
    assert any(call.status == 200 for call in result.record.calls)
    assert not result.findings, "\n".join(soak.format_report(options, result))


def test_responses_to_other_requests_are_reported_in_a_soak(
    tmp_path, monkeypatch
):
    def make_event(replica, request, number):
        return f"id: {number}\ndata: another {number}\n\n".encode()

    monkeypatch.setattr(fleet.SoakReplica, "make_event", make_event)
    options, result = run_soak(tmp_path, 1, planned_only=True)
    assert {finding.check for finding in result.findings} == {"answers"}
    assert "BROKEN answers" in "\n".join(soak.format_report(options, result))
