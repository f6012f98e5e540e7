"""Conventions shared by the command-line programs."""

from __future__ import annotations

import argparse
import enum
from collections.abc import Sequence
from typing import Any


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
        "--version", action=_ShowVersion, nargs=0, help="show the version"
    )
    return parser


class _ShowVersion(argparse.Action):
    """Reads the version only when it is shown, which takes a while."""

    def __call__(
        self,
        parser: argparse.ArgumentParser,
        namespace: argparse.Namespace,
        values: str | Sequence[Any] | None,
        option_string: str | None = None,
    ) -> None:
        del namespace, values, option_string
        print(f"{parser.prog} {read_version()}")
        parser.exit()


def read_version() -> str:
    """Returns the installed version, or "unknown" without an installation."""
    import importlib.metadata

    try:
        return importlib.metadata.version("poplarwick-core")
    except importlib.metadata.PackageNotFoundError:
        return "unknown"
