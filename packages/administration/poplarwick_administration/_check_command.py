"""Command that checks a document before it is pushed."""

from __future__ import annotations

import argparse
import pathlib

from poplarwick_administration import _session
from poplarwick_administration import check_options
from poplarwick_administration import client
from poplarwick_configuration import check_report
from poplarwick_configuration import document_check
from poplarwick_core import cli
from poplarwick_core import errors
from poplarwick_core import jsonc


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
    check_options.add_options(parser)
    _session.add_connection_options(parser, is_required=False)


async def _check(parsed: argparse.Namespace) -> cli.ExitCode:
    source = str(parsed.file)
    try:
        text = jsonc.read_text(parsed.file)
        reference = await _read_reference(parsed, text)
        report = document_check.check_text(text, source, reference)
    except errors.DocumentError as error:
        report = check_report.make_unreadable_report(source, error)
    return check_options.print_report(report, parsed)


async def _read_reference(
    parsed: argparse.Namespace, text: str
) -> document_check.Reference | None:
    match parsed.against:
        case None:
            return None
        case check_options.IN_FORCE:
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
            check_options.IN_FORCE,
            "$",
            "--server is missing: the address of an instance",
        )
    try:
        async with _session.open_client(parsed) as administration:
            status = await administration.read_status()
            if status.environment != environment:
                raise errors.DocumentError(
                    check_options.IN_FORCE,
                    "$.environment",
                    f"{status.instance} follows environment "
                    f"{status.environment}; call an instance of {environment}",
                )
            if not status.version:
                return document_check.Reference("no version in force", None)
            stored = await administration.read_document(
                environment, status.version
            )
    except (client.ClientError, OSError, ValueError) as error:
        raise errors.DocumentError(
            check_options.IN_FORCE, "$", str(error)
        ) from error
    return document_check.Reference(
        f"version {status.version} in force", stored.text
    )
