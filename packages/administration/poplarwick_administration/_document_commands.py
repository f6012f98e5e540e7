"""Commands that check, store, show and promote documents."""

from __future__ import annotations

import argparse
import pathlib
import sys

from poplarwick_administration import _changes
from poplarwick_administration import _output
from poplarwick_administration import _session
from poplarwick_administration import messages
from poplarwick_configuration import check
from poplarwick_configuration import document
from poplarwick_core import cli


def add_commands(
    groups: _session.Parsers[argparse.ArgumentParser],
) -> None:
    """Adds the group `document`."""
    group = groups.add_parser(
        "document", help="manages the documents of environments"
    )
    commands = group.add_subparsers(metavar="COMMAND", required=True)
    check_parser = commands.add_parser(
        "check",
        help="checks a file without calling an instance",
        description="checks a file without calling an instance",
    )
    check_parser.set_defaults(command=_check)
    check_parser.add_argument("file", metavar="FILE", type=pathlib.Path)
    schema = commands.add_parser(
        "schema",
        help="prints the JSON schema of documents",
        description="prints the JSON schema of documents",
    )
    schema.set_defaults(command=_print_schema)
    _add_write_commands(commands)
    _add_read_commands(commands)
    _add_promote_command(commands)


def _add_write_commands(
    commands: _session.Parsers[argparse.ArgumentParser],
) -> None:
    push = _session.add_command(
        commands, "push", _push, "stores a new version of a document"
    )
    push.add_argument("file", metavar="FILE", type=pathlib.Path)
    _session.add_environment_option(push)
    _session.add_change_options(push)
    _add_expect_option(push)
    rollback = _session.add_command(
        commands,
        "rollback",
        _roll_back,
        "stores the text of an earlier version as a new version",
    )
    rollback.add_argument("number", metavar="VERSION", type=int)
    _session.add_environment_option(rollback)
    _session.add_change_options(rollback)
    _add_expect_option(rollback)


def _add_read_commands(
    commands: _session.Parsers[argparse.ArgumentParser],
) -> None:
    show = _session.add_command(
        commands, "show", _show, "prints a version with its comments"
    )
    _session.add_environment_option(show)
    show.add_argument("--version", type=int, metavar="N", dest="number")
    diff = _session.add_command(
        commands, "diff", _diff, "shows the changes that a file would make"
    )
    diff.add_argument("file", metavar="FILE", type=pathlib.Path)
    _session.add_environment_option(diff)
    diff.add_argument(
        "--version",
        type=int,
        metavar="N",
        dest="number",
        help="compare with version N instead of the latest version",
    )
    history = _session.add_command(
        commands, "history", _list_history, "lists the versions"
    )
    _session.add_environment_option(history)


def _add_promote_command(
    commands: _session.Parsers[argparse.ArgumentParser],
) -> None:
    promote = _session.add_command(
        commands,
        "promote",
        _promote,
        "copies models, services and organisations to another environment",
    )
    promote.add_argument("source", metavar="SOURCE")
    promote.add_argument("target", metavar="TARGET")
    promote.add_argument("--version", type=int, metavar="N", dest="number")
    promote.add_argument(
        "--force",
        action="store_true",
        help="promote a version that was never in force in SOURCE",
    )
    promote.add_argument(
        "--yes", action="store_true", help="do not ask for confirmation"
    )
    _session.add_change_options(promote)


def _add_expect_option(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--expect",
        type=int,
        metavar="N",
        help="refuse the change unless N is the latest version",
    )


def _read_valid_document(path: pathlib.Path) -> str | None:
    """Returns the text of a file, or None after printing its problems."""
    text = path.read_text(encoding="utf-8")
    problems = check.check_document(text, str(path))
    for problem in problems:
        print(problem, file=sys.stderr)
    return None if problems else text


async def _check(parsed: argparse.Namespace) -> cli.ExitCode:
    if _read_valid_document(parsed.file) is None:
        return cli.ExitCode.USAGE
    print(f"{parsed.file}: no problems")
    return cli.ExitCode.OK


