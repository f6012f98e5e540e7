"""Command line that checks a configuration of the users' platform."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import sys

from poplarwick_adapter import configuration_check
from poplarwick_adapter import keys
from poplarwick_adapter import settings
from poplarwick_adapter import store
from poplarwick_administration import check_options
from poplarwick_configuration import check_report
from poplarwick_core import cli
from poplarwick_core import errors
from poplarwick_core import ids
from poplarwick_core import jsonc
from poplarwick_platform import kv


def main(arguments: list[str] | None = None) -> int:
    """Checks a configuration before it is written to the store.

    Args:
        arguments: Command-line arguments; None means those of the process.

    Returns:
        Exit code of the process.
    """
    parser = cli.make_parser(
        "poplarwick-platform-check",
        "Checks a configuration for errors, entries without effect and limits "
        "that contradict each other.",
    )
    check_options.add_options(parser)
    parser.add_argument(
        "--store",
        metavar="HOST:PORT",
        help="address of the platform's store, for --against in-force",
    )
    parser.add_argument(
        "--settings",
        metavar="FILE",
        type=pathlib.Path,
        help="settings file of an instance; with it, regions that the "
        "deployment does not have are found",
    )
    parsed = parser.parse_args(arguments)
    source = str(parsed.file)
    try:
        value = jsonc.read_bytes(parsed.file)
        reference = _read_reference(parsed)
        report = configuration_check.check_configuration(
            value, source, reference, _read_regions(parsed.settings)
        )
    except errors.DocumentError as error:
        report = check_report.make_unreadable_report(source, error)
    return check_options.print_report(report, parsed)


def _read_reference(
    parsed: argparse.Namespace,
) -> tuple[str, bytes | None] | None:
    match parsed.against:
        case None:
            return None
        case check_options.IN_FORCE:
            return asyncio.run(_read_in_force(parsed.store))
        case path:
            return path, jsonc.read_bytes(pathlib.Path(path))


def _read_regions(path: pathlib.Path | None) -> frozenset[ids.RegionId] | None:
    if path is None:
        return None
    deployment = settings.read_settings(path)
    return frozenset(deployment.regions_by_domain.values())


async def _read_in_force(address: str | None) -> tuple[str, bytes | None]:
    """Reads the configuration in force.

    Raises:
        errors.DocumentError: The store cannot be read.
    """
    if address is None:
        raise errors.DocumentError(
            check_options.IN_FORCE, "$", "--store is missing"
        )
    try:
        async with store.StoreClient(address) as client:
            snapshot = await client.read(keys.ROUTING, kv.Purpose.CONFIGURATION)
    except kv.KvError as error:
        raise errors.DocumentError(
            check_options.IN_FORCE, "$", f"store: {error}"
        ) from error
    if not snapshot.entries:
        return "no version in force", None
    return "the version in force", snapshot.entries[0].value


if __name__ == "__main__":
    sys.exit(main())
