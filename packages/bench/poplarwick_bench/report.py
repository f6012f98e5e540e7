"""Self-contained HTML report with the metrics and plots of saved results."""

from __future__ import annotations

import base64
import collections
import html
import io
import pathlib
from collections.abc import Callable
from typing import Any

import msgspec

from poplarwick_bench import metrics
from poplarwick_bench import scenario
from poplarwick_bench import trace
from poplarwick_bench import workload
from poplarwick_core import errors

TRACE_SUFFIX = ".trace.json"
BUCKETS = 24
PLOT_INCHES = (8.0, 4.0)
PLOT_DPI = 110

_STYLE = """
body { font: 15px/1.5 sans-serif; margin: 2em auto; max-width: 62em;
       padding: 0 1em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; }
td, th { border-bottom: 1px solid #ccc; padding: .2em .8em; text-align: right; }
td:first-child, th:first-child { text-align: left; }
.fails { color: #b00020; font-weight: bold; }
img { max-width: 100%; }
"""


class ReportError(errors.PoplarwickError):
    """The directory holds no results."""


def write_report(folder: pathlib.Path, target: pathlib.Path) -> None:
    """Writes the HTML page, and one PNG per plot to the same directory.

    Args:
        folder: Directory written by `run --results`.
        target: HTML file to write.

    Raises:
        ReportError: The directory holds no results.
    """
    results = [
        msgspec.json.decode(path.read_bytes(), type=scenario.Result)
        for path in sorted(folder.glob("*.json"))
        if not path.name.endswith(TRACE_SUFFIX)
    ]
    if not results:
        raise ReportError(f"{folder} holds no results")
    traces = [
        msgspec.json.decode(path.read_bytes(), type=trace.Trace)
        for path in sorted(folder.glob(f"*{TRACE_SUFFIX}"))
    ]
    sections = [_make_result_table(result) for result in results]
    for trace_ in traces:
        sections += _make_plots(trace_, target.parent)
    page = (
        '<!doctype html><html lang="en"><meta charset="utf-8">'
        f"<title>Benchmarks</title><style>{_STYLE}</style>"
        "<h1>Benchmarks</h1>" + "".join(sections) + "</html>"
    )
    target.write_text(page, encoding="utf-8")


def _make_result_table(result: scenario.Result) -> str:
    limits = {bound.name: bound for bound in result.bounds}
    rows = []
    for name, value in result.figures.items():
        bound = limits.get(name)
        limit = "" if bound is None else f"{bound.limit:g}"
        word = "" if bound is None else "holds" if bound.holds else "fails"
        rows.append(
            f"<tr><td>{html.escape(name)}</td><td>{value:.6g}</td>"
            f'<td>{limit}</td><td class="{word}">{word}</td></tr>'
        )
    title = f"{result.scenario}, {result.policy}, seed {result.seed}"
    return (
        f"<h2>{html.escape(title)}</h2><p>commit {result.commit}</p>"
        "<table><tr><th>metric</th><th>value</th><th>limit</th><th></th></tr>"
        + "".join(rows)
        + "</table>"
    )


DrawFunction = Callable[[Any, trace.Trace], None]


def _make_plots(trace_: trace.Trace, folder: pathlib.Path) -> list[str]:
    plots: dict[str, DrawFunction] = {
        "first-token-by-length": _draw_by_length,
        "short-over-time": _draw_short_over_time,
        "shares-over-time": _draw_shares,
        "engine-memory": _draw_memory,
    }
    name = f"{trace_.scenario}-{trace_.policy}-{trace_.seed}-{trace_.label}"
    sections = [f"<h2>{html.escape(name)}</h2>"]
    for kind, draw in plots.items():
        image = _render(draw, trace_)
        (folder / f"{name}-{kind}.png").write_bytes(image)
        data = base64.b64encode(image).decode()
        sections.append(
            f'<img alt="{kind}" src="data:image/png;base64,{data}">'
        )
    return sections


