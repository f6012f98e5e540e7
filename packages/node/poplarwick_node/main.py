"""Command line of the daemon."""

from __future__ import annotations

import asyncio
import pathlib
import sys

from poplarwick_core import cli
from poplarwick_core import errors
from poplarwick_core import logs
from poplarwick_core import tls
from poplarwick_node import daemon
from poplarwick_node import settings


def main(arguments: list[str] | None = None) -> int:
    """Runs an instance until it is told to stop."""
    parser = cli.make_parser(
        "poplarwick-node", "Runs one instance of the serving layer."
    )
    parser.add_argument(
        "--settings",
        required=True,
        metavar="FILE",
        help="settings of the instance, in JSON with comments",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parsed = parser.parse_args(arguments)
    try:
        checked = settings.read_settings(pathlib.Path(parsed.settings))
    except errors.DocumentError as error:
        print(f"poplarwick-node: {error}", file=sys.stderr)
        return cli.ExitCode.USAGE
    if parsed.check:
        return cli.ExitCode.OK
    logs.configure_logs(checked.log.level, instance=checked.instance)
    return _run(checked)


def _run(checked: settings.Settings) -> int:
    try:
        asyncio.run(daemon.run(checked))
    except tls.TlsError as error:
        print(f"poplarwick-node: {error}", file=sys.stderr)
        return cli.ExitCode.USAGE
    except OSError as error:
        logs.log_event("start_failed", "ERROR", reason=error)
        return cli.ExitCode.FAILURE
    return cli.ExitCode.OK


if __name__ == "__main__":
    sys.exit(main())
