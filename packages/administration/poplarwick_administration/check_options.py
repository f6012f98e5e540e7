"""Options and output shared by the commands that check a file."""

from __future__ import annotations

import argparse
import pathlib
import sys

from poplarwick_configuration import check_report
from poplarwick_core import cli

IN_FORCE = "in-force"
"""Value of `--against` in place of a file."""


def add_options(parser: argparse.ArgumentParser) -> None:
    """Adds the file to check, what to compare it with, and the format."""
    parser.add_argument("file", metavar="FILE", type=pathlib.Path)
    parser.add_argument(
        "--against",
        metavar=f"FILE|{IN_FORCE}",
        help="also show the differences from another file or from the "
        "version in force",
    )
    parser.add_argument("--format", choices=("text", "json"), default="text")


def print_report(
    report: check_report.Report, parsed: argparse.Namespace
) -> cli.ExitCode:
    """Prints a report in the chosen format and returns its exit code."""
    if parsed.format == "json":
        print(check_report.encode_json(report))
    elif report.status is check_report.Status.UNREADABLE:
        print(check_report.format_text(report), file=sys.stderr)
    else:
        print(check_report.format_text(report))
    return report.exit_code
