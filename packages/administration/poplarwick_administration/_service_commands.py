"""Commands that take targets out of service and show the state of the fleet."""

from __future__ import annotations

import argparse
import asyncio
import sys

import msgspec

from poplarwick_administration import _document_commands
from poplarwick_administration import _output
from poplarwick_administration import _session
from poplarwick_administration import messages
from poplarwick_configuration import drain_marks
from poplarwick_core import cli

WATCH_PERIOD_S = 1.0
CLEAR_SCREEN = "\x1b[H\x1b[2J"


def add_commands(
    groups: _session.Parsers[argparse.ArgumentParser],
) -> None:
    """Adds a group for each kind of target, `status` and `watch`."""
    for kind in drain_marks.TargetKind:
        group = groups.add_parser(
            kind.value,
            help=f"takes a {kind.value} out of service or puts it back",
        )
        commands = group.add_subparsers(metavar="COMMAND", required=True)
        _add_drain_commands(commands, kind)
    status = _session.add_command(
        groups, "status", _show_status, "shows the state of the fleet"
    )
    status.add_argument("--json", action="store_true", dest="is_json")
    watch = _session.add_command(
        groups, "watch", _watch, "shows the state of the fleet periodically"
    )
    watch.add_argument(
        "--count", type=int, metavar="N", help="stop after N updates"
    )


def _add_drain_commands(
    commands: _session.Parsers[argparse.ArgumentParser],
    kind: drain_marks.TargetKind,
) -> None:
    take_out = _session.add_command(
        commands, "out", _take_out, f"takes a {kind.value} out of service"
    )
    take_out.add_argument(
        "--force",
        action="store_true",
        help="proceed even if a model or service has no endpoint left",
    )
    put_in = _session.add_command(
        commands, "in", _put_in, f"puts a {kind.value} back into service"
    )
    for parser in (take_out, put_in):
        parser.set_defaults(kind=kind)
        parser.add_argument("name", metavar="NAME")
        _session.add_environment_option(parser)
        _session.add_change_options(parser)


async def _take_out(parsed: argparse.Namespace) -> cli.ExitCode:
    target = f"{parsed.kind.value}/{parsed.name}"
    async with _session.open_client(parsed) as administration:
        response = await _session.call_with_retries(
            parsed,
            lambda change_id: administration.take_out(
                parsed.environment,
                target,
                change_id=change_id,
                is_forced=parsed.force,
            ),
        )
        if isinstance(response, messages.HeldMessage):
            return _print_held(response)
        _document_commands.print_accepted(response)
        return await _session.wait_until_in_force(
            administration, response, parsed.wait
        )


def _print_held(held: messages.HeldMessage) -> cli.ExitCode:
    print(held.message)
    print(f"held by: {', '.join(held.held_by)}")
    if not held.missing:
        return cli.ExitCode.OK
    print(f"not confirmed by: {', '.join(held.missing)}", file=sys.stderr)
    return cli.ExitCode.FAILURE


async def _put_in(parsed: argparse.Namespace) -> cli.ExitCode:
    target = f"{parsed.kind.value}/{parsed.name}"
    async with _session.open_client(parsed) as administration:
        accepted = await _session.call_with_retries(
            parsed,
            lambda change_id: administration.put_in(
                parsed.environment, target, change_id=change_id
            ),
        )
        _document_commands.print_accepted(accepted)
        return await _session.wait_until_in_force(
            administration, accepted, parsed.wait
        )


async def _show_status(parsed: argparse.Namespace) -> cli.ExitCode:
    async with _session.open_client(parsed) as administration:
        status = await administration.read_status()
    if parsed.is_json:
        print(msgspec.json.encode(status).decode())
    else:
        print(_output.format_status(status))
    return cli.ExitCode.OK


async def _watch(parsed: argparse.Namespace) -> cli.ExitCode:
    shown = 0
    async with _session.open_client(parsed) as administration:
        while parsed.count is None or shown < parsed.count:
            status = await administration.read_status()
            prefix = CLEAR_SCREEN if sys.stdout.isatty() else ""
            print(prefix + _output.format_status(status), flush=True)
            shown += 1
            if shown != parsed.count:
                await asyncio.sleep(WATCH_PERIOD_S)
    return cli.ExitCode.OK
