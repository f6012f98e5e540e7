"""Measures how instances start: processor time, wall time and peak memory.

Instances are started by `deploy/launch.py` against the stand-in of the
platform's store, with callers already there. Requires the packages on the path
of this script; instances use `target/deps` of the build if it exists:
`PYTHONPATH=packages/core:packages/standins python scripts/measure_start.py`.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import statistics
import subprocess
import sys
import tempfile
from collections.abc import Iterator

import aiohttp

from poplarwick_core import clock
from poplarwick_standins import platform_calls
from poplarwick_standins import platform_documents
from poplarwick_standins import platform_replica
from poplarwick_standins import platform_store

ROOT = pathlib.Path(__file__).resolve().parents[1]
LAUNCHER = ROOT / "deploy" / "launch.py"
DEPENDENCIES = ROOT / "target" / "deps"

PORTS = (8_227, 8_220, 7_340, 7_341)
ENGINES = 2
POLL_PERIOD_S = 0.002
RETRY_PERIOD_S = 0.01
START_TIMEOUT_S = 60.0
IMPORTS_TIMEOUT_S = 4.0
"""Time after which all imports of a start are done."""

REQUEST_DEADLINE_S = 10.0
PLACER_KEY = "poplarwick/placer"
NS_PER_S = 1_000_000_000
US_PER_S = 1_000_000
KB_PER_MB = 1_000

STEPS = ("first connection", "store", "tenure", "first placement")
"""Steps of a start: the instance accepts a connection (interpreter and imports
are done), the first call of any reaches the store, one holds the tenure, and a
caller receives the response to the first request at the instance."""


@dataclasses.dataclass(frozen=True)
class Sample:
    """What a process has used so far.

    Attributes:
        wall_s: Time since its start in seconds.
        cpu_s: Processor time of all threads in seconds.
        peak_mb: Largest resident memory in megabytes.
    """

    wall_s: float
    cpu_s: float
    peak_mb: float


class Instance:
    """A started process and its samples by step."""

    def __init__(self, number: int, command: list[str], ip: str) -> None:
        self.ip = ip
        self.name = f"front-{number}"
        self.steps: dict[str, Sample] = {}
        self._began_at_s = clock.now_s()
        self.process = subprocess.Popen(
            command, stdout=subprocess.DEVNULL, env=_make_environment()
        )

    def record(self, step: str) -> None:
        """Takes the sample of a step, unless it was taken before."""
        if step not in self.steps:
            self.steps[step] = Sample(
                clock.now_s() - self._began_at_s,
                _read_cpu_s(self.process.pid),
                _read_peak_mb(self.process.pid),
            )


def main() -> None:
    """Prints the samples by step, and the imports by package if asked."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=1)
    parser.add_argument(
        "--power-loss",
        action="store_true",
        help="measure a second start, after all instances were killed",
    )
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--packages", type=int, default=15)
    parser.add_argument(
        "--python",
        default=str(pathlib.Path(sys.base_prefix) / "bin" / "python3"),
        help="interpreter, with its options, that runs the instances",
    )
    arguments = parser.parse_args()
    interpreter = arguments.python.split()
    for name, cpu_s in _measure_interpreter(interpreter).items():
        print(f"step={name} cpu_s={cpu_s:.3f}")
    for package, (self_s, modules) in _measure_imports(
        interpreter, arguments.packages
    ):
        print(f"package={package} import_s={self_s:.3f} modules={modules}")
    found: dict[str, list[Sample]] = collections.defaultdict(list)
    for _ in range(arguments.rounds):
        for instance in asyncio.run(
            _run(
                interpreter,
                arguments.instances,
                has_power_loss=arguments.power_loss,
            )
        ):
            for step, sample in instance.steps.items():
                found[step].append(sample)
    for step in STEPS:
        _print_step(step, found[step])


def _print_step(step: str, samples: list[Sample]) -> None:
    wall_s = sorted(sample.wall_s for sample in samples)
    print(
        f"step={step.replace(' ', '_')} samples={len(samples)}"
        f" cpu_s={statistics.median(s.cpu_s for s in samples):.3f}"
        f" wall_s={statistics.median(wall_s):.3f} wall_max_s={wall_s[-1]:.3f}"
        f" peak_mb={statistics.median(s.peak_mb for s in samples):.1f}"
    )


def _make_environment() -> dict[str, str]:
    environment = dict(os.environ)
    environment.pop("PYTHONPATH", None)
    if DEPENDENCIES.exists():
        environment["PYTHONPATH"] = str(DEPENDENCIES)
    return environment


def _measure_interpreter(interpreter: list[str]) -> dict[str, float]:
    """Returns the processor time of a process that does nothing."""
    times = []
    for _ in range(5):
        before = os.times()
        subprocess.run(
            [*interpreter, "-c", "pass"], env=_make_environment(), check=True
        )
        after = os.times()
        times.append(
            after.children_user
            + after.children_system
            - before.children_user
            - before.children_system
        )
    return {"interpreter": statistics.median(times)}


