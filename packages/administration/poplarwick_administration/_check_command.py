"""Command that checks a document before it is pushed."""

from __future__ import annotations

import argparse
import pathlib
import sys

from poplarwick_administration import _session
from poplarwick_administration import client
from poplarwick_configuration import check_report
from poplarwick_configuration import document_check
from poplarwick_core import cli
from poplarwick_core import errors
from poplarwick_core import jsonc

IN_FORCE = "in-force"
"""Value of `--against` in place of a file."""


def add_commands(
    groups: _session.Parsers[argparse.ArgumentParser],
) -> None:
    """Adds the command `check`."""
    summary = (
        "checks a document for errors, entries without effect and limits "
        "that contradict each other"
    )
    parser = groups.add_parser("check", help=summary, description=summary)
    parser.set_defaults(command=_check)
    add_report_options(parser)
    _session.add_connection_options(parser, is_required=False)


def add_report_options(parser: argparse.ArgumentParser) -> None:
    """Adds the file to check, what to compare it with, and the format."""
    parser.add_argument("file", metavar="FILE", type=pathlib.Path)
    parser.add_argument(
        "--against",
        metavar="FILE|in-force",
        help="also show the differences from another file or from the "
        "version in force",
    )
    parser.add_argument(
        "--format", choices=("text", "json"), default="text", dest="format"
    )


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


async def _check(parsed: argparse.Namespace) -> cli.ExitCode:
    source = str(parsed.file)
    try:
        text = jsonc.read_text(parsed.file)
        reference = await _read_reference(parsed, text)
        report = document_check.check_text(text, source, reference)
    except errors.DocumentError as error:
        report = check_report.make_unreadable_report(source, error)
    return print_report(report, parsed)


async def _read_reference(
    parsed: argparse.Namespace, text: str
) -> document_check.Reference | None:
    match parsed.against:
        case None:
            return None
        case "in-force":
            return await _read_in_force(parsed, text)
        case path:
            return document_check.Reference(
                path, jsonc.read_text(pathlib.Path(path))
            )


async def _read_in_force(
    parsed: argparse.Namespace, text: str
) -> document_check.Reference:
    """Reads the version in force in the environment of a document.

    Raises:
        errors.DocumentError: The document is not valid, or the version cannot
            be read.
    """
    environment = document_check.read_environment(text, str(parsed.file))
    if parsed.server is None:
        raise errors.DocumentError(
            IN_FORCE, "$", "--server is missing: the address of an instance"
        )
    try:
        async with _session.open_client(parsed) as administration:
            status = await administration.read_status()
            if status.environment != environment:
                raise errors.DocumentError(
                    IN_FORCE,
                    "$.environment",
                    f"{status.instance} follows environment "
                    f"{status.environment}; call an instance of {environment}",
                )
            if not status.version:
                return document_check.Reference("no version in force", None)
            stored = await administration.read_document(
                environment, status.version
            )
    except (client.ClientError, OSError, UnicodeDecodeError) as error:
        raise errors.DocumentError(IN_FORCE, "$", str(error)) from error
    return document_check.Reference(
        f"version {status.version} in force", stored.text
    )
