"""Command line for quarantines on the users' platform."""

from __future__ import annotations

import argparse
import asyncio
import getpass
import sys

from poplarwick_adapter import entry_checks
from poplarwick_adapter import entry_codec
from poplarwick_adapter import keys
from poplarwick_adapter import store
from poplarwick_catalogue import catalogue
from poplarwick_catalogue import quarantines
from poplarwick_core import cli
from poplarwick_core import errors
from poplarwick_core import ids
from poplarwick_platform import kv


class CommandError(errors.PoplarwickError):
    """A command cannot be carried out."""


def main(arguments: list[str] | None = None) -> int:
    """Lists, lifts and imposes quarantines.

    Args:
        arguments: Command-line arguments; None means those of the process.

    Returns:
        Exit code of the process.
    """
    parser = cli.make_parser(
        "poplarwick-quarantine",
        "Shows and changes which requests and parts of prompts are refused.",
    )
    parser.add_argument(
        "--store",
        metavar="HOST:PORT",
        required=True,
        help="address of the platform's store",
    )
    commands = parser.add_subparsers(dest="command", required=True)
    commands.add_parser("list", help="list quarantines and their evidence")
    lift = commands.add_parser("lift", help="serve the requests again")
    lift.add_argument("quarantine", metavar="ID", help="id, as listed")
    impose = commands.add_parser(
        "impose", help="refuse copies of a request, or prompts with the parts"
    )
    impose.add_argument("service", metavar="SERVICE")
    impose.add_argument(
        "parts",
        metavar="PART",
        nargs="*",
        help="id of a part; a prompt with all of them is refused",
    )
    impose.add_argument(
        "--request",
        metavar="FINGERPRINT",
        help="in place of parts: a request, as `fingerprint` in the logs",
    )
    parsed = parser.parse_args(arguments)
    try:
        asyncio.run(_run(parsed))
    except CommandError as error:
        print(f"poplarwick-quarantine: {error}", file=sys.stderr)
        return cli.ExitCode.USAGE
    except kv.KvError as error:
        print(f"poplarwick-quarantine: store: {error}", file=sys.stderr)
        return cli.ExitCode.FAILURE
    return cli.ExitCode.OK


async def _run(parsed: argparse.Namespace) -> None:
    async with store.StoreClient(parsed.store) as client:
        match parsed.command:
            case "list":
                for quarantine in await _read(client):
                    print(_format(quarantine))
            case "lift":
                await _lift(client, parsed.quarantine)
            case "impose":
                await _impose(
                    client, parsed.service, parsed.parts, parsed.request
                )


async def _read(client: store.StoreClient) -> list[quarantines.Quarantine]:
    snapshot = await client.read(
        keys.QUARANTINE_PREFIX, kv.Purpose.CONFIGURATION, is_prefix=True
    )
    known = []
    for entry in snapshot.entries:
        match entry_codec.decode_entry(entry.key, entry.value):
            case catalogue.QuarantineItem(quarantine):
                known.append(quarantine)
            case catalogue.InvalidItem(problem):
                print(
                    f"poplarwick-quarantine: {entry.key!a}: {problem}",
                    file=sys.stderr,
                )
    return known


def _format(quarantine: quarantines.Quarantine) -> str:
    state = "lifted" if quarantine.is_lifted else "in force"
    subject = f"parts {','.join(sorted(quarantine.parts))}"
    if quarantine.fingerprint is not None:
        subject = f"request {quarantine.fingerprint}"
    return (
        f"{quarantine.id}  {state}  {quarantine.service}  {subject}"
        f"  crashed {','.join(quarantine.endpoints) or '-'}"
        f"  version {quarantine.software_version or '-'}"
        f"  by {quarantine.imposed_by or '-'}"
    )


async def _lift(client: store.StoreClient, wanted: str) -> None:
    known = {q.id: q for q in await _read(client)}
    quarantine = known.get(quarantines.QuarantineId(wanted))
    if quarantine is None:
        raise CommandError(f"ID: there is no quarantine {wanted!r}")
    if quarantine.is_lifted:
        raise CommandError(f"ID: quarantine {wanted!r} is lifted already")
    await _write(client, quarantine.lift(getpass.getuser()))


async def _impose(
    client: store.StoreClient,
    service: str,
    parts: list[str],
    request: str | None,
) -> None:
    if bool(parts) == (request is not None):
        raise CommandError("PART: give either parts or --request")
    try:
        entry_checks.check_text("SERVICE", service)
        for part in parts:
            entry_checks.check_hexadecimal("PART", part)
        if request is not None:
            entry_checks.check_hexadecimal("--request", request)
    except entry_checks.EntryError as error:
        raise CommandError(str(error)) from error
    wanted = quarantines.Quarantine(
        ids.ServiceId(service),
        frozenset(ids.PromptPartId(part) for part in parts),
        imposed_by=getpass.getuser(),
        fingerprint=None
        if request is None
        else ids.RequestFingerprint(request),
    )
    registry = quarantines.Quarantines()
    for quarantine in await _read(client):
        registry.merge(quarantine)
    if not registry.impose(wanted):
        raise CommandError(f"quarantine {wanted.id} is in force already")
    await _write(client, registry.known[-1])


async def _write(
    client: store.StoreClient, quarantine: quarantines.Quarantine
) -> None:
    key = keys.QUARANTINE_PREFIX + quarantine.id
    snapshot = await client.read(key, kv.Purpose.CONFIGURATION)
    condition: kv.Condition = kv.KeyAbsent(key)
    for entry in snapshot.entries:
        condition = kv.KeyUnchanged(key, entry.mod_revision)
    result = await client.commit(
        (condition,),
        (kv.Put(key, entry_codec.encode_quarantine(quarantine)),),
        kv.Purpose.CONFIGURATION,
    )
    if isinstance(result, kv.Conflict):
        raise CommandError(
            f"quarantine {quarantine.id} was changed meanwhile; list it again"
        )
    print(_format(quarantine))


if __name__ == "__main__":
    sys.exit(main())
