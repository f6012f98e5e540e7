"""A small deployment for the cases: real instances before stand-ins.

The instances are processes of the deploy file's command. The platform's store,
the replicas and the clients are stand-ins in the process of the script; store
and plain replicas are the project's own.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
import tempfile
import time
import types
from typing import Any
from typing import Self
from typing import TextIO

from aiohttp import web

from poplarwick_standins import platform_documents as documents
from poplarwick_standins import platform_replica
from poplarwick_standins import platform_store

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
PORTS = (8_227, 8_220, 7_340, 7_341)
HEARTBEAT_S = 1.2
PAIR_S = 0.162e-9
"""Time for a pair of a token and an earlier one (`pairs_per_m`)."""
READY_TIMEOUT_S = 30.0
LIMIT_S = 110.0
"""Time limit of a case, after which it ends its processes."""


class Engine(platform_replica.Replica):
    """A replica that prefills one prompt after the other.

    Helpers prefill even parts. The first token follows the last part, as the
    pages say; their reservations and slots are those of the project's stand-in.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.prefill = asyncio.Lock()

    def choose_event_count(self, headers: Any) -> int:
        """Returns the number of events of a stream."""
        del headers
        return self.event_count

    async def _stream(
        self, request: Any, execution: Any, headers: Any
    ) -> web.StreamResponse:
        addresses = [
            word.strip().partition("/")[0]
            for word in request.headers.get("Helpers", "").split(",")
            if word.strip()
        ]
        engines = {id(self): self}
        for address in addresses:
            peer = self._peers[address]
            engines[id(peer)] = peer
        tokens = int(request.headers["Token-Counts"].partition(",")[0])
        whole_s = tokens / platform_replica.PREFILL_TOKENS_PER_S
        whole_s += PAIR_S * tokens * tokens / 2
        await asyncio.gather(
            *(e.read(whole_s / len(engines)) for e in engines.values())
        )
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        for number in range(first, self.event_count + 1):
            await response.write(self.make_event(execution.request_id, number))
            await asyncio.sleep(self.event_interval_s)
        await response.write_eof()
        return response

    async def read(self, duration_s: float) -> None:
        """Prefills a part of a prompt."""
        async with self.prefill:
            await asyncio.sleep(duration_s)


class Instance:
    """One process of the system."""

    def __init__(self, name: str, ip: str, zone: str) -> None:
        self.name, self.ip, self.zone = name, ip, zone
        self.process: asyncio.subprocess.Process | None = None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)


