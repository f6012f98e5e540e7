"""A stop of an instance in the product's own mode under load.

Callers keep their connections open and send requests until the process is
gone. Run as a program, it plays seeds and prints what the stop lost.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import dataclasses
import json
import pathlib
import random
import re
import tempfile
import time

import uuid6

from poplarwick_bench import demo
from poplarwick_bench import fleet
from poplarwick_bench import history
from poplarwick_bench import testbed
from poplarwick_configuration import document
from poplarwick_node import settings
from poplarwick_standins import completions
from poplarwick_standins import engine_settings
from poplarwick_standins import service

GRACE_S = 8.0
"""Time from SIGTERM to SIGKILL."""

EARLY_SHARE = 5 / 6
"""Part of the grace period in which a stream may not be cut off while its
engine is at work."""

EARLY_REQUEST_S = 3.0
"""Time after SIGTERM up to which requests are excused for slow engines."""

LOSS_SLACK_S = 0.2
"""Time in which a request may cross the close of its connection."""

STANDSTILL_LEAD_S = 1.0

LOAD_S = 1.5
"""Time of the load before SIGTERM."""

MEMORY_TOKENS = 10_000
"""Memory of an engine: for about eight requests, so that more have to wait."""

PROMPT_TOKENS = 1_000
BYTES_PER_TOKEN = 4
OUTPUT_TOKENS = (10, 40, 100, 200, 300)
"""Lengths of answers: 0.2 to 6 s at the rate of the engines."""

CALL_TIMEOUT_S = 12.0
LONG_CALL_TIMEOUT_S = 60.0

LONG_OUTPUT_TOKENS = 700
"""Length of answers that outlast the grace period."""

LONG_CALLERS = 2
"""Callers that ask for such an answer first."""

KINDS = ("stream", "whole", "stock", "order")
KIND_WEIGHTS = (6, 3, 3, 2)

PERIODS_S = (0.05, 0.05, 0.05, 2.0)
"""Mean times for which callers keep a connection idle between requests."""


@dataclasses.dataclass(slots=True)
class Attempt:
    """What a caller saw of a request.

    Times are wall times in seconds, as in the logs of the endpoints.

    Attributes:
        name: Name under which endpoints record that they run it.
        kind: Kind of the request.
        instance: Instance that took it.
        in_chunks: Whether its body came in chunks.
        is_first: Whether it is the first one on its connection.
        began_at_s: Time of its first byte.
        sent_at_s: Time of its last byte; None if it was not sent whole.
        ended_at_s: Time of the end; None if the play ended first.
        status: Status of the answer; None without one.
        request_id: Id that the instance gave it; empty if it named none.
        outcome: What the instance said has become of it.
        is_complete: Whether the answer is complete.
        end: Why it is not.
    """

    name: str
    kind: str
    instance: str
    in_chunks: bool
    is_first: bool
    began_at_s: float
    sent_at_s: float | None = None
    ended_at_s: float | None = None
    status: int | None = None
    request_id: str = ""
    outcome: str = ""
    is_complete: bool = False
    end: str = ""


class Caller:
    """Sends requests on connections that it keeps open.

    Args:
        nodes: Instances, the preferred one first.
        period_s: Mean time between its requests.
        seed: Seed of the load.
        attempts: Receives what it sees.
        kinds: Kinds of its first requests; the others are chosen by chance.
    """

    def __init__(self, nodes, period_s, seed, attempts, kinds=()):
        self._kinds = list(kinds)
        self._nodes = nodes
        self._period_s = period_s
        self._rng = random.Random(seed)
        self._attempts = attempts

    async def run(self):
        """Sends requests until cancelled.

        It connects to the first instance that accepts a connection.
        """
        while True:
            for node in self._nodes:
                host, _, port = node.address.rpartition(":")
                try:
                    streams = await asyncio.open_connection(host, int(port))
                except OSError:
                    continue
                await self._use(node, *streams)
                break
            await asyncio.sleep(self._rng.uniform(0.0, 0.05))

    async def _use(self, node, reader, writer):
        is_first = True
        try:
            while not reader.at_eof():
                if not await self._call(node, reader, writer, is_first):
                    return
                is_first = False
                await asyncio.sleep(self._rng.expovariate(1 / self._period_s))
        finally:
            writer.close()

    async def _call(self, node, reader, writer, is_first):
        rng = self._rng
        if self._kinds:
            kind = self._kinds.pop(0)
        else:
            kind = rng.choices(KINDS, KIND_WEIGHTS)[0]
        key = str(uuid6.uuid7())
        head, body, name = make_request(kind, key, rng)
        attempt = Attempt(
            name,
            kind,
            node.name,
            bool(body) and rng.random() < 0.4,
            is_first,
            time.time(),
        )
        self._attempts.append(attempt)
        stays_open = False
        try:
            await self._send(writer, head, body, attempt)
            stays_open = await receive(reader, attempt)
            attempt.is_complete = attempt.end == ""
        except (OSError, ValueError, asyncio.IncompleteReadError) as error:
            attempt.end = repr(error)
        attempt.ended_at_s = time.time()
        return stays_open

    async def _send(self, writer, head, body, attempt):
        if not attempt.in_chunks:
            length = f"Content-Length: {len(body)}\r\n" if body else ""
            writer.write(f"{head}{length}\r\n".encode() + body)
            await writer.drain()
            attempt.sent_at_s = time.time()
            return
        writer.write(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
        pause_s = self._rng.choice((0.0, 0.01, 0.1, 0.3))
        while body:
            part, body = body[:1_500], body[1_500:]
            writer.write(b"%x\r\n%b\r\n" % (len(part), part))
            await writer.drain()
            await asyncio.sleep(pause_s * self._rng.random())
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        attempt.sent_at_s = time.time()


def make_request(kind, key, rng):
    """Returns the head of a request, its body and its name at endpoints."""
    method, path, body = "POST", "/v1/completions", {}
    match kind:
        case "stock":
            method, path = "GET", f"/services/{fleet.SERVICE}/stock"
        case "order":
            path = f"/services/{fleet.SERVICE}/orders"
            body = {"order": "tallow"}
        case _:
            prompt = key.ljust(PROMPT_TOKENS * BYTES_PER_TOKEN, "x")
            tokens = rng.choice(OUTPUT_TOKENS)
            body = {
                "model": fleet.MODEL,
                "prompt": prompt,
                "max_tokens": LONG_OUTPUT_TOKENS if kind == "long" else tokens,
                "stream": kind != "whole",
            }
            key = completions.digest_prompt(prompt)
    timeout_s = LONG_CALL_TIMEOUT_S if kind == "long" else CALL_TIMEOUT_S
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: poplarwick",
        f"Authorization: Bearer {fleet.make_secret(demo.ORGANISATION)}",
        f"Poplarwick-Timeout: {timeout_s:g}",
        f"Idempotency-Key: {key}",
    ]
    if body:
        lines.append("Content-Type: application/json")
    head = "".join(f"{line}\r\n" for line in lines)
    return head, json.dumps(body).encode() if body else b"", key


async def receive(reader, attempt):
    """Reads an answer and returns whether the connection stays open.

    A stream without its last event sets the end of the attempt.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    fields = {
        name.lower(): value.strip()
        for name, _, value in (
            line.partition(":") for line in head.split("\r\n")[1:]
        )
    }
    attempt.status = int(head.split(" ")[1])
    attempt.request_id = fields.get("poplarwick-request", "")
    attempt.outcome = fields.get("poplarwick-outcome", "")
    body = b""
    if fields.get("transfer-encoding") == "chunked":
        while size := int(await reader.readline(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    else:
        body = await reader.readexactly(int(fields["content-length"]))
    is_stream = fields.get("content-type", "").startswith("text/event-stream")
    if is_stream and b"data: [DONE]" not in body:
        attempt.end = "no last event"
    return fields.get("connection", "").lower() != "close"


def make_plan():
    """Returns a system of two instances, with little room at its engines."""
    engine = engine_settings.EngineSettings(
        models=(fleet.MODEL,), memory_tokens=MEMORY_TOKENS, starts_cold=False
    )
    return fleet.Plan(
        instances=2,
        engines=2,
        services=2,
        model=document.Model(
            id=fleet.MODEL,
            context_tokens=MEMORY_TOKENS,
            memory_tokens=MEMORY_TOKENS,
        ),
        engine=engine,
        service=service.ServiceSettings(delay_s=0.05),
        timing=settings.Timing(grace_s=GRACE_S),
    )


@dataclasses.dataclass(slots=True)
class Result:
    """What a play has shown.

    Attributes:
        attempts: Attempts at the instance that was stopped.
        stopped_at_s: Wall time of SIGTERM.
        exited_at_s: Wall time of the exit.
        exit_code: Exit code; None if it had to be killed.
        runs: Executions at endpoints, by name.
        log: Log of the instance that was stopped.
    """

    attempts: list
    stopped_at_s: float
    exited_at_s: float
    exit_code: int | None
    runs: dict
    log: str


async def play(
    seed,
    folder,
    *,
    callers=32,
    kill_after_s=GRACE_S,
    store_stands_still=False,
    standstill_s=0.0,
):
    """Plays one stop.

    Args:
        seed: Seed of the load.
        folder: Folder of settings and logs.
        callers: Number of callers.
        kill_after_s: Time from SIGTERM to SIGKILL.
        store_stands_still: Whether the key-value service stands still from
            SIGTERM on.
        standstill_s: Time for which the instance stands still, which ends
            `STANDSTILL_LEAD_S` before SIGTERM.
    """
    attempts = []
    async with testbed.Testbed(folder) as testbed_:
        system = fleet.Fleet(testbed_, make_plan())
        await system.start()
        leaving, other = system.nodes
        async with asyncio.TaskGroup() as group:
            tasks = []
            for number in range(callers):
                nodes = [leaving, other]
                if number % 5 == 4:
                    nodes.reverse()
                caller = Caller(
                    nodes,
                    PERIODS_S[number % len(PERIODS_S)],
                    seed * 10_007 + number,
                    attempts,
                    kinds=("long",) * (number < LONG_CALLERS),
                )
                tasks.append(group.create_task(caller.run()))
            await asyncio.sleep(LOAD_S)
            if standstill_s:
                leaving.pause()
                await asyncio.sleep(standstill_s)
                leaving.resume()
                await asyncio.sleep(STANDSTILL_LEAD_S)
            if store_stands_still:
                system.kv.pause()
            stopped_at_s = time.time()
            leaving.terminate()
            exit_code = await leaving.wait(kill_after_s)
            if exit_code is None:
                await leaving.kill()
            exited_at_s = time.time()
            # What callers see of the end arrives a little later.
            await asyncio.sleep(0.5)
            for task in tasks:
                task.cancel()
            # Nobody waits for the other one any more.
            await other.kill()
        log = leaving.log.read_text()
        name = leaving.name
    runs = collections.defaultdict(list)
    for execution in history.read_executions(folder):
        run = execution.idempotency_key or execution.prompt_digest
        runs[run].append(execution)
    return Result(
        [attempt for attempt in attempts if attempt.instance == name],
        stopped_at_s,
        exited_at_s,
        exit_code,
        runs,
        log,
    )


def find_lost(result, slack_s=LOSS_SLACK_S):
    """Returns requests that were sent whole and that the stop has lost.

    Args:
        result: What the play has shown.
        slack_s: Time in which a request that no endpoint ran may cross the
            close of its connection; None for any time.
    """
    return [
        attempt
        for attempt in result.attempts
        if attempt.sent_at_s is not None
        and not attempt.is_complete
        and not _crossed_close(result, attempt, slack_s)
        and not _was_at_work(result, attempt)
    ]


def _crossed_close(result, attempt, slack_s):
    if result.runs[attempt.name] or attempt.status is not None:
        return False
    if attempt.ended_at_s is None:
        return False
    crossed_s = attempt.ended_at_s - attempt.sent_at_s
    return slack_s is None or crossed_s <= slack_s


def _was_at_work(result, attempt):
    """Whether the end of the grace period excuses the loss."""
    if attempt.began_at_s > result.stopped_at_s + EARLY_REQUEST_S:
        return False
    late_s = result.stopped_at_s + EARLY_SHARE * GRACE_S
    entries = result.runs[attempt.name]
    if not entries or (attempt.ended_at_s or 0.0) <= late_s:
        return False
    last = entries[-1]
    return last.event is history.Event.STARTED or last.at_s > late_s


def find_begun_in_vain(result):
    """Returns requests that an engine began after SIGTERM and that were cut.

    Another instance could have served their callers.
    """
    return [
        attempt
        for attempt in result.attempts
        if not attempt.is_complete
        and result.runs[attempt.name]
        and result.runs[attempt.name][0].at_s > result.stopped_at_s
    ]


def find_untrue(result):
    """Returns refusals as not run of requests that an endpoint ran."""
    return [
        attempt
        for attempt in result.attempts
        if attempt.outcome == "not-run" and result.runs[attempt.name]
    ]


def find_unexplained(result):
    """Returns ends of requests that the log of the instance does not explain.

    Requests that the instance has named to their callers have a line of their
    own. Of the others, there are as many lines as ends of each kind. The first
    request of a connection is left out if it got no answer: the connection may
    have been waiting to be accepted as its instance stopped listening.
    """
    lines = result.log.splitlines()
    named = {
        match[1]
        for line in lines
        if "event=request_placed" not in line
        and (match := re.search(r" request=(\S+)", line))
    }
    statuses = collections.Counter()
    closes = 0
    for line in lines:
        match = re.search(r" event=(\S+)", line)
        event = match and match[1]
        if event == "request_ended":
            status = re.search(r" status=(\d+)", line)
            statuses[int(status[1]) if status else None] += 1
        closes += event in (
            "request_abandoned",
            "request_refused",
            "connection_cut",
        )
    unexplained = []
    for attempt in result.attempts:
        if attempt.request_id:
            if attempt.request_id not in named:
                unexplained.append(attempt)
        elif attempt.status is not None and attempt.status != 200:
            statuses[attempt.status] -= 1
            if statuses[attempt.status] < 0:
                unexplained.append(attempt)
        elif attempt.status is None and attempt.sent_at_s is not None:
            if attempt.is_first and not result.runs[attempt.name]:
                continue
            closes -= 1
            if closes < 0:
                unexplained.append(attempt)
    return unexplained


def describe(result):
    """Returns what a play has shown as lines of text."""
    counts = collections.Counter(
        (a.status, a.outcome, "complete" if a.is_complete else a.end[:40])
        for a in result.attempts
    )
    after = sum(a.began_at_s > result.stopped_at_s for a in result.attempts)
    crossed = [
        a
        for a in result.attempts
        if a.sent_at_s is not None and a.status is None
    ]
    cut = [
        a for a in result.attempts if result.runs[a.name] and not a.is_complete
    ]
    lines = [
        f"{len(result.attempts)} requests, {after} of them after SIGTERM; exit"
        f" {result.exit_code} after"
        f" {result.exited_at_s - result.stopped_at_s:.2f} s",
        *(f"{count} {kind}" for kind, count in counts.most_common()),
    ]
    for name, found in (
        ("without an answer", crossed),
        ("cut", cut),
        ("lost", find_lost(result)),
        ("begun in vain", find_begun_in_vain(result)),
        ("untrue", find_untrue(result)),
        ("unexplained", find_unexplained(result)),
    ):
        lines.append(f"{name}: {len(found)}")
        lines += [_describe_attempt(name, a, result) for a in found[:12]]
    return lines


def _describe_attempt(name, attempt, result):
    def since_stop(time_s):
        if time_s is None:
            return "never"
        return f"{time_s - result.stopped_at_s:+.3f}"

    runs = [
        (e.event.value, since_stop(e.at_s)) for e in result.runs[attempt.name]
    ]
    return (
        f"  {name} {attempt.kind} id={attempt.request_id or None}"
        f" chunks={attempt.in_chunks} first={attempt.is_first}"
        f" began={since_stop(attempt.began_at_s)}"
        f" sent={since_stop(attempt.sent_at_s)}"
        f" ended={since_stop(attempt.ended_at_s)}"
        f" status={attempt.status} outcome={attempt.outcome or None}"
        f" end={attempt.end} runs={runs}"
    )


def main():
    """Plays seeds one after the other and prints what was lost."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--callers", type=int, default=32)
    parser.add_argument("--store-stands-still", action="store_true")
    parser.add_argument("--standstill-s", type=float, default=0.0)
    parser.add_argument("--logs", type=pathlib.Path)
    options = parser.parse_args()
    for seed in range(options.seed, options.seed + options.seeds):
        with tempfile.TemporaryDirectory() as temporary:
            folder = (options.logs or pathlib.Path(temporary)) / f"seed-{seed}"
            result = asyncio.run(
                play(
                    seed,
                    folder,
                    callers=options.callers,
                    store_stands_still=options.store_stands_still,
                    standstill_s=options.standstill_s,
                )
            )
        print(f"seed {seed}:", "\n  ".join(describe(result)), flush=True)


if __name__ == "__main__":
    main()
