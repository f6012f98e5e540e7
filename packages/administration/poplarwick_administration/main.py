"""Command line for operators.

Every command but `document check` talks to the administration API of one
instance, no matter which.
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import sys
from collections.abc import Awaitable
from collections.abc import Callable

import uuid6

from poplarwick_administration import client
from poplarwick_administration import messages
from poplarwick_configuration import check
from poplarwick_core import cli

Command = Callable[[argparse.Namespace], Awaitable[cli.ExitCode]]

PUSH_ATTEMPTS = 3


def main(arguments: list[str] | None = None) -> int:
    """Runs one command and returns its exit code."""
    parsed = _make_parser().parse_args(arguments)
    command: Command = parsed.command
    try:
        return asyncio.run(_run(command, parsed))
    except KeyboardInterrupt:
        return cli.ExitCode.FAILURE


async def _run(command: Command, parsed: argparse.Namespace) -> cli.ExitCode:
    try:
        return await command(parsed)
    except client.RefusedError as error:
        _print_refusal(error.body)
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
    documents = groups.add_parser("document", help="environment documents")
    commands = documents.add_subparsers(metavar="COMMAND", required=True)
    check_parser = _add(
        commands, "check", _check_document, "checks a file without a server"
    )
    check_parser.add_argument("file", metavar="FILE", type=pathlib.Path)
    push = _add(commands, "push", _push_document, "stores a new version")
    push.add_argument("file", metavar="FILE", type=pathlib.Path)
    _add_server(push)
    _add_environment(push)
    _add_change(push)
    show = _add(commands, "show", _show_document, "prints a version as written")
    _add_server(show)
    _add_environment(show)
    show.add_argument("--version", type=int, metavar="N", dest="number")
    return parser


def _add(
    parsers: argparse._SubParsersAction[argparse.ArgumentParser],
    name: str,
    command: Command,
    summary: str,
) -> argparse.ArgumentParser:
    parser = parsers.add_parser(name, help=summary, description=summary)
    parser.set_defaults(command=command)
    return parser


def _add_server(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--server",
        required=True,
        metavar="HOST:PORT",
        help="administration address of any instance",
    )
    parser.add_argument(
        "--token-file",
        required=True,
        metavar="FILE",
        type=pathlib.Path,
        help="file that holds the operator's token",
    )


def _add_environment(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--environment", required=True, metavar="NAME")


def _add_change(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--expect",
        type=int,
        metavar="N",
        help="refuse unless N is the newest version",
    )
    parser.add_argument(
        "--change-id",
        metavar="ID",
        help="idempotency key; repeat a change whose answer was lost under "
        "the key that was printed",
    )


async def _check_document(parsed: argparse.Namespace) -> cli.ExitCode:
    text = parsed.file.read_text(encoding="utf-8")
    problems = check.check_document(text, str(parsed.file))
    for problem in problems:
        print(problem, file=sys.stderr)
    if problems:
        return cli.ExitCode.USAGE
    print(f"{parsed.file}: no problems")
    return cli.ExitCode.OK


async def _push_document(parsed: argparse.Namespace) -> cli.ExitCode:
    text = parsed.file.read_text(encoding="utf-8")
    problems = check.check_document(text, str(parsed.file))
    if problems:
        for problem in problems:
            print(problem, file=sys.stderr)
        return cli.ExitCode.USAGE
    change_id = parsed.change_id or str(uuid6.uuid7())
    async with _make_client(parsed) as administration:
        accepted = await _push_until_answered(
            administration, parsed, text, change_id
        )
    before = " (stored before)" if accepted.was_stored_before else ""
    print(
        f"{accepted.environment}: version {accepted.version} is stored{before}"
    )
    return cli.ExitCode.OK


async def _push_until_answered(
    administration: client.AdministrationClient,
    parsed: argparse.Namespace,
    text: str,
    change_id: str,
) -> messages.AcceptedMessage:
    for attempt in range(1, PUSH_ATTEMPTS + 1):
        try:
            return await administration.push_document(
                parsed.environment,
                text,
                change_id=change_id,
                expected_version=parsed.expect,
            )
        except client.UnreachableError as error:
            if attempt == PUSH_ATTEMPTS:
                raise client.UnreachableError(
                    f"{error}; the change may have been stored: repeat the "
                    f"command with --change-id {change_id}"
                ) from error
    raise AssertionError


async def _show_document(parsed: argparse.Namespace) -> cli.ExitCode:
    async with _make_client(parsed) as administration:
        shown = await administration.read_document(
            parsed.environment, parsed.number
        )
    sys.stdout.write(shown.text)
    return cli.ExitCode.OK


def _make_client(parsed: argparse.Namespace) -> client.AdministrationClient:
    token = parsed.token_file.read_text(encoding="utf-8").strip()
    return client.AdministrationClient(parsed.server, token)


def _print_refusal(body: messages.ErrorMessage) -> None:
    print(f"refused: {body.message}", file=sys.stderr)
    for problem in body.problems:
        place = f"line {problem.line}: " if problem.line else ""
        print(f"  {place}{problem.path}: {problem.message}", file=sys.stderr)
    if body.head is not None:
        head = body.head
        print(
            f"  version {head.version} by {head.author}: {head.action} "
            f"{head.detail} (change {head.change_id})",
            file=sys.stderr,
        )


if __name__ == "__main__":
    sys.exit(main())