class Deployment:
    """Starts everything when entered and ends it when left."""

    def __init__(self, case: str, instances: int = 2) -> None:
        self.store = platform_store.Store()
        self.store.page_size = 500
        self.replicas: list[platform_replica.Replica] = []
        self.peers: dict[str, platform_replica.Replica] = {}
        self.instances: list[Instance] = []
        self.began_s = time.monotonic()
        self._case = case
        self._count = instances
        self.leaving: set[str] = set()
        self._stack = contextlib.AsyncExitStack()
        self._record: TextIO | None = None

    def write(self, text: str) -> None:
        """Writes a line of the record, with the time since the start."""
        assert self._record is not None
        line = f"{time.monotonic() - self.began_s:8.3f}  {text}"
        self._record.write(line + "\n")
        self._record.flush()

    async def __aenter__(self) -> Self:
        enter = self._stack.enter_async_context
        self._record = self._stack.enter_context(
            (ROOT / "review" / self._case / "record.txt").open("w")
        )
        self._folder = pathlib.Path(
            self._stack.enter_context(tempfile.TemporaryDirectory())
        )
        await enter(self.store)
        return self

    async def add_replica(self, replica: platform_replica.Replica) -> None:
        """Starts a replica and writes its entry."""
        await self._stack.enter_async_context(replica)
        self.replicas.append(replica)
        self.peers[replica.address] = replica
        await self.store.put(f"servers/{replica.name}", replica.make_entry())

    async def start(self, configuration: dict[str, Any]) -> None:
        """Writes the configuration and starts the instances."""
        await self.store.put("op/config", configuration)
        self._task(self._beat())
        high, low = divmod(os.getpid(), 250)
        for number in range(self._count):
            name = f"front-{number}"
            ip = f"127.{16 + high % 200}.{low + 1}.{number + 2}"
            instance = Instance(name, ip, "abc"[number % 3])
            self.instances.append(instance)
            await self.launch(instance)
        for instance in self.instances:
            await self.wait_ready(instance)
        await asyncio.sleep(2.0)

    async def launch(self, instance: Instance) -> None:
        """Starts the process of an instance as the deploy file says."""
        settings = documents.make_settings(
            instance.name,
            PORTS,
            self.store.address,
            ip=instance.ip,
            zone=instance.zone,
        )
        path = self._folder / f"{instance.name}.json"
        path.write_text(json.dumps(settings))
        log = (self._folder / f"{instance.name}.log").open("ab")
        keep = os.environ.get("REVIEW_LOGS")
        if keep:
            log = (pathlib.Path(keep) / f"{instance.name}.log").open("ab")
        instance.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "deploy/launch.py",
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "POPLARWICK_NODE_FILE": str(path),
            },
            stdout=log,
            stderr=log,
        )
        log.close()

    async def wait_ready(self, instance: Instance) -> None:
        """Waits until the balancer's check of an instance passes."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(
                    instance.ip, PORTS[1]
                )
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: r\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return
            await asyncio.sleep(0.2)
        raise RuntimeError(f"{instance.name} is not ready")

    async def _beat(self) -> None:
        """Writes the entries of the replicas again and again."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for replica in self.replicas:
                if replica.is_open:
                    await self.store.put(
                        f"servers/{replica.name}", replica.make_entry()
                    )

    def _task(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._stack.callback(task.cancel)

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        for instance in self.instances:
            if (
                instance.process is None
                or instance.process.returncode is not None
            ):
                continue
            instance.signal(signal.SIGCONT)
            instance.signal(signal.SIGKILL)
            await instance.process.wait()
        await self._stack.aclose()


class Answer:
    """What a client saw of one request.

    Attributes:
        sent_s: Monotonic time at which its last byte was sent.
        ended_s: Monotonic time of the end.
        status: Status; None without an answer.
        is_complete: Whether the answer is complete.
        left: Whether the client gave up.
        headers: Lower-case names and values of the answer.
        body: The body without its framing.
    """

    def __init__(self) -> None:
        self.sent_s = 0.0
        self.ended_s = 0.0
        self.status: int | None = None
        self.is_complete = False
        self.left = False
        self.headers: dict[str, str] = {}
        self.body = b""


async def call(
    ip: str,
    path: str,
    request_id: str,
    *,
    patience_s: float,
    deadline_ms: int,
    method: str = "POST",
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    gap_s: float | None = None,
) -> Answer:
    """Sends one request on a connection of its own.

    Args:
        ip: Address of the instance.
        path: Path of the request.
        request_id: Id of the request.
        patience_s: Time after which the client leaves.
        deadline_ms: Deadline that the client names.
        method: HTTP method.
        body: Body of the request.
        headers: Further headers.
        gap_s: Pause in the answer after which the client leaves.
    """
    answer = Answer()
    lines = {
        "Host": documents.HOST,
        "Request-Id": request_id,
        "Deadline-Ms": str(deadline_ms),
        "X-Api-Key": documents.API_KEY,
        "Content-Length": str(len(body)),
        **(headers or {}),
    }
    text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    writer = None
    try:
        async with asyncio.timeout(patience_s):
            reader, writer = await asyncio.open_connection(ip, PORTS[0])
            writer.write(
                f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode() + body
            )
            await writer.drain()
            answer.sent_s = time.monotonic()
            await _read(reader, answer, gap_s)
    except TimeoutError:
        answer.left = True
    except (OSError, ValueError, asyncio.IncompleteReadError):
        pass
    finally:
        answer.ended_s = time.monotonic()
        if writer is not None:
            writer.close()
    return answer


async def _read(
    reader: asyncio.StreamReader, answer: Answer, gap_s: float | None
) -> None:
    async with asyncio.timeout(gap_s):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *rest = head.split("\r\n")
    answer.status = int(first.split(" ")[1])
    for line in rest:
        name, _, value = line.partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while True:
            async with asyncio.timeout(gap_s):
                size = int(await reader.readline(), 16)
            if not size:
                break
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    else:
        length = int(answer.headers.get("content-length", "0"))
        answer.body = await reader.readexactly(length)
    answer.is_complete = True


def main(case: Any) -> None:
    """Runs a case and exits with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        code = asyncio.run(asyncio.wait_for(case(trouble), LIMIT_S))
    except Exception as error:
        print(f"could not run: {error!r}")
        code = NOT_RUN
    sys.exit(code)
