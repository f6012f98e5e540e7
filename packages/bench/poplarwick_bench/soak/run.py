"""Runs a soak and tells what it found."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import pathlib
import shutil
import tempfile
import time
from collections.abc import Iterator
from collections.abc import Sequence

import msgspec

from poplarwick_bench.soak import callers
from poplarwick_bench.soak import checks
from poplarwick_bench.soak import driver
from poplarwick_bench.soak import fleet
from poplarwick_bench.soak import records
from poplarwick_bench.soak import schedule

CALLERS = 12
"""Callers at the same time."""

REST_S = 5.0
"""Time after the load in which endpoints get all of their memory back: the
life of a reservation and an order that arrives late."""

LINES_SHOWN = 12
"""Log lines that are shown for a finding."""


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """What a run does.

    Attributes:
        seed: Seed of schedule and callers.
        duration_s: Length of the load.
        is_timed: Whether bounds in time are checked too.
        planned_only: Whether only planned work goes on.
        output_directory: Directory for settings and logs. None selects a
            temporary directory that is removed if there are no findings.
    """

    seed: int
    duration_s: float
    is_timed: bool = True
    planned_only: bool = False
    output_directory: pathlib.Path | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What a run found.

    Attributes:
        findings: Broken promises.
        record: What was seen.
        folder: Directory with the logs; None if it was removed.
    """

    findings: list[checks.Finding]
    record: records.Record
    folder: pathlib.Path | None


class Regression(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A seed that found something.

    Attributes:
        seed: The seed.
        seconds: Length of the load.
        check: Check that found it.
        cause: What the cause was.
    """

    seed: int
    seconds: float
    check: str
    cause: str


class Regressions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Content of a file of regressions."""

    seeds: list[Regression]


async def run(options: Options) -> Result:
    """Runs a soak."""
    record = records.Record()
    folder = options.output_directory or pathlib.Path(
        tempfile.mkdtemp(prefix="soak-")
    )
    folder.mkdir(parents=True, exist_ok=True)
    faults = schedule.draw_schedule(
        options.seed, options.duration_s, planned_only=options.planned_only
    )
    async with fleet.Fleet(folder, record) as system:
        balancer = callers.Balancer(system)
        watching = asyncio.create_task(balancer.run())
        ends_at_s = time.monotonic() + options.duration_s
        async with asyncio.TaskGroup() as group:
            group.create_task(driver.Driver(system).run(faults))
            for number in range(CALLERS):
                caller = callers.Caller(system, balancer, number, options.seed)
                group.create_task(caller.run(ends_at_s))
        await asyncio.sleep(REST_S)
        record.left_over = system.count_left_over()
        watching.cancel()
    chosen = checks.SAFETY + (checks.TIMED if options.is_timed else ())
    findings = checks.find_broken(record, chosen)
    if findings or options.output_directory:
        return Result(findings, record, folder)
    shutil.rmtree(folder, ignore_errors=True)
    return Result(findings, record, None)


def format_report(options: Options, result: Result) -> Iterator[str]:
    """Yields the lines of a report."""
    yield f"seed {options.seed}, {options.duration_s:.0f} s of load"
    kinds = collections.Counter(
        fault.kind.value
        for fault in schedule.draw_schedule(
            options.seed,
            options.duration_s,
            planned_only=options.planned_only,
        )
    )
    yield "faults: " + ", ".join(f"{k} {n}" for k, n in sorted(kinds.items()))
    outcomes = collections.Counter(
        f"{call.outcome.value}-{call.status}" for call in result.record.calls
    )
    yield f"calls: {len(result.record.calls)}: " + ", ".join(
        f"{name} {count}" for name, count in outcomes.most_common()
    )
    if result.folder is not None:
        yield f"logs: {result.folder}"
    for finding in result.findings:
        yield f"BROKEN {finding.check}: {finding.request} {finding.text}"
        yield from _find_lines(result.folder, finding.request)
    yield f"{len(result.findings)} findings"


def _find_lines(folder: pathlib.Path | None, request: str) -> Sequence[str]:
    if folder is None or not request:
        return []
    lines: list[str] = []
    for path in sorted(folder.glob("*.log")):
        with (
            contextlib.suppress(OSError),
            path.open(encoding="utf-8", errors="replace") as log,
        ):
            lines.extend(
                f"  {line.strip()}"
                for line in log
                if f"request={request} " in f"{line.strip()} "
            )
    return sorted(lines)[:LINES_SHOWN]
