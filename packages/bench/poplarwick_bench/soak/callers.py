"""Soak callers, which reuse connections and send requests repeatedly."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import random
import re
import socket
import time
from collections.abc import Mapping

import aiohttp

from poplarwick_bench.soak import fleet
from poplarwick_bench.soak import records
from poplarwick_core import socket_buffers
from poplarwick_standins import platform_calls

READINESS_CHECK_PERIOD_S = 1.0
"""Period of the load balancer's readiness checks."""

UNREADY_THRESHOLD = 2
"""Consecutive failed checks after which an instance is out of rotation."""

CALLS_PER_CONNECTION = (1, 12)
"""Minimum and maximum number of calls on one connection."""

THINK_TIME_MEAN_S = 0.25
"""Mean time between two calls of a caller."""

ABORT_PROBABILITY = 0.05
"""Probability that a caller aborts a call."""

ABORT_DELAY_S = (0.02, 0.4)
"""Minimum and maximum time after which a caller aborts a call."""

GRACE_S = 3.0
"""Time past the deadline for which a caller still waits, to record late
responses."""

SLOW_BUFFER_BYTES = 4_096
"""Size of the buffers of callers that read slowly."""

COMMENT_PATTERN = re.compile(rb"^:.*\n", re.MULTILINE)
EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: (\S+) (\d+)\n\n")


@dataclasses.dataclass(frozen=True, slots=True)
class CallProfile:
    """Parameters of the calls of one kind.

    Attributes:
        kind: Kind of the calls.
        weight: Relative frequency of the kind.
        prompt_tokens: Minimum and maximum number of prompt tokens; None for
            plain services.
        events: Number of events in the response.
        deadline_s: Time that the caller allows for a call, in seconds.
    """

    kind: records.CallKind
    weight: float
    prompt_tokens: tuple[int, int] | None
    events: int
    deadline_s: float


CALL_PROFILES = (
    CallProfile(records.CallKind.SHORT, 10, (1_000, 9_000), 8, 8.0),
    CallProfile(records.CallKind.LONG, 1, (30_000, 70_000), 6, 8.0),
    CallProfile(records.CallKind.GIANT, 0.5, (180_000, 800_000), 5, 12.0),
    CallProfile(records.CallKind.ONCE, 3, None, 0, 2.5),
    CallProfile(records.CallKind.LOOKUP, 3, None, 0, 2.5),
)
"""The users' load mix, with a larger share of long prompts than theirs."""


