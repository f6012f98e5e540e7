"""Processes that the bench starts, and only ever ends by their own id."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
import types

import psutil

from poplarwick_core import errors

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
_READY_PREFIX = "listening "


class ProcessError(errors.PoplarwickError):
    """A process did not start, or ended when it should not."""


class Process:
    """One process of a lab.

    Args:
        name: Name in the lab, also that of its log file.
        module: Module that it runs.
        arguments: Its command line.
        folder: Directory of its log file.
        logs_output: Whether its standard output goes to the log too.

    Attributes:
        name: Name in the lab, also that of its log file.
        log: File that its standard error goes to.
        address: Host and port, once `wait_listening` has returned.
    """

    def __init__(
        self,
        name: str,
        module: str,
        arguments: list[str],
        folder: pathlib.Path,
        *,
        logs_output: bool = False,
    ) -> None:
        self._logs_output = logs_output
        self.name = name
        self.log = folder / f"{name}.log"
        self.address = ""
        self._command = [sys.executable, "-m", module, *arguments]
        self._process: asyncio.subprocess.Process | None = None
        self._is_paused = False

    async def __aenter__(self) -> Process:
        """Starts the process."""
        await self.start()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Ends the process."""
        await self.stop()

    @property
    def id(self) -> int:
        """Operating system's id of the process."""
        return self._get().pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Starts the process, again if it has ended.

        Raises:
            ProcessError: It runs already.
        """
        if self.is_running:
            raise ProcessError(f"{self.name} runs already")
        with self.log.open("ab") as log:
            # An own session keeps Ctrl-C for the bench alone.
            self._process = await asyncio.create_subprocess_exec(
                *self._command,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log if self._logs_output else asyncio.subprocess.PIPE,
                stderr=log,
                start_new_session=True,
            )
        self._is_paused = False

    async def wait_listening(self) -> None:
        """Waits for the line `listening HOST:PORT`.

        Raises:
            ProcessError: It ended or printed nothing in time.
        """
        stdout = self._get().stdout
        assert stdout is not None
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                line = (await stdout.readline()).decode().strip()
        except TimeoutError as error:
            raise ProcessError(f"{self.name} is not ready in time") from error
        if not line.startswith(_READY_PREFIX):
            raise ProcessError(f"{self.name} did not start: see {self.log}")
        self.address = line.removeprefix(_READY_PREFIX)

    def pause(self) -> None:
        """Stops the process's clock, as a stalled machine would."""
        self._send(signal.SIGSTOP)
        self._is_paused = True

    def resume(self) -> None:
        """Lets a paused process go on."""
        self._send(signal.SIGCONT)
        self._is_paused = False

    def send_reload_signal(self) -> None:
        """Tells the process that its settings have changed."""
        self._send(signal.SIGHUP)

    def terminate(self) -> None:
        """Asks the process to stop in its own time."""
        self._send(signal.SIGTERM)

    async def kill(self) -> None:
        """Ends the process at once."""
        self._send(signal.SIGKILL)
        await self._get().wait()

    async def wait(self, timeout_s: float) -> int | None:
        """Returns the exit code, or None if it still runs by then."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._get().wait()
        except TimeoutError:
            return None

    async def stop(self) -> int | None:
        """Ends the process gracefully; kills it if that takes too long.

        Returns:
            Its exit code, or None if it had to be killed.
        """
        if not self.is_running:
            return None if self._process is None else self._process.returncode
        if self._is_paused:
            self.resume()
        self.terminate()
        code = await self.wait(STOP_TIMEOUT_S)
        if code is None:
            await self.kill()
        return code

    def read_cpu_s(self) -> float:
        """Returns the processor time spent so far, in seconds."""
        times = psutil.Process(self.id).cpu_times()
        return float(times.user + times.system)

    def read_memory_bytes(self) -> int:
        """Returns the resident memory in bytes."""
        return int(psutil.Process(self.id).memory_info().rss)

    def _get(self) -> asyncio.subprocess.Process:
        if self._process is None:
            raise ProcessError(f"{self.name} was never started")
        return self._process

    def _send(self, number: signal.Signals) -> None:
        if not self.is_running:
            return
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.id, number)
