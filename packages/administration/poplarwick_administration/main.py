"""Command line for operators.

All commands except `document check`, `document schema` and `explain` call the
administration API of one instance. Any instance will do. `check` calls one only
to compare a file with the version in force.
"""

from __future__ import annotations

import argparse
import asyncio
import sys

from poplarwick_administration import _check_command
from poplarwick_administration import _document_commands
from poplarwick_administration import _explain_command
from poplarwick_administration import _output
from poplarwick_administration import _record_commands
from poplarwick_administration import _service_commands
from poplarwick_administration import _session
from poplarwick_administration import client
from poplarwick_administration import messages
from poplarwick_core import cli


def main(arguments: list[str] | None = None) -> int:
    """Runs one command and returns its exit code."""
    parsed = _make_parser().parse_args(arguments)
    try:
        return asyncio.run(_run(parsed.command, parsed))
    except KeyboardInterrupt:
        return cli.ExitCode.FAILURE


async def _run(
    command: _session.Command, parsed: argparse.Namespace
) -> cli.ExitCode:
    try:
        return await command(parsed)
    except client.RefusedError as error:
        _output.print_refusal(error.body)
        is_invalid = error.body.kind is messages.ErrorKind.INVALID
        return cli.ExitCode.USAGE if is_invalid else cli.ExitCode.FAILURE
    except client.ClientError as error:
        print(error, file=sys.stderr)
        return cli.ExitCode.FAILURE
    except (OSError, UnicodeDecodeError) as error:
        print(error, file=sys.stderr)
        return cli.ExitCode.USAGE


def _make_parser() -> argparse.ArgumentParser:
    parser = cli.make_parser("poplarwick", __doc__ or "")
    groups = parser.add_subparsers(metavar="COMMAND", required=True)
    _check_command.add_commands(groups)
    _document_commands.add_commands(groups)
    _service_commands.add_commands(groups)
    _record_commands.add_commands(groups)
    _explain_command.add_commands(groups)
    return parser


if __name__ == "__main__":
    sys.exit(main())