def _measure_imports(
    interpreter: list[str], limit: int
) -> list[tuple[str, tuple[float, int]]]:
    """Returns the import time and number of modules of the largest packages.

    The times include the overhead of `-X importtime` itself.
    """
    with _write_settings(1, "127.0.0.1:1") as paths:
        process = subprocess.Popen(
            [*interpreter, "-X", "importtime", str(LAUNCHER), str(paths[0])],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            env=_make_environment(),
            text=True,
        )
        # The store does not answer; the imports are done within a few seconds.
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.wait(IMPORTS_TIMEOUT_S)
        process.kill()
        _, errors = process.communicate()
    packages: dict[str, tuple[float, int]] = {}
    for line in errors.splitlines():
        if not line.startswith("import time:") or "self [us]" in line:
            continue
        self_us, _, name = line.removeprefix("import time:").split("|")
        package = name.strip().partition(".")[0]
        if package in sys.stdlib_module_names:
            package = "stdlib"
        self_s, modules = packages.get(package, (0.0, 0))
        packages[package] = (self_s + int(self_us) / US_PER_S, modules + 1)
    total = (
        sum(self_s for self_s, _ in packages.values()),
        sum(modules for _, modules in packages.values()),
    )
    largest = sorted(packages.items(), key=lambda item: -item[1][0])
    return [("total", total), *largest[:limit]]


def _choose_ip(number: int) -> str:
    high, low = divmod(os.getpid(), 250)
    return f"127.{16 + high % 200}.{low}.{number + 2}"


@contextlib.contextmanager
def _write_settings(count: int, store: str) -> Iterator[list[pathlib.Path]]:
    with tempfile.TemporaryDirectory() as folder:
        paths = []
        for number in range(count):
            path = pathlib.Path(folder) / f"front-{number}.json"
            path.write_text(
                json.dumps(
                    platform_documents.make_settings(
                        f"front-{number}", PORTS, store, ip=_choose_ip(number)
                    )
                )
            )
            paths.append(path)
        yield paths


async def _run(
    interpreter: list[str], count: int, *, has_power_loss: bool
) -> list[Instance]:
    """Starts instances at once and waits until each has placed a request."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(platform_store.Store())
        await store.put(
            platform_calls.CONFIGURATION_KEY,
            platform_documents.make_configuration(),
        )
        for number in range(ENGINES):
            replica = await stack.enter_async_context(
                platform_replica.Replica(f"i-{number}", "pool", peers={})
            )
            await store.put(
                platform_calls.make_endpoint_key(replica.name),
                replica.make_entry(),
            )
        paths = stack.enter_context(_write_settings(count, store.address))
        session = await stack.enter_async_context(aiohttp.ClientSession())
        if has_power_loss:
            await _start(interpreter, paths, store, session)
        return await _start(interpreter, paths, store, session)


async def _start(
    interpreter: list[str],
    paths: list[pathlib.Path],
    store: platform_store.Store,
    session: aiohttp.ClientSession,
) -> list[Instance]:
    """Starts instances, and kills them once each has placed a request."""
    instances: list[Instance] = []
    earlier = store.items.get(PLACER_KEY)
    try:
        for number, path in enumerate(paths):
            command = [*interpreter, str(LAUNCHER), str(path)]
            instances.append(Instance(number, command, _choose_ip(number)))
        async with (
            asyncio.timeout(START_TIMEOUT_S),
            asyncio.TaskGroup() as group,
        ):
            for instance in instances:
                group.create_task(_call(session, instance))
                group.create_task(_watch_store(store, instance, earlier))
    finally:
        _stop(instances)
    return instances


def _stop(instances: list[Instance]) -> None:
    for instance in instances:
        instance.process.send_signal(signal.SIGKILL)
    for instance in instances:
        instance.process.wait()


async def _watch_store(
    store: platform_store.Store,
    instance: Instance,
    earlier: platform_store.Item | None,
) -> None:
    calls_before = len(store.calls)
    while not {"store", "tenure"} <= instance.steps.keys():
        # Calls cannot be told apart by instance: this is the first of them.
        if len(store.calls) > calls_before:
            instance.record("store")
        held = store.items.get(PLACER_KEY)
        if held is not None and (
            earlier is None or held.revision > earlier.revision
        ):
            instance.record("tenure")
        await asyncio.sleep(POLL_PERIOD_S)


async def _call(session: aiohttp.ClientSession, instance: Instance) -> None:
    """Sends a request until the instance answers it."""
    await _wait_until_connected(instance)
    url = f"http://{instance.ip}:{PORTS[0]}/label/"
    headers = platform_calls.make_headers(
        f"r-{instance.name}",
        platform_documents.API_KEY,
        REQUEST_DEADLINE_S,
        prompt_tokens=5_000,
        event_count=4,
    )
    while True:
        async with session.post(url, headers=headers) as response:
            if response.status == 200:
                await response.content.readany()
                instance.record("first placement")
                return
        await asyncio.sleep(RETRY_PERIOD_S)


async def _wait_until_connected(instance: Instance) -> None:
    while True:
        try:
            _, writer = await asyncio.open_connection(instance.ip, PORTS[0])
        except OSError:
            if instance.process.poll() is not None:
                raise SystemExit(f"{instance.name} has ended") from None
            await asyncio.sleep(POLL_PERIOD_S)
            continue
        instance.record("first connection")
        writer.close()
        return


def _read_cpu_s(pid: int) -> float:
    """Returns the processor time of the threads of a process."""
    total_ns = 0
    for path in pathlib.Path(f"/proc/{pid}/task").glob("*/schedstat"):
        with contextlib.suppress(FileNotFoundError):
            total_ns += int(path.read_text().split()[0])
    return total_ns / NS_PER_S


def _read_peak_mb(pid: int) -> float:
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmHWM"))
    return int(line.split()[1]) * 1_024 / KB_PER_MB / KB_PER_MB


if __name__ == "__main__":
    main()
