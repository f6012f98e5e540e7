"""Conventions shared by the command-line programs."""

from __future__ import annotations

import argparse
import enum
import importlib.metadata


class ExitCode(enum.IntEnum):
    """Exit codes of every program.

    Attributes:
        OK: The command succeeded.
        FAILURE: The command ran and failed.
        USAGE: Arguments, settings or documents are not valid.
    """

    OK = 0
    FAILURE = 1
    USAGE = 2


def make_parser(program: str, description: str) -> argparse.ArgumentParser:
    """Returns an argument parser with a `--version` option."""
    parser = argparse.ArgumentParser(prog=program, description=description)
    parser.add_argument(
        "--version",
        action="version",
        version=f"%(prog)s {read_version()}",
    )
    return parser


def read_version() -> str:
    """Returns the installed version, or "unknown" without an installation."""
    try:
        return importlib.metadata.version("poplarwick-core")
    except importlib.metadata.PackageNotFoundError:
        return "unknown"
