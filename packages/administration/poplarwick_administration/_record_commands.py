"""Commands about the audit trail and caller keys."""

from __future__ import annotations

import argparse

import msgspec

from poplarwick_administration import _document_commands
from poplarwick_administration import _output
from poplarwick_administration import _session
from poplarwick_administration import messages
from poplarwick_core import cli

FILTERS = ("author", "action", "result", "since_s", "until_s", "limit")


def add_commands(
    groups: _session.Parsers[argparse.ArgumentParser],
) -> None:
    """Adds the command `audit` and the group `key`."""
    audit = _session.add_command(
        groups, "audit", _list_audit, "lists accepted and refused changes"
    )
    _session.add_environment_option(audit)
    audit.add_argument("--json", action="store_true", dest="is_json")
    audit.add_argument("--author", metavar="NAME")
    audit.add_argument("--action", metavar="ACTION")
    audit.add_argument("--result", metavar="RESULT")
    for bound in ("since", "until"):
        audit.add_argument(
            f"--{bound}",
            type=int,
            metavar="SECONDS",
            dest=f"{bound}_s",
            help="time in seconds since the Unix epoch",
        )
    audit.add_argument("--limit", type=int, metavar="N")
    _add_key_commands(groups)


def _add_key_commands(
    groups: _session.Parsers[argparse.ArgumentParser],
) -> None:
    group = groups.add_parser(
        "key", help="manages caller keys of an organisation"
    )
    commands = group.add_subparsers(metavar="COMMAND", required=True)
    issue = _session.add_command(
        commands,
        "issue",
        _issue,
        "issues a key and prints its secret, which is shown only once",
    )
    rotate = _session.add_command(
        commands,
        "rotate",
        _issue,
        "issues a key that replaces another, which stays valid for a time",
    )
    revoke = _session.add_command(commands, "revoke", _revoke, "revokes a key")
    for parser in (issue, rotate, revoke):
        parser.add_argument("organisation", metavar="ORGANISATION")
        parser.add_argument("key", metavar="KEY", help="name of the key")
        _session.add_environment_option(parser)
        _session.add_change_options(parser)
        parser.set_defaults(replaces=None, overlap=0.0)
    rotate.add_argument(
        "--replaces",
        required=True,
        metavar="KEY",
        help="name of the key to replace",
    )
    rotate.add_argument(
        "--overlap",
        type=float,
        required=True,
        metavar="SECONDS",
        help="time for which the replaced key stays valid",
    )


async def _list_audit(parsed: argparse.Namespace) -> cli.ExitCode:
    values = ((name, getattr(parsed, name)) for name in FILTERS)
    filters = {name: str(value) for name, value in values if value is not None}
    async with _session.open_client(parsed) as administration:
        audit = await administration.read_audit(parsed.environment, filters)
    if parsed.is_json:
        print(msgspec.json.encode(audit).decode())
    else:
        print(_output.format_audit(audit.entries))
    return cli.ExitCode.OK


async def _issue(parsed: argparse.Namespace) -> cli.ExitCode:
    key_request = messages.KeyRequest(
        id=parsed.key, replaces=parsed.replaces, overlap_s=parsed.overlap
    )
    async with _session.open_client(parsed) as administration:
        issued = await _session.call_with_retries(
            parsed,
            lambda change_id: administration.issue_key(
                parsed.environment,
                parsed.organisation,
                key_request,
                change_id=change_id,
            ),
        )
    print(issued.secret)
    return cli.ExitCode.OK


async def _revoke(parsed: argparse.Namespace) -> cli.ExitCode:
    async with _session.open_client(parsed) as administration:
        accepted = await _session.call_with_retries(
            parsed,
            lambda change_id: administration.revoke_key(
                parsed.environment,
                parsed.organisation,
                parsed.key,
                change_id=change_id,
            ),
        )
        _document_commands.print_accepted(accepted)
        return await _session.wait_until_in_force(
            administration, accepted, parsed.wait
        )
