"""Command line of the bench."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import sys

from poplarwick_bench import demo
from poplarwick_core import cli
from poplarwick_core import errors
from poplarwick_core import logs


def main(arguments: list[str] | None = None) -> int:
    """Runs one command and returns its exit code."""
    parser = cli.make_parser(
        "poplarwick-bench", "Starts systems, loads them and checks them."
    )
    commands = parser.add_subparsers(metavar="COMMAND", required=True)
    _add_demo(commands)
    parsed = parser.parse_args(arguments)
    logs.configure_logs("WARNING")
    try:
        return int(asyncio.run(parsed.command(parsed)))
    except errors.DocumentError as error:
        print(f"poplarwick-bench: {error}", file=sys.stderr)
        return cli.ExitCode.USAGE
    except (errors.PoplarwickError, OSError) as error:
        print(f"poplarwick-bench: {error}", file=sys.stderr)
        return cli.ExitCode.FAILURE
    except KeyboardInterrupt:
        return cli.ExitCode.OK


def _add_demo(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    parser = commands.add_parser(
        "demo", help="starts an embedded system and sends it a prompt"
    )
    parser.add_argument(
        "--prompt",
        metavar="FILE",
        type=_read_text,
        required=True,
        help="file with the prompt",
    )
    parser.add_argument(
        "--once", action="store_true", help="end after the answer"
    )
    parser.set_defaults(command=_run_demo)


def _read_text(path: str) -> str:
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise argparse.ArgumentTypeError(str(error)) from error


async def _run_demo(parsed: argparse.Namespace) -> int:
    return await demo.run(parsed.prompt, once=parsed.once)


if __name__ == "__main__":
    sys.exit(main())
