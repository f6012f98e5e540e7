"""Tests for saving, comparing and plotting results."""

import asyncio

import msgspec
import pytest

from poplarwick_bench import history
from poplarwick_bench import main
from poplarwick_bench import report
from poplarwick_bench import runner
from poplarwick_bench import scenario
from poplarwick_bench import trace


def make_result(**fields):
    defaults = {
        "scenario": "lengths",
        "policy": "current",
        "seed": 1,
        "commit": "abc",
        "figures": {"short_slowdown": 1.5},
        "bounds": [scenario.Bound("short_slowdown", 1.5, 1.15, holds=False)],
        "holds": False,
    }
    return scenario.Result(**(defaults | fields))


def make_trace():
    points = [
        trace.Point("a", 2_000, 0.1, 0.05, 0.4, 8, True),
        trace.Point("b", 200_000, 0.5, 2.0, 3.0, 8, True),
        trace.Point("b", 2_000, 0.7, None, 0.1, 0, False),
    ]
    loads = [trace.Load("engine-0", 0.1, 2_008)]
    return trace.Trace("lengths", "current", 1, "mixed", points, loads, 9_000)


def test_report_is_one_page_with_metrics_bounds_and_plots(tmp_path):
    results = tmp_path / "results"
    results.mkdir()
    (results / "a.json").write_bytes(msgspec.json.encode(make_result()))
    encoded_trace = msgspec.json.encode(make_trace())
    (results / "a.trace.json").write_bytes(encoded_trace)
    page = tmp_path / "report.html"
    report.write_report(results, page)
    text = page.read_text()
    assert "short_slowdown" in text
    assert 'class="fails"' in text
    assert text.count("data:image/png;base64,") == 4
    assert len(list(tmp_path.glob("*.png"))) == 4


def test_report_without_results_raises(tmp_path):
    with pytest.raises(report.ReportError):
        report.write_report(tmp_path, tmp_path / "report.html")


def test_comparison_shows_ratio():
    second = make_result(figures={"short_slowdown": 3.0})
    text = runner.make_comparison(make_result(), second)
    assert "2.000" in text


@pytest.mark.parametrize(("holds", "code"), [(True, 0), (False, 1)])
def test_exit_code_reports_whether_bounds_hold(
    monkeypatch, capsys, holds, code
):
    async def run(attempt):
        return make_result(holds=holds)

    monkeypatch.setattr(runner, "_run_one", run)
    arguments = ["run", "lengths", "--json", "--seed", "3"]
    assert main.main(arguments) == code
    last = capsys.readouterr().out.splitlines()[-1]
    assert msgspec.json.decode(last)["holds"] is holds


def test_unknown_scenario_is_a_usage_error(capsys):
    assert main.main(["run", "nothing"]) == 2


def test_executions_of_all_endpoints_are_read_in_time_order(tmp_path):
    lines = {
        "engine-0": b'{"event":"finished","at_s":2.0,"stream":"s"}\n',
        "engine-1": b'{"event":"started","at_s":1.0,"running":3}\n',
    }
    for name, line in lines.items():
        (tmp_path / f"{name}.executions").write_bytes(line)
    executions = history.read_executions(tmp_path)
    assert [entry.endpoint for entry in executions] == ["engine-1", "engine-0"]


def test_quick_halves_duration(monkeypatch):
    durations_s = []

    async def run(attempt):
        durations_s.append(attempt.spec.duration_s)
        return make_result()

    monkeypatch.setattr(runner, "_run_one", run)
    for is_quick in (False, True):
        asyncio.run(
            runner.run("lengths", scenario.Policy.CURRENT, 1, is_quick=is_quick)
        )
    assert durations_s[1] == durations_s[0] / 2
