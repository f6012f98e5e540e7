"""Command that explains the outcome of a request from logs."""

from __future__ import annotations

import argparse
import functools
import pathlib
import sys
from collections.abc import Iterator

import msgspec

from poplarwick_administration import _session
from poplarwick_administration import explanation
from poplarwick_core import cli
from poplarwick_core import log_lines

PROGRESS_INTERVAL_LINES = 100_000
"""Number of lines between two progress messages on a terminal."""


def add_commands(
    groups: _session.Parsers[argparse.ArgumentParser],
) -> None:
    """Adds the command `explain`."""
    explain = groups.add_parser(
        "explain", help="explains the outcome of a request from logs"
    )
    explain.set_defaults(command=_explain)
    explain.add_argument("request", metavar="REQUEST_ID")
    explain.add_argument("logs", metavar="LOGFILE", nargs="+")
    explain.add_argument("--json", action="store_true", dest="is_json")


async def _explain(parsed: argparse.Namespace) -> cli.ExitCode:
    paths = [pathlib.Path(name) for name in parsed.logs]
    for path in paths:
        if not path.is_file():
            print(f"{path}: no such log file", file=sys.stderr)
            return cli.ExitCode.USAGE
    timeline = explanation.explain(
        parsed.request, [functools.partial(_read_file, p) for p in paths]
    )
    if parsed.is_json:
        print(msgspec.json.encode(timeline).decode())
    else:
        print(_format_timeline(timeline))
    return cli.ExitCode.OK if timeline.steps else cli.ExitCode.FAILURE


def _read_file(path: pathlib.Path) -> Iterator[str]:
    shows_progress = sys.stderr.isatty()
    with path.open(encoding="utf-8", errors="replace") as lines:
        for number, line in enumerate(lines, 1):
            if shows_progress and number % PROGRESS_INTERVAL_LINES == 0:
                print(f"{path}: {number} lines read", file=sys.stderr)
            yield line


def _format_timeline(timeline: explanation.RequestTimeline) -> str:
    marked_lines = [("*", line) for line in timeline.steps]
    marked_lines += [(" ", line) for line in timeline.beliefs]
    marked_lines.sort(key=lambda item: item[1].time)
    lines = [f"{mark} {_format_line(line)}" for mark, line in marked_lines]
    cost = [] if timeline.cost is None else [timeline.cost]
    return "\n".join(
        [f"request {timeline.request}: {timeline.cause}", *cost, "", *lines]
    )


def _format_line(line: log_lines.LogLine) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in ("level", "request", "at_s")
    )
    return f"{line.time} {line.instance} {line.event} {fields}".rstrip()