class LoadBalancer:
    """Selects instances for new connections by their readiness.

    Args:
        system: The system under test.
    """

    def __init__(self, system: fleet.Fleet) -> None:
        self._system = system
        self._failed_checks: dict[str, int] = {}

    async def run(self) -> None:
        """Checks the readiness of all instances until cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                await asyncio.gather(
                    *(
                        self._check_readiness(session, i)
                        for i in self._system.instances
                    )
                )
                await asyncio.sleep(READINESS_CHECK_PERIOD_S)

    async def _check_readiness(
        self, session: aiohttp.ClientSession, instance: fleet.Instance
    ) -> None:
        ready = await fleet.is_ready(session, instance)
        failed_checks = (
            0 if ready else self._failed_checks.get(instance.name, 0) + 1
        )
        self._failed_checks[instance.name] = failed_checks

    def choose(self, rng: random.Random) -> fleet.Instance:
        """Returns a random instance in rotation, or any instance if none is."""
        instances = self._system.instances
        in_rotation = [
            i
            for i in instances
            if self._failed_checks.get(i.name, 0) < UNREADY_THRESHOLD
        ]
        return rng.choice(in_rotation or instances)


class Caller:
    """A client that sends one request at a time.

    Args:
        system: The system under test.
        balancer: Selects the instances for connections.
        number: Number of the caller, unique in the soak.
        seed: Seed of the soak.
    """

    def __init__(
        self,
        system: fleet.Fleet,
        balancer: LoadBalancer,
        number: int,
        seed: int,
    ) -> None:
        self._system = system
        self._balancer = balancer
        self._number = number
        self._rng = random.Random(seed * 1_000 + number)
        self._calls = itertools.count(1)

    async def run(self, until_s: float) -> None:
        """Sends requests until a monotonic time in seconds."""
        while time.monotonic() < until_s:
            instance = self._balancer.choose(self._rng)
            connector = aiohttp.TCPConnector(limit=1)
            async with aiohttp.ClientSession(connector=connector) as session:
                for _ in range(self._rng.randint(*CALLS_PER_CONNECTION)):
                    if time.monotonic() >= until_s:
                        return
                    profile = self._rng.choices(
                        CALL_PROFILES,
                        [profile.weight for profile in CALL_PROFILES],
                    )[0]
                    if not await self._call(session, instance, profile):
                        break
                    pause_s = self._rng.expovariate(1 / THINK_TIME_MEAN_S)
                    await asyncio.sleep(pause_s)
            await asyncio.sleep(0.05)

    async def _call(
        self,
        session: aiohttp.ClientSession,
        instance: fleet.Instance,
        profile: CallProfile,
    ) -> bool:
        """Makes one call and returns whether its connection is reusable."""
        request_id = f"r{self._number}-{next(self._calls)}"
        prompt_tokens = (
            self._rng.randint(*profile.prompt_tokens)
            if profile.prompt_tokens
            else None
        )
        abort_after_s = None
        if self._rng.random() < ABORT_PROBABILITY:
            abort_after_s = self._rng.uniform(*ABORT_DELAY_S)
        call = records.Call(
            request_id=request_id,
            kind=profile.kind,
            instance=instance.name,
            incarnation=instance.incarnation,
            route=profile.kind.value,
            api_key=self._rng.choice(self._system.api_keys),
            body=f"{request_id} asks".encode(),
            sent_at_s=time.monotonic(),
            deadline_s=profile.deadline_s,
        )
        return await make_call(
            self._system.record,
            session,
            instance,
            call,
            prompt_tokens,
            profile.events,
            abort_after_s,
        )


async def make_call(
    record: records.Record,
    session: aiohttp.ClientSession,
    instance: fleet.Instance,
    call: records.Call,
    prompt_tokens: int | None,
    events: int,
    abort_after_s: float | None = None,
) -> bool:
    """Makes a call and records its result.

    Args:
        record: The record that the call is added to.
        session: The client session.
        instance: The instance that receives the call.
        call: The call, updated with its result.
        prompt_tokens: Number of prompt tokens; None for plain services.
        events: Number of events in the response.
        abort_after_s: Time after which the caller aborts the call, in
            seconds; None if it waits for the response.

    Returns:
        Whether the connection can be reused.
    """
    record.calls.append(call)
    headers = platform_calls.make_headers(
        call.request_id,
        call.api_key,
        call.deadline_s,
        prompt_tokens,
        events,
        call.part,
    )
    timeout_s = abort_after_s or call.deadline_s + GRACE_S
    try:
        async with asyncio.timeout(timeout_s):
            return await _exchange(session, instance, call, headers, events)
    except TimeoutError:
        if abort_after_s is not None:
            call.outcome = records.Outcome.LEFT
        return False
    except aiohttp.ClientConnectorError:
        call.outcome = records.Outcome.NOT_SENT
        return False
    except (aiohttp.ClientError, OSError):
        # The default outcome, UNANSWERED, stays if no response head arrived.
        if call.status is not None:
            call.outcome = records.Outcome.CUT
        return False
    finally:
        call.ended_at_s = time.monotonic()


async def _exchange(
    session: aiohttp.ClientSession,
    instance: fleet.Instance,
    call: records.Call,
    headers: Mapping[str, str],
    events: int,
) -> bool:
    async with session.post(
        f"http://{instance.address}/{call.route}/x",
        headers=headers,
        data=call.body,
        allow_redirects=False,
    ) as response:
        call.status = response.status
        call.signature = response.headers.get(platform_calls.SIGNATURE_HEADER)
        if call.reads_at_s is not None:
            await asyncio.sleep(call.reads_at_s - time.monotonic())
        body = await response.read()
        call.outcome = records.Outcome.WHOLE
        if response.status == 200:
            call.problem = find_problem(call, body, events)
        return response.headers.get("Connection", "").lower() != "close"


def make_slow_session() -> aiohttp.ClientSession:
    """Returns a session that buffers little of what is not read."""

    def make_socket(address: aiohttp.AddrInfoType) -> socket.socket:
        family, kind, protocol, *_ = address
        sock = socket.socket(family, kind, protocol)
        socket_buffers.limit_buffers(sock, SLOW_BUFFER_BYTES)
        return sock

    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(socket_factory=make_socket),
        read_bufsize=SLOW_BUFFER_BYTES,
    )


def find_problem(call: records.Call, body: bytes, events: int) -> str | None:
    """Checks the body of a complete response.

    Args:
        call: The call that was answered.
        body: Body of the response.
        events: Expected number of events; 0 for plain services.

    Returns:
        A description of the problem, or None if the body is correct.
    """
    if not events:
        if body.startswith(f"{call.request_id} by ".encode()):
            return None
        return f"unexpected body {body[:60]!r}"
    body = COMMENT_PATTERN.sub(b"", body)
    found = EVENT_PATTERN.findall(body)
    if b"".join(b"id: %s\ndata: %s %s\n\n" % e for e in found) != body:
        return f"incomplete events: {body[-60:]!r}"
    for expected, (number, request, sequence) in enumerate(found, 1):
        if request != call.request_id.encode():
            return f"event of request {request!r}"
        if int(number) != expected or number != sequence:
            return f"event {number!r} instead of {expected}"
    if len(found) != events:
        return f"{len(found)} of {events} expected events"
    return None
