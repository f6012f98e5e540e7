"""One self-contained page with the figures and plots of kept results."""

from __future__ import annotations

import base64
import collections
import html
import io
import pathlib
from collections.abc import Callable
from typing import Any

import msgspec

from poplarwick_bench import figures
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
    """There is nothing to report on."""


def write_report(folder: pathlib.Path, target: pathlib.Path) -> None:
    """Writes the page and one PNG for each plot beside it.

    Args:
        folder: Directory that `run --results` filled.
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
    parts = [_make_result_table(result) for result in results]
    for found in traces:
        parts += _make_plots(found, target.parent)
    page = (
        '<!doctype html><html lang="en"><meta charset="utf-8">'
        f"<title>Benchmarks</title><style>{_STYLE}</style>"
        "<h1>Benchmarks</h1>" + "".join(parts) + "</html>"
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
        "<table><tr><th>figure</th><th>value</th><th>limit</th><th></th></tr>"
        + "".join(rows)
        + "</table>"
    )


Draw = Callable[[Any, trace.Trace], None]


def _make_plots(found: trace.Trace, folder: pathlib.Path) -> list[str]:
    plots: dict[str, Draw] = {
        "first-token-by-length": _draw_by_length,
        "short-over-time": _draw_short_over_time,
        "shares-over-time": _draw_shares,
        "engine-memory": _draw_memory,
    }
    name = f"{found.scenario}-{found.policy}-{found.seed}-{found.label}"
    parts = [f"<h2>{html.escape(name)}</h2>"]
    for kind, draw in plots.items():
        image = _draw(draw, found)
        (folder / f"{name}-{kind}.png").write_bytes(image)
        data = base64.b64encode(image).decode()
        parts.append(f'<img alt="{kind}" src="data:image/png;base64,{data}">')
    return parts


def _draw(draw: Draw, found: trace.Trace) -> bytes:
    # Importing matplotlib takes long, and only the report needs it.
    from matplotlib import figure

    canvas = figure.Figure(figsize=PLOT_INCHES, dpi=PLOT_DPI)
    axes = canvas.add_subplot()
    draw(axes, found)
    canvas.tight_layout()
    buffer = io.BytesIO()
    canvas.savefig(buffer, format="png")
    return buffer.getvalue()


def _draw_by_length(axes: Any, found: trace.Trace) -> None:
    whole = [p for p in found.points if p.is_whole and p.first_token_s]
    axes.scatter(
        [point.prompt_tokens for point in whole],
        [point.first_token_s for point in whole],
        s=6,
        alpha=0.4,
    )
    for decade in workload.DECADES[:-1]:
        times = [
            point.first_token_s or 0.0
            for point in whole
            if decade <= point.prompt_tokens < decade * 10
        ]
        for percentile, colour in ((50, "green"), (95, "red")):
            value = figures.compute_percentile_s(times, percentile)
            axes.hlines(value or None, decade, decade * 10, colors=colour)
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xlabel("prompt tokens")
    axes.set_ylabel("time to first token (s)")
    axes.set_title("Time to first token; lines: p50 green, p95 red")


def _draw_short_over_time(axes: Any, found: trace.Trace) -> None:
    times: dict[int, list[float]] = collections.defaultdict(list)
    width_s = _find_bucket_s(found)
    for point in found.points:
        if point.prompt_tokens < figures.SHORT_TOKENS and point.first_token_s:
            times[int(point.due_s / width_s)].append(point.first_token_s)
    buckets = sorted(times)
    at_s = [bucket * width_s for bucket in buckets]
    for percentile in (50, 95):
        values = [
            figures.compute_percentile_s(times[bucket], percentile)
            for bucket in buckets
        ]
        axes.plot(at_s, values, label=f"p{percentile}")
    axes.set_xlabel("time due (s)")
    axes.set_ylabel("time to first token (s)")
    axes.set_title("Short requests over time")
    axes.legend()


def _draw_shares(axes: Any, found: trace.Trace) -> None:
    width_s = _find_bucket_s(found)
    tokens: dict[str, collections.Counter[int]] = collections.defaultdict(
        collections.Counter
    )
    for point in found.points:
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
    axes.set_xlabel("time of end (s)")
    axes.set_ylabel("tokens completed per second")
    axes.set_title("Shares of organisations")
    axes.legend(ncols=5, fontsize="small")


def _draw_memory(axes: Any, found: trace.Trace) -> None:
    held: dict[str, list[trace.Load]] = collections.defaultdict(list)
    for entry in found.loads:
        held[entry.endpoint].append(entry)
    for entries in held.values():
        axes.step(
            [entry.at_s for entry in entries],
            [entry.memory_tokens for entry in entries],
            where="post",
            linewidth=0.8,
        )
    axes.axhline(found.capacity_tokens, color="black", linestyle="--")
    axes.set_xlabel("time (s)")
    axes.set_ylabel("KV cache memory held (tokens)")
    axes.set_title("What each engine carried; dashed: what it can")


def _find_bucket_s(found: trace.Trace) -> float:
    last_s = max((point.due_s for point in found.points), default=1.0)
    return max(last_s / BUCKETS, 0.1)
