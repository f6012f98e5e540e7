"""Command line of the stand-ins; each process runs one kind."""

from __future__ import annotations

import argparse
import asyncio
import importlib
import signal
import sys
from collections.abc import Awaitable
from collections.abc import Callable

from poplarwick_core import cli
from poplarwick_core import errors
from poplarwick_core import logs

KINDS = {
    "kv": "key-value service (etcd v3 JSON gateway protocol)",
    "instances": "list of instances, reported with a delay",
    "weights": "rate-limited weight store",
    "engine": "model engine",
    "service": "plain HTTP service",
}

ServeFunction = Callable[[argparse.Namespace], Awaitable[None]]


def main(arguments: list[str] | None = None) -> int:
    """Runs one stand-in until SIGINT or SIGTERM.

    Each kind has a module `poplarwick_standins.<kind>` with two functions:
    `add_arguments(parser)` and the coroutine `serve(arguments)`, which prints
    `listening HOST:PORT` once it accepts connections.

    Args:
        arguments: Command-line arguments; None for those of the process.

    Returns:
        Exit code.
    """
    parser = cli.make_parser("poplarwick-standin", __doc__ or "")
    kinds = parser.add_subparsers(dest="kind", required=True)
    modules = {}
    for kind, summary in KINDS.items():
        modules[kind] = importlib.import_module(f"poplarwick_standins.{kind}")
        child = kinds.add_parser(kind, help=summary, description=summary)
        child.add_argument(
            "--listen",
            default="127.0.0.1:0",
            metavar="HOST:PORT",
            help="address to listen on; port 0 selects a free port",
        )
        child.add_argument(
            "--settings",
            metavar="FILE",
            help="settings file, in JSON with comments",
        )
        modules[kind].add_arguments(child)
    parsed = parser.parse_args(arguments)
    logs.configure_logs(standin=parsed.kind)
    try:
        asyncio.run(_run(modules[parsed.kind].serve, parsed))
    except errors.DocumentError as error:
        print(error, file=sys.stderr)
        return cli.ExitCode.USAGE
    return cli.ExitCode.OK


async def _run(serve: ServeFunction, parsed: argparse.Namespace) -> None:
    task = asyncio.ensure_future(serve(parsed))
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, task.cancel)
    try:
        await task
    except asyncio.CancelledError:
        return


if __name__ == "__main__":
    sys.exit(main())