def _render(draw: DrawFunction, trace_: trace.Trace) -> bytes:
    # Importing matplotlib is slow, and only the report needs it.
    from matplotlib import figure

    canvas = figure.Figure(figsize=PLOT_INCHES, dpi=PLOT_DPI)
    axes = canvas.add_subplot()
    draw(axes, trace_)
    canvas.tight_layout()
    buffer = io.BytesIO()
    canvas.savefig(buffer, format="png")
    return buffer.getvalue()


def _draw_by_length(axes: Any, trace_: trace.Trace) -> None:
    complete = [p for p in trace_.points if p.is_whole and p.first_token_s]
    axes.scatter(
        [point.prompt_tokens for point in complete],
        [point.first_token_s for point in complete],
        s=6,
        alpha=0.4,
    )
    for decade in workload.DECADES[:-1]:
        times = [
            point.first_token_s or 0.0
            for point in complete
            if decade <= point.prompt_tokens < decade * 10
        ]
        for percentile, colour in ((50, "green"), (95, "red")):
            value = metrics.compute_percentile_s(times, percentile)
            axes.hlines(value or None, decade, decade * 10, colors=colour)
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xlabel("prompt tokens")
    axes.set_ylabel("time to first token (s)")
    axes.set_title("Time to first token; lines: p50 green, p95 red")


def _draw_short_over_time(axes: Any, trace_: trace.Trace) -> None:
    times: dict[int, list[float]] = collections.defaultdict(list)
    width_s = _compute_bucket_s(trace_)
    for point in trace_.points:
        if point.prompt_tokens < metrics.SHORT_TOKENS and point.first_token_s:
            times[int(point.due_s / width_s)].append(point.first_token_s)
    buckets = sorted(times)
    at_s = [bucket * width_s for bucket in buckets]
    for percentile in (50, 95):
        values = [
            metrics.compute_percentile_s(times[bucket], percentile)
            for bucket in buckets
        ]
        axes.plot(at_s, values, label=f"p{percentile}")
    axes.set_xlabel("due time (s)")
    axes.set_ylabel("time to first token (s)")
    axes.set_title("Short requests over time")
    axes.legend()


def _draw_shares(axes: Any, trace_: trace.Trace) -> None:
    width_s = _compute_bucket_s(trace_)
    tokens: dict[str, collections.Counter[int]] = collections.defaultdict(
        collections.Counter
    )
    for point in trace_.points:
        if point.is_whole:
            bucket = int((point.due_s + point.ended_s) / width_s)
            size = point.prompt_tokens + point.tokens
            tokens[point.organisation][bucket] += size
    buckets = sorted({b for counts in tokens.values() for b in counts})
    for organisation in sorted(tokens):
        axes.plot(
            [bucket * width_s for bucket in buckets],
            [tokens[organisation][bucket] / width_s for bucket in buckets],
            label=organisation,
        )
    axes.set_xlabel("end time (s)")
    axes.set_ylabel("tokens completed per second")
    axes.set_title("Token throughput by organisation")
    axes.legend(ncols=5, fontsize="small")


def _draw_memory(axes: Any, trace_: trace.Trace) -> None:
    held: dict[str, list[trace.Load]] = collections.defaultdict(list)
    for entry in trace_.loads:
        held[entry.endpoint].append(entry)
    for entries in held.values():
        axes.step(
            [entry.at_s for entry in entries],
            [entry.memory_tokens for entry in entries],
            where="post",
            linewidth=0.8,
        )
    axes.axhline(trace_.capacity_tokens, color="black", linestyle="--")
    axes.set_xlabel("time (s)")
    axes.set_ylabel("KV cache memory in use (tokens)")
    axes.set_title("KV cache memory of each engine; dashed: capacity")


def _compute_bucket_s(trace_: trace.Trace) -> float:
    last_s = max((point.due_s for point in trace_.points), default=1.0)
    return max(last_s / BUCKETS, 0.1)
