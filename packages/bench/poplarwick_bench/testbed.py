"""Test bed of real processes on one machine."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random
import shutil
import socket
import tempfile
import types

import aiohttp
import msgspec
import tenacity

from poplarwick_bench import process
from poplarwick_bench import proxy
from poplarwick_node import settings

LOOPBACK = "127.0.0.1"
FIRST_PORT = 12_000
LAST_PORT = 32_000
READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.02


class Testbed:
    """Starts processes and stops exactly those on exit.

    Attributes:
        folder: Directory of settings and logs.
        keeps_folder: Whether the directory is kept on exit.
    """

    def __init__(self, folder: pathlib.Path | None = None) -> None:
        self.keeps_folder = folder is not None
        self.folder = folder or pathlib.Path(tempfile.mkdtemp(prefix="lab-"))
        self.folder.mkdir(parents=True, exist_ok=True)
        self._stack = contextlib.AsyncExitStack()
        self._processes: list[process.Process] = []
        self._nodes: list[process.Process] = []
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Testbed:
        """Opens the HTTP client."""
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=None)
        self._session = await self._stack.enter_async_context(
            aiohttp.ClientSession(connector=connector, timeout=timeout)
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Stops all processes: the instances before their dependencies."""
        await asyncio.gather(*(child.stop() for child in self._nodes))
        await asyncio.gather(*(child.stop() for child in self._processes))
        await self._stack.aclose()
        if not self.keeps_folder and error is None:
            shutil.rmtree(self.folder, ignore_errors=True)

    @property
    def session(self) -> aiohttp.ClientSession:
        """HTTP client without connection limit or timeout."""
        assert self._session is not None, "the test bed is not open"
        return self._session

    async def start_standin(
        self,
        kind: str,
        name: str,
        standin_settings: msgspec.Struct | None = None,
        address: str = f"{LOOPBACK}:0",
    ) -> process.Process:
        """Starts a stand-in and waits until it listens.

        Args:
            kind: Kind of `poplarwick-standin`.
            name: Name in the test bed.
            standin_settings: Settings; None uses the defaults.
            address: Host and port; port 0 selects a free one.
        """
        arguments = [kind, "--listen", address]
        if standin_settings is not None:
            path = self._write_settings(name, standin_settings)
            arguments += ["--settings", str(path)]
        return await self.start_program(
            name, "poplarwick_standins.main", arguments
        )

    async def start_program(
        self, name: str, module: str, arguments: list[str]
    ) -> process.Process:
        """Starts a module that prints its address; waits until it does."""
        started = await self._start(name, module, arguments)
        await started.wait_listening()
        return started

    async def start_node(self, node: settings.Settings) -> process.Process:
        """Starts an instance; `wait_ready` waits until it serves callers."""
        path = self._write_settings(node.instance, node)
        started = await self._start(
            node.instance, "poplarwick_node.main", ["--settings", str(path)]
        )
        self._nodes.append(started)
        started.address = node.listen.callers
        return started

    async def open_proxy(self, target: str, seed: int = 0) -> proxy.Proxy:
        """Opens a proxy that is closed with the test bed."""
        proxy_ = proxy.Proxy(target, seed)
        return await self._stack.enter_async_context(proxy_)

    async def wait_ready(
        self, child: process.Process, path: str = "/health/ready"
    ) -> None:
        """Polls a health path of a process until it returns 200.

        Raises:
            process.ProcessError: The process exited, or did not return 200
                within `READY_TIMEOUT_S`.
        """
        polling = tenacity.AsyncRetrying(
            wait=tenacity.wait_fixed(READY_POLL_S),
            stop=tenacity.stop_after_delay(READY_TIMEOUT_S),
            retry=tenacity.retry_if_result(lambda status: status != 200),
        )
        try:
            await polling(self._read_status, child, path)
        except tenacity.RetryError as error:
            raise process.ProcessError(
                f"{child.name} did not become ready in time: see {child.log}"
            ) from error

    async def wait_idle(self, address: str) -> None:
        """Polls an engine's state until it holds no memory.

        Returns without an error after `READY_TIMEOUT_S`, because the invariant
        checks report memory that was not released.
        """
        polling = tenacity.AsyncRetrying(
            wait=tenacity.wait_fixed(READY_POLL_S),
            stop=tenacity.stop_after_delay(READY_TIMEOUT_S),
            retry=tenacity.retry_if_result(lambda used: used != 0),
            retry_error_callback=lambda state: None,
        )
        await polling(
            self._read_memory_tokens, f"http://{address}/control/state"
        )

    async def _read_memory_tokens(self, url: str) -> int:
        async with self.session.get(url) as response:
            state = await response.json()
        return int(state["memory_used_tokens"])

    async def _start(
        self, name: str, module: str, arguments: list[str]
    ) -> process.Process:
        child = process.Process(name, module, arguments, self.folder)
        self._processes.append(child)
        return await self._stack.enter_async_context(child)

    async def _read_status(
        self, child: process.Process, path: str
    ) -> int | None:
        if not child.is_running:
            raise process.ProcessError(f"{child.name} ended: see {child.log}")
        try:
            async with self.session.get(
                f"http://{child.address}{path}"
            ) as response:
                return response.status
        except aiohttp.ClientError:
            return None

    def _write_settings(self, name: str, value: msgspec.Struct) -> pathlib.Path:
        path = self.folder / f"{name}.jsonc"
        path.write_bytes(msgspec.json.format(msgspec.json.encode(value)))
        return path


def find_free_addresses(count: int) -> list[str]:
    """Returns loopback addresses whose ports are currently free.

    The ports lie below the ephemeral range, so that no outgoing connection
    takes one before the process listens on it.
    """
    addresses: list[str] = []
    while len(addresses) < count:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        address = f"{LOOPBACK}:{port}"
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((LOOPBACK, port))
            if address not in addresses:
                addresses.append(address)
    return addresses
