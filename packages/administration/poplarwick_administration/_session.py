"""What the operators' commands share."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import ssl
import sys
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

import uuid6

from poplarwick_administration import client
from poplarwick_administration import housekeeping
from poplarwick_administration import messages
from poplarwick_core import cli
from poplarwick_core import clock

Command = Callable[[argparse.Namespace], Awaitable[cli.ExitCode]]
Parsers = argparse._SubParsersAction  # noqa: SLF001

ATTEMPTS = 3
POLL_PERIOD_S = 0.25
PROGRESS_PERIOD_S = 1.0

T = TypeVar("T")


def add_command(
    parsers: Parsers[argparse.ArgumentParser],
    name: str,
    command: Command,
    summary: str,
) -> argparse.ArgumentParser:
    """Adds a command that talks to an instance and returns its parser."""
    parser = parsers.add_parser(name, help=summary, description=summary)
    parser.set_defaults(command=command)
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
    parser.add_argument(
        "--authority",
        metavar="FILE",
        type=pathlib.Path,
        help="certificates in PEM form that the instance's certificate must "
        "chain to; without it plain HTTP is used",
    )
    return parser


def add_environment(parser: argparse.ArgumentParser) -> None:
    """Adds the option that names the environment."""
    parser.add_argument("--environment", required=True, metavar="NAME")


def add_change(parser: argparse.ArgumentParser) -> None:
    """Adds the options of commands that change something."""
    parser.add_argument(
        "--change-id",
        metavar="ID",
        help="idempotency key; repeat a change whose answer was lost under "
        "the id that was printed",
    )
    parser.add_argument(
        "--wait",
        type=float,
        default=10.0,
        metavar="SECONDS",
        help="time to wait until the change is in force everywhere "
        "(default 10; 0 does not wait)",
    )


def open_client(parsed: argparse.Namespace) -> client.AdministrationClient:
    """Returns a client of the instance that the options name."""
    token = parsed.token_file.read_text(encoding="utf-8").strip()
    tls = None
    if parsed.authority is not None:
        tls = ssl.create_default_context(cafile=parsed.authority)
    return client.AdministrationClient(parsed.server, token, tls)


async def repeat_until_answered(
    parsed: argparse.Namespace, call: Callable[[str], Awaitable[T]]
) -> T:
    """Makes a change, again under the same id while no answer comes.

    Raises:
        client.UnreachableError: No answer came; it tells the change id.
        client.RefusedError: The change was refused.
    """
    change_id = parsed.change_id or str(uuid6.uuid7())
    for attempt in range(1, ATTEMPTS + 1):
        try:
            return await call(change_id)
        except client.UnreachableError as error:
            if attempt == ATTEMPTS:
                raise client.UnreachableError(
                    f"{error}; the change may have been made: repeat the "
                    f"command with --change-id {change_id}"
                ) from error
            await asyncio.sleep(POLL_PERIOD_S)
    raise AssertionError


async def wait_until_in_force(
    administration: client.AdministrationClient,
    accepted: messages.AcceptedMessage,
    timeout_s: float,
) -> cli.ExitCode:
    """Shows progress until a version is in force at all instances."""
    if timeout_s <= 0:
        return cli.ExitCode.OK
    deadline = clock.make_deadline(timeout_s)
    shown_s = clock.now_s()
    while True:
        status = await administration.read_status()
        if status.environment != accepted.environment:
            print(
                f"instance {status.instance} follows {status.environment}; "
                f"ask one of {accepted.environment} for the progress"
            )
            return cli.ExitCode.OK
        missing = _find_missing(status, accepted.version)
        if not missing:
            print("in force at all instances")
            return cli.ExitCode.OK
        if deadline.has_passed:
            names = ", ".join(missing)
            print(f"not confirmed by: {names}", file=sys.stderr)
            return cli.ExitCode.FAILURE
        if clock.now_s() - shown_s >= PROGRESS_PERIOD_S:
            shown_s = clock.now_s()
            done = len(status.instances) - len(missing)
            print(f"in force at {done} of {len(status.instances)} instances")
        await asyncio.sleep(POLL_PERIOD_S)


def _find_missing(
    status: messages.StatusMessage, version: int
) -> tuple[str, ...]:
    return tuple(
        one.instance
        for one in status.instances
        if one.state not in housekeeping.GONE_STATES
        and (one.version is None or one.version < version)
    )
