"""Checkouts of the previous version and of this one.

Code of either version runs in a process of its own, because both have modules
of the same names.
"""

from __future__ import annotations

import dataclasses
import io
import json
import os
import pathlib
import subprocess
import sys
import tarfile

import pytest

PREVIOUS_COMMIT = "bbef7ce418319f4dd05148b616f3ca984ea101ca"
"""The version that instances run before they are upgraded to this one."""

ROOT = pathlib.Path(__file__).resolve().parents[2]

UNPACKED = ("packages", "platform", "deploy")
"""Folders that an instance needs."""

PROBE = pathlib.Path(__file__).with_name("probe.py")

PROBE_TIMEOUT_S = 120
"""Time limit for a probe, which takes about a second of processor time."""


@dataclasses.dataclass(frozen=True)
class Checkout:
    """One version of the sources.

    Attributes:
        root: Folder that contains `packages`, `platform` and `deploy`.
    """

    root: pathlib.Path

    @property
    def launcher(self):
        """Program that starts an instance of this version."""
        return self.root / "deploy" / "launch.py"

    def probe(self, command, argument=None):
        """Returns the result of a command of `probe.py` in this version."""
        folders = [
            *sorted(self.root.glob("packages/*")),
            self.root / "platform",
        ]
        completed = subprocess.run(
            [sys.executable, str(PROBE), command],
            input=json.dumps(argument),
            env={
                **os.environ,
                "PYTHONPATH": os.pathsep.join(map(str, folders)),
                "PROBED_ROOT": str(self.root),
            },
            capture_output=True,
            text=True,
            timeout=PROBE_TIMEOUT_S,
            check=False,
        )
        if completed.returncode != 0:
            pytest.fail(f"probe {command} in {self.root}: {completed.stderr}")
        return json.loads(completed.stdout)


PRESENT = Checkout(ROOT)


def unpack(folder, commit=PREVIOUS_COMMIT):
    """Unpacks a version of the history and returns its checkout."""
    completed = subprocess.run(
        ["git", "archive", "--format=tar", commit, *UNPACKED],
        cwd=ROOT,
        capture_output=True,
        check=False,
    )
    if completed.returncode != 0:
        pytest.fail(
            f"the history lacks the previous version {commit}; "
            "`git fetch --unshallow` completes a shallow clone: "
            f"{completed.stderr.decode(errors='replace')}"
        )
    with tarfile.open(fileobj=io.BytesIO(completed.stdout)) as archive:
        archive.extractall(folder, filter="data")
    return Checkout(folder)
