"""Command line of the bench."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import signal
import sys

from poplarwick_bench import demo
from poplarwick_bench import report
from poplarwick_bench import runner
from poplarwick_bench import scenario
from poplarwick_bench.soak import run as soak
from poplarwick_core import cli
from poplarwick_core import errors
from poplarwick_core import jsonc
from poplarwick_core import logs


def main(arguments: list[str] | None = None) -> int:
    """Runs one command and returns its exit code."""
    parser = cli.make_parser(
        "poplarwick-bench", "Runs load tests, benchmarks and fault tests."
    )
    commands = parser.add_subparsers(metavar="COMMAND", required=True)
    _add_demo(commands)
    _add_run(commands)
    _add_list(commands)
    _add_compare(commands)
    _add_report(commands)
    _add_replay(commands)
    _add_soak(commands)
    parsed = parser.parse_args(arguments)
    logs.configure_logs("WARNING")
    try:
        return int(asyncio.run(_run(parsed)))
    except errors.DocumentError as error:
        print(f"poplarwick-bench: {error}", file=sys.stderr)
        return cli.ExitCode.USAGE
    except (errors.PoplarwickError, OSError) as error:
        print(f"poplarwick-bench: {error}", file=sys.stderr)
        return cli.ExitCode.FAILURE
    except asyncio.CancelledError:
        return cli.ExitCode.FAILURE
    except KeyboardInterrupt:
        return cli.ExitCode.OK


async def _run(parsed: argparse.Namespace) -> int:
    # On SIGTERM, cancellation stops the processes that the bench started.
    task = asyncio.ensure_future(parsed.command(parsed))
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    return int(await task)


def _add_demo(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    parser = commands.add_parser(
        "demo", help="starts a demo system and sends it a prompt"
    )
    parser.add_argument(
        "--prompt",
        metavar="FILE",
        type=_read_text,
        required=True,
        help="file with the prompt",
    )
    parser.add_argument(
        "--once", action="store_true", help="exit after the response"
    )
    parser.set_defaults(command=_run_demo)


def _add_run(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    parser = commands.add_parser(
        "run", help="runs a scenario and checks its metrics against bounds"
    )
    parser.add_argument("name", help="name of the scenario, or all")
    parser.add_argument("--seed", type=int, default=1, help="seed of the run")
    parser.add_argument(
        "--policy",
        type=scenario.Policy,
        default=scenario.Policy.CURRENT,
        help="one of " + ", ".join(p.value for p in scenario.Policy),
    )
    parser.add_argument(
        "--quick", action="store_true", help="halve durations and counts"
    )
    parser.add_argument(
        "--json", action="store_true", help="print only JSON lines"
    )
    parser.add_argument(
        "--results",
        metavar="DIRECTORY",
        type=pathlib.Path,
        help="save the results here, for compare",
    )
    parser.set_defaults(command=_run_scenario)


def _add_list(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    parser = commands.add_parser("list", help="lists the scenarios")
    parser.set_defaults(command=_list_scenarios)


def _add_compare(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    parser = commands.add_parser(
        "compare", help="shows the metrics of two results side by side"
    )
    parser.add_argument("first", metavar="A", type=pathlib.Path)
    parser.add_argument("second", metavar="B", type=pathlib.Path)
    parser.set_defaults(command=_compare)


def _add_report(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    parser = commands.add_parser(
        "report", help="plots the results saved by `run --results`"
    )
    parser.add_argument("results", metavar="DIRECTORY", type=pathlib.Path)
    parser.add_argument(
        "--output",
        metavar="FILE",
        type=pathlib.Path,
        default=pathlib.Path("report.html"),
        help="page to write; the plots go to the same directory",
    )
    parser.set_defaults(command=_write_report)


def _add_replay(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    parser = commands.add_parser(
        "replay",
        help="replays days of changing traffic through the placement decisions",
    )
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=8, help="number of days")
    parser.add_argument(
        "--engines", type=int, default=16, help="number of model engines"
    )
    parser.add_argument(
        "--scale", type=float, default=1.0, help="multiple of the normal load"
    )
    parser.add_argument(
        "--spread",
        action="store_true",
        help="place requests as instances without a placer do",
    )
    parser.set_defaults(command=_run_replay)


async def _run_replay(parsed: argparse.Namespace) -> int:
    from poplarwick_bench.replay import traffic

    days = [
        traffic.replay_changing_mix(
            seed,
            is_global=not parsed.spread,
            engine_count=parsed.engines,
            scale=parsed.scale,
        )
        for seed in range(parsed.seed, parsed.seed + parsed.seeds)
    ]
    print("kind       calls  on time   goodput")
    for name, kind in traffic.KINDS.items():
        jobs = [job for day in days for job in day[name]]
        on_time = traffic.share_on_time(jobs)
        goodput = traffic.calculate_goodput_share(kind, jobs)
        print(f"{name:<10} {len(jobs):>5}  {on_time:>7.3f}  {goodput:>8.3f}")
    return cli.ExitCode.OK


def _add_soak(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    parser = commands.add_parser(
        "soak",
        help="runs instances under seeded faults and checks their invariants",
    )
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of consecutive seeds"
    )
    parser.add_argument(
        "--minutes",
        type=float,
        default=1.0,
        help="minutes of each load",
    )
    parser.add_argument(
        "--regressions",
        metavar="FILE",
        type=pathlib.Path,
        help="run the seeds of this file, each with its own duration",
    )
    parser.add_argument(
        "--planned", action="store_true", help="only planned operations"
    )
    parser.add_argument(
        "--untimed",
        action="store_true",
        help="skip time bounds, as on a busy machine",
    )
    parser.add_argument(
        "--keep",
        metavar="DIRECTORY",
        type=pathlib.Path,
        help="keep settings and logs in this directory",
    )
    parser.set_defaults(command=_run_soak)


async def _run_soak(parsed: argparse.Namespace) -> int:
    holds = True
    for seed, seconds in _choose_soaks(parsed):
        options = soak.Options(
            seed=seed,
            duration_s=seconds,
            is_timed=not parsed.untimed,
            planned_only=parsed.planned,
            output_directory=parsed.keep and parsed.keep / str(seed),
        )
        result = await soak.run(options)
        for line in soak.format_report(options, result):
            print(line, flush=True)
        holds = holds and not result.findings
    return cli.ExitCode.OK if holds else cli.ExitCode.FAILURE


def _choose_soaks(parsed: argparse.Namespace) -> list[tuple[int, float]]:
    """Returns seeds and load durations in seconds."""
    if parsed.regressions is None:
        seeds = range(parsed.seed, parsed.seed + parsed.seeds)
        return [(seed, parsed.minutes * 60) for seed in seeds]
    regressions = jsonc.read_file(parsed.regressions, soak.Regressions)
    return [(entry.seed, entry.seconds) for entry in regressions.seeds]


async def _write_report(parsed: argparse.Namespace) -> int:
    report.write_report(parsed.results, parsed.output)
    print(parsed.output)
    return cli.ExitCode.OK


async def _run_scenario(parsed: argparse.Namespace) -> int:
    holds = await runner.run(
        parsed.name,
        parsed.policy,
        parsed.seed,
        is_quick=parsed.quick,
        folder=parsed.results,
        as_json=parsed.json,
    )
    return cli.ExitCode.OK if holds else cli.ExitCode.FAILURE


async def _list_scenarios(parsed: argparse.Namespace) -> int:
    for name in scenario.list_scenarios():
        print(f"{name:<12} {scenario.read_scenario(name).summary}")
    return cli.ExitCode.OK


async def _compare(parsed: argparse.Namespace) -> int:
    first = jsonc.read_file(parsed.first, scenario.Result)
    second = jsonc.read_file(parsed.second, scenario.Result)
    print(runner.make_comparison(first, second))
    return cli.ExitCode.OK


def _read_text(path: str) -> str:
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise argparse.ArgumentTypeError(str(error)) from error


async def _run_demo(parsed: argparse.Namespace) -> int:
    return await demo.run(parsed.prompt, once=parsed.once)


if __name__ == "__main__":
    sys.exit(main())