async def _print_schema(parsed: argparse.Namespace) -> cli.ExitCode:
    print(document.encode_schema())
    return cli.ExitCode.OK


async def _push(parsed: argparse.Namespace) -> cli.ExitCode:
    text = _read_valid_document(parsed.file)
    if text is None:
        return cli.ExitCode.USAGE
    async with _session.open_client(parsed) as administration:
        accepted = await _session.call_with_retries(
            parsed,
            lambda change_id: administration.push_document(
                parsed.environment,
                text,
                change_id=change_id,
                expected_version=parsed.expect,
            ),
        )
        print_accepted(accepted)
        return await _session.wait_until_in_force(
            administration, accepted, parsed.wait
        )


async def _roll_back(parsed: argparse.Namespace) -> cli.ExitCode:
    rollback_request = messages.RollbackRequest(
        version=parsed.number, expected_version=parsed.expect
    )
    async with _session.open_client(parsed) as administration:
        accepted = await _session.call_with_retries(
            parsed,
            lambda change_id: administration.roll_back(
                parsed.environment, rollback_request, change_id=change_id
            ),
        )
        print_accepted(accepted)
        return await _session.wait_until_in_force(
            administration, accepted, parsed.wait
        )


async def _show(parsed: argparse.Namespace) -> cli.ExitCode:
    async with _session.open_client(parsed) as administration:
        stored = await administration.read_document(
            parsed.environment, parsed.number
        )
    sys.stdout.write(stored.text)
    return cli.ExitCode.OK


async def _diff(parsed: argparse.Namespace) -> cli.ExitCode:
    text = _read_valid_document(parsed.file)
    if text is None:
        return cli.ExitCode.USAGE
    async with _session.open_client(parsed) as administration:
        stored = await administration.read_document(
            parsed.environment, parsed.number
        )
    print(f"from version {stored.head.version} to {parsed.file}:")
    differences = _changes.list_differences(stored.text, text)
    print(_output.format_differences(differences))
    return cli.ExitCode.OK


async def _list_history(parsed: argparse.Namespace) -> cli.ExitCode:
    filters = {"result": "accepted"}
    async with _session.open_client(parsed) as administration:
        audit = await administration.read_audit(parsed.environment, filters)
    print(_output.format_audit(audit.entries))
    return cli.ExitCode.OK


async def _promote(parsed: argparse.Namespace) -> cli.ExitCode:
    promotion_request = messages.PromotionRequest(
        source=parsed.source, version=parsed.number, is_forced=parsed.force
    )
    async with _session.open_client(parsed) as administration:
        preview = await administration.preview_promotion(
            parsed.target, promotion_request
        )
        _print_preview(parsed, preview)
        if not parsed.yes and not _confirm():
            print("no changes were made")
            return cli.ExitCode.FAILURE
        # Promotes exactly the versions that the preview showed.
        confirmed_request = messages.PromotionRequest(
            source=parsed.source,
            version=preview.source_version,
            expected_version=preview.target_version,
            is_forced=parsed.force,
        )
        accepted = await _session.call_with_retries(
            parsed,
            lambda change_id: administration.promote(
                parsed.target, confirmed_request, change_id=change_id
            ),
        )
        print_accepted(accepted)
        return await _session.wait_until_in_force(
            administration, accepted, parsed.wait
        )


def _print_preview(
    parsed: argparse.Namespace, preview: messages.PreviewMessage
) -> None:
    print(
        f"{parsed.source} version {preview.source_version} would change "
        f"{parsed.target} version {preview.target_version}:"
    )
    print(_output.format_differences(preview.differences))
    if not preview.was_in_force:
        print(f"this version was never in force in {parsed.source}")


def _confirm() -> bool:
    try:
        return input("promote? [y/N] ").strip().lower() in ("y", "yes")
    except EOFError:
        return False


def print_accepted(accepted: messages.AcceptedMessage) -> None:
    """Prints the version that contains a change."""
    suffix = (
        " (stored by an earlier call)" if accepted.was_stored_before else ""
    )
    print(
        f"{accepted.environment}: version {accepted.version} is stored{suffix}"
    )
