"""Runs linters, unit tests and behave features and counts their results.

The last line of the output is `N passed, N failed`. Failures of tests listed in
KNOWN-RED.txt are printed but not counted.
"""

from __future__ import annotations

import argparse
import contextlib
import dataclasses
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import xml.etree.ElementTree as ElementTree

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
KNOWN_RED_PREFIX = "test:"
STEP_TIMEOUT_S = 1200
INTERRUPT_TIMEOUT_S = 60
"""Time in which an interrupted step reports what has finished."""

TIMEOUT_CODE = 124
UNIT_WORKERS = ("-n", "4", "--dist", "loadfile")

LINTERS = {
    "format": ["ruff", "format", "--check", "."],
    "style": ["ruff", "check", "."],
    "types": [
        "mypy",
        *sorted(
            str(p)
            for pattern in ("packages/*/*/", "platform/*/")
            for p in ROOT.glob(pattern)
            if (p / "py.typed").exists()
        ),
    ],
    "layers": ["lint-imports"],
}


@dataclasses.dataclass(slots=True)
class Tally:
    """Results of finished linters and tests.

    Attributes:
        passed: Number of linters and tests that passed.
        failed: Names of the linters and tests that failed.
        known_red: Names of the failed tests listed in KNOWN-RED.txt.
    """

    passed: int = 0
    failed: list[str] = dataclasses.field(default_factory=list)
    known_red: list[str] = dataclasses.field(default_factory=list)


def main() -> int:
    """Runs the selected steps.

    Returns:
        The exit code: 1 if a test failed or none passed, else 0.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", choices=("lint", "unit", "features"))
    only = parser.parse_args().only
    tally = Tally()
    known_red = _read_known_red()
    if only in (None, "lint"):
        _run_linters(tally)
    if only in (None, "unit"):
        _run_unit_tests(tally, known_red)
    if only in (None, "features"):
        _run_features(tally, known_red)
    for name in tally.known_red:
        print(f"known red: {name}")
    for name in tally.failed:
        print(f"failed: {name}")
    print(f"{tally.passed} passed, {len(tally.failed)} failed")
    return 1 if tally.failed or not tally.passed else 0


def _read_known_red() -> set[str]:
    if not KNOWN_RED_FILE.exists():
        return set()
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix(KNOWN_RED_PREFIX).strip()
        for line in lines
        if line.startswith(KNOWN_RED_PREFIX)
    }


def _run_linters(tally: Tally) -> None:
    for name, command in LINTERS.items():
        print(f"== {name}", flush=True)
        if _run(command) == 0:
            tally.passed += 1
        else:
            tally.failed.append(f"lint {name}")


def _run_unit_tests(tally: Tally, known_red: set[str]) -> None:
    print("== unit tests", flush=True)
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "unit.xml"
        code = _run(
            [
                "pytest",
                *UNIT_WORKERS,
                f"--junitxml={report}",
                "packages",
                "tests",
            ]
        )
        if not report.exists():
            tally.failed.append(f"unit tests exited with code {code}")
            return
        before = len(tally.failed) + len(tally.known_red)
        _count_report(report, tally, known_red)
        is_explained = len(tally.failed) + len(tally.known_red) > before
        if code == TIMEOUT_CODE or (code != 0 and not is_explained):
            tally.failed.append(f"unit tests exited with code {code}")


def _run_features(tally: Tally, known_red: set[str]) -> None:
    print("== features", flush=True)
    with tempfile.TemporaryDirectory() as folder:
        code = _run(
            [
                "behave",
                "--format",
                "progress2",
                "--no-capture",
                "--junit",
                "--junit-directory",
                folder,
                "features",
            ]
        )
        before = len(tally.failed) + len(tally.known_red)
        for report in sorted(pathlib.Path(folder).glob("*.xml")):
            _count_report(report, tally, known_red)
        is_explained = len(tally.failed) + len(tally.known_red) > before
        if code == TIMEOUT_CODE or (code != 0 and not is_explained):
            tally.failed.append(f"features exited with code {code}")


def _count_report(
    report: pathlib.Path, tally: Tally, known_red: set[str]
) -> None:
    for case in ElementTree.parse(report).getroot().iter("testcase"):
        name = f"{case.get('classname')}::{case.get('name')}"
        is_failed = case.find("failure") is not None
        is_failed = is_failed or case.find("error") is not None
        if case.find("skipped") is not None and not is_failed:
            continue
        if not is_failed:
            tally.passed += 1
        elif name in known_red:
            tally.known_red.append(name)
        else:
            tally.failed.append(name)


def _run(command: list[str]) -> int:
    # In a session of its own, so that nothing that the step has started
    # outlives its time limit.
    with subprocess.Popen(command, cwd=ROOT, start_new_session=True) as process:
        try:
            return process.wait(STEP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            return TIMEOUT_CODE
        finally:
            if process.returncode is None:
                _interrupt(process)


def _interrupt(process: subprocess.Popen[bytes]) -> None:
    """Lets a step report what has finished, then kills what is left of it."""
    process.send_signal(signal.SIGINT)
    with contextlib.suppress(subprocess.TimeoutExpired):
        process.wait(INTERRUPT_TIMEOUT_S)
    with contextlib.suppress(ProcessLookupError):
        os.killpg(process.pid, signal.SIGKILL)


if __name__ == "__main__":
    sys.exit(main())
