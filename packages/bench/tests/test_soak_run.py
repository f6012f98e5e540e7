"""Short soaks of real processes; no bounds in time are checked here."""

from __future__ import annotations

import asyncio
import pathlib

import pytest

from poplarwick_bench.soak import fleet
from poplarwick_bench.soak import run as soak
from poplarwick_core import jsonc

ROOT = pathlib.Path(__file__).parents[3]
SECONDS = 12.0


def play(tmp_path, seed, **changes):
    options = soak.Options(
        seed=seed,
        duration_s=SECONDS,
        is_timed=False,
        output_directory=tmp_path,
        **changes,
    )
    result = asyncio.run(soak.run(options))
    return options, result


def read_regressions():
    path = ROOT / "soak" / "regressions.json"
    return [
        entry.seed for entry in jsonc.read_file(path, soak.Regressions).seeds
    ]


@pytest.mark.parametrize("seed", [1, *read_regressions()])
def test_a_short_soak_breaks_no_promise(tmp_path, seed):
    options, result = play(tmp_path, seed)
    assert any(call.status == 200 for call in result.record.calls)
    assert not result.findings, "\n".join(soak.format_report(options, result))


def test_answers_of_another_request_are_found_in_a_live_run(
    tmp_path, monkeypatch
):
    def make_event(replica, request, number):
        return f"id: {number}\ndata: another {number}\n\n".encode()

    monkeypatch.setattr(fleet.SoakReplica, "make_event", make_event)
    options, result = play(tmp_path, 1, planned_only=True)
    assert {finding.check for finding in result.findings} == {"answers"}
    assert "BROKEN answers" in "\n".join(soak.format_report(options, result))
