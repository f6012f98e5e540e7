"""Command line of the daemon."""

from __future__ import annotations

import argparse
import asyncio
import gc
import pathlib
import signal
import sys

from poplarwick_core import cli
from poplarwick_core import errors
from poplarwick_core import logs


def main(arguments: list[str] | None = None) -> int:
    """Parses the command line and runs an instance until it stops.

    Args:
        arguments: Command-line arguments; None means those of the process.

    Returns:
        Exit code of the process.
    """
    # SIGHUP would end the process before its handler is installed. Ignoring it
    # loses nothing, because the settings are read later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    parser = cli.make_parser(
        "poplarwick-node", "Runs one instance of the serving layer."
    )
    source = parser.add_mutually_exclusive_group(required=True)
    source.add_argument(
        "--settings",
        metavar="FILE",
        help="settings of the instance, in JSON with comments",
    )
    source.add_argument(
        "--platform-settings",
        metavar="FILE",
        help="settings file of the users' platform; serves its protocol",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parsed = parser.parse_args(arguments)
    # The two modes share no components. Each imports only its own modules,
    # because operators pay for the memory of every instance.
    if parsed.platform_settings is not None:
        return _run_on_platform(parsed)
    return _run_standalone(parsed)


def _run_standalone(parsed: argparse.Namespace) -> int:
    from poplarwick_core import tls
    from poplarwick_node import daemon
    from poplarwick_node import settings

    try:
        instance_settings = settings.read_settings(
            pathlib.Path(parsed.settings)
        )
    except errors.DocumentError as error:
        return _report_usage(error)
    if parsed.check:
        return cli.ExitCode.OK
    logs.configure_logs(
        instance_settings.log.level, instance=instance_settings.instance
    )
    try:
        asyncio.run(daemon.run(instance_settings))
    except tls.TlsError as error:
        return _report_usage(error)
    except OSError as error:
        return _report_failure(error)
    finally:
        # The collections at the interpreter's end would take as long as a third
        # of the time that a stop reserves for its end.
        gc.freeze()
    return cli.ExitCode.OK


def _run_on_platform(parsed: argparse.Namespace) -> int:
    from poplarwick_node import platform_main

    return platform_main.run(
        pathlib.Path(parsed.platform_settings), check_only=parsed.check
    )


def _report_usage(error: Exception) -> int:
    print(f"poplarwick-node: {error}", file=sys.stderr)
    return cli.ExitCode.USAGE


def _report_failure(error: OSError) -> int:
    logs.log_event("start_failed", "ERROR", reason=error)
    return cli.ExitCode.FAILURE


if __name__ == "__main__":
    sys.exit(main())
