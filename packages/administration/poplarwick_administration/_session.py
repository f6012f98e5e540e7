"""Options, retries and progress reports shared by the commands."""

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

MAX_ATTEMPTS = 3
POLL_PERIOD_S = 0.25
PROGRESS_PERIOD_S = 1.0

T = TypeVar("T")


def add_command(
    parsers: Parsers[argparse.ArgumentParser],
    name: str,
    command: Command,
    summary: str,
) -> argparse.ArgumentParser:
    """Adds a command that calls an instance and returns its parser."""
    parser = parsers.add_parser(name, help=summary, description=summary)
    parser.set_defaults(command=command)
    add_connection_options(parser, is_required=True)
    return parser


def add_connection_options(
    parser: argparse.ArgumentParser, *, is_required: bool
) -> None:
    """Adds the options for the connection to an instance."""
    parser.add_argument(
        "--server",
        required=is_required,
        metavar="HOST:PORT",
        help="administration address of any instance",
    )
    parser.add_argument(
        "--token-file",
        metavar="FILE",
        type=pathlib.Path,
        help="file that contains the token of the operator",
    )
    parser.add_argument(
        "--certificate",
        metavar="FILE",
        type=pathlib.Path,
        help="client certificate in PEM format to use in place of a token; "
        "requires --authority",
    )
    parser.add_argument(
        "--certificate-key",
        metavar="FILE",
        type=pathlib.Path,
        help="private key of the client certificate in PEM format",
    )
    parser.add_argument(
        "--authority",
        metavar="FILE",
        type=pathlib.Path,
        help="CA certificates in PEM format that verify the certificate of "
        "the instance; without this option plain HTTP is used",
    )


def add_environment_option(parser: argparse.ArgumentParser) -> None:
    """Adds the option that selects the environment."""
    parser.add_argument("--environment", required=True, metavar="NAME")


def add_change_options(parser: argparse.ArgumentParser) -> None:
    """Adds the options of commands that make changes."""
    parser.add_argument(
        "--change-id",
        metavar="ID",
        help="idempotency key; to retry a change whose response was lost, "
        "pass the id that was printed",
    )
    parser.add_argument(
        "--wait",
        type=float,
        default=10.0,
        metavar="SECONDS",
        help="maximum time to wait until the change is in force at all "
        "instances (default: 10; 0 does not wait)",
    )


def open_client(parsed: argparse.Namespace) -> client.AdministrationClient:
    """Returns a client for the instance given by the options."""
    token = None
    if parsed.token_file is not None:
        token = parsed.token_file.read_text(encoding="utf-8").strip()
    tls = None
    if parsed.authority is not None:
        tls = ssl.create_default_context(cafile=parsed.authority)
    if tls is not None and parsed.certificate is not None:
        tls.load_cert_chain(parsed.certificate, parsed.certificate_key)
    return client.AdministrationClient(parsed.server, token, tls)


async def call_with_retries(
    parsed: argparse.Namespace, call: Callable[[str], Awaitable[T]]
) -> T:
    """Makes a change and retries it with the same id if no response arrives.

    Args:
        parsed: Parsed command line, which may contain the change id.
        call: Makes the change with the given change id.

    Raises:
        client.UnreachableError: No attempt received a response. The message
            contains the change id.
        client.RefusedError: The change was refused.
    """
    change_id = parsed.change_id or str(uuid6.uuid7())
    for attempt in range(1, MAX_ATTEMPTS + 1):
        try:
            return await call(change_id)
        except client.UnreachableError as error:
            if attempt == MAX_ATTEMPTS:
                raise client.UnreachableError(
                    f"{error}; the change may have been made: retry the "
                    f"command with --change-id {change_id}"
                ) from error
            await asyncio.sleep(POLL_PERIOD_S)
    raise AssertionError


async def wait_until_in_force(
    administration: client.AdministrationClient,
    accepted: messages.AcceptedMessage,
    timeout_s: float,
) -> cli.ExitCode:
    """Prints progress until a version is in force at all instances.

    Args:
        administration: Client of any instance.
        accepted: The change to wait for.
        timeout_s: Maximum time to wait, in seconds; 0 does not wait.

    Returns:
        `FAILURE` if an instance did not confirm the version in time.
    """
    if timeout_s <= 0:
        return cli.ExitCode.OK
    deadline = clock.make_deadline(timeout_s)
    last_progress_s = clock.now_s()
    while True:
        status = await administration.read_status()
        if status.environment != accepted.environment:
            print(
                f"instance {status.instance} follows environment "
                f"{status.environment}; call an instance of "
                f"{accepted.environment} to see the progress"
            )
            return cli.ExitCode.OK
        unconfirmed = _find_unconfirmed(status, accepted.version)
        if not unconfirmed:
            print("in force at all instances")
            return cli.ExitCode.OK
        if deadline.has_passed:
            names = ", ".join(unconfirmed)
            print(f"not confirmed by: {names}", file=sys.stderr)
            return cli.ExitCode.FAILURE
        if clock.now_s() - last_progress_s >= PROGRESS_PERIOD_S:
            last_progress_s = clock.now_s()
            done = len(status.instances) - len(unconfirmed)
            print(f"in force at {done} of {len(status.instances)} instances")
        await asyncio.sleep(POLL_PERIOD_S)


def _find_unconfirmed(
    status: messages.StatusMessage, version: int
) -> tuple[str, ...]:
    return tuple(
        member.instance
        for member in status.instances
        if member.state not in housekeeping.DEAD_STATES
        and (member.version is None or member.version < version)
    )
