"""Runs a soak and reports its findings."""

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
from poplarwick_bench.soak import fault_injector
from poplarwick_bench.soak import fleet
from poplarwick_bench.soak import records
from poplarwick_bench.soak import schedule

CALLER_COUNT = 12
"""Number of concurrent callers."""

MEMORY_RELEASE_WAIT_S = 5.0
"""Time after the load within which endpoints release all reserved memory: the
lifetime of a reservation, plus a command that arrives late."""

MAX_LOG_LINES = 12
"""Maximum number of log lines shown for a finding."""


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Options of a soak.

    Attributes:
        seed: Seed of the fault schedule and the callers.
        duration_s: Duration of the load in seconds.
        is_timed: Whether to check time limits as well.
        planned_only: Whether to schedule only planned operations.
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
    """Result of a soak.

    Attributes:
        findings: Violated invariants.
        record: Observations of the soak.
        folder: Directory with the logs; None if it was removed.
    """

    findings: list[checks.Finding]
    record: records.Record
    folder: pathlib.Path | None


class Regression(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A seed that has exposed a fault.

    Attributes:
        seed: Seed of the soak.
        seconds: Duration of the load in seconds.
        check: Name of the check that failed.
        cause: Cause of the failure.
    """

    seed: int
    seconds: float
    check: str
    cause: str


class Regressions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Content of a regressions file."""

    seeds: list[Regression]


async def run(options: Options) -> Result:
    """Runs a soak and checks its record.

    Args:
        options: Options of the soak.

    Returns:
        The findings and the record.
    """
    record = records.Record()
    folder = options.output_directory or pathlib.Path(
        tempfile.mkdtemp(prefix="soak-")
    )
    folder.mkdir(parents=True, exist_ok=True)
    faults = schedule.generate_schedule(
        options.seed, options.duration_s, planned_only=options.planned_only
    )
    async with fleet.Fleet(folder, record) as system:
        balancer = callers.LoadBalancer(system)
        balancer_task = asyncio.create_task(balancer.run())
        ends_at_s = time.monotonic() + options.duration_s
        async with asyncio.TaskGroup() as group:
            group.create_task(fault_injector.FaultInjector(system).run(faults))
            for number in range(CALLER_COUNT):
                caller = callers.Caller(system, balancer, number, options.seed)
                group.create_task(caller.run(ends_at_s))
        await asyncio.sleep(MEMORY_RELEASE_WAIT_S)
        record.unreleased_memory = system.list_unreleased_memory()
        balancer_task.cancel()
    chosen = checks.SAFETY + (checks.TIMED if options.is_timed else ())
    findings = checks.find_violations(record, chosen)
    if findings or options.output_directory:
        return Result(findings, record, folder)
    shutil.rmtree(folder, ignore_errors=True)
    return Result(findings, record, None)


def format_report(options: Options, result: Result) -> Iterator[str]:
    """Yields the lines of a report.

    Args:
        options: Options of the soak.
        result: Result of the soak.

    Yields:
        The summary, the findings with their log lines, and their number.
    """
    yield f"seed {options.seed}, {options.duration_s:.0f} s of load"
    kinds = collections.Counter(
        fault.kind.value
        for fault in schedule.generate_schedule(
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
        yield f"BROKEN {finding.check}: {finding.request_id} {finding.text}"
        yield from _find_log_lines(result.folder, finding.request_id)
    yield f"{len(result.findings)} findings"


def _find_log_lines(folder: pathlib.Path | None, request: str) -> Sequence[str]:
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
    return sorted(lines)[:MAX_LOG_LINES]
