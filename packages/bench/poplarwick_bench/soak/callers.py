"""Callers of a soak: programs that keep connections open and come back."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import random
import re
import time
from collections.abc import Mapping

import aiohttp

from poplarwick_bench.soak import fleet
from poplarwick_bench.soak import records
from poplarwick_standins import platform_calls

BALANCER_PERIOD_S = 1.0
"""Period of the balancer's readiness checks."""

BALANCER_MISSES = 2
"""Misses in a row after which an instance gets no new connections."""

KEEP_CALLS = (1, 12)
"""Fewest and most calls on one connection."""

THINK_MEAN_S = 0.25
"""Mean pause between two calls of a caller."""

LEAVE_CHANCE = 0.05
"""Chance that a caller leaves a call early."""

LEAVE_AFTER_S = (0.02, 0.4)
"""When it leaves then."""

GRACE_S = 3.0
"""Time past its deadline for which a caller still listens, to see answers
that come too late."""

EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\d+)\n\n")


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """What calls of one kind look like.

    Attributes:
        kind: The kind.
        weight: How often it is drawn.
        tokens: Fewest and most prompt tokens; None for plain services.
        events: Events of its answer.
        deadline_s: How long its caller waits.
    """

    kind: records.CallKind
    weight: float
    tokens: tuple[int, int] | None
    events: int
    deadline_s: float


SHAPES = (
    Shape(records.CallKind.SHORT, 10, (1_000, 9_000), 8, 8.0),
    Shape(records.CallKind.LONG, 1, (30_000, 70_000), 6, 8.0),
    Shape(records.CallKind.GIANT, 0.5, (180_000, 800_000), 5, 12.0),
    Shape(records.CallKind.ONCE, 3, None, 0, 2.5),
    Shape(records.CallKind.LOOKUP, 3, None, 0, 2.5),
)
"""The users' mix, with large prompts more often than on their days."""


class Balancer:
    """Knows which instances get new connections."""

    def __init__(self, system: fleet.Fleet) -> None:
        self._system = system
        self._misses: dict[str, int] = {}

    async def run(self) -> None:
        """Asks all instances each second, until cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                await asyncio.gather(
                    *(self._ask(session, i) for i in self._system.instances)
                )
                await asyncio.sleep(BALANCER_PERIOD_S)

    async def _ask(
        self, session: aiohttp.ClientSession, instance: fleet.Instance
    ) -> None:
        ready = await fleet.is_ready(session, instance)
        misses = 0 if ready else self._misses.get(instance.name, 0) + 1
        self._misses[instance.name] = misses

    def choose(self, draw: random.Random) -> fleet.Instance:
        """Returns an instance in rotation, any if none is."""
        instances = self._system.instances
        able = [
            i
            for i in instances
            if self._misses.get(i.name, 0) < BALANCER_MISSES
        ]
        return draw.choice(able or instances)


class Caller:
    """One program that calls, one request at a time.

    Args:
        system: The system.
        balancer: Chooses instances.
        number: Its number.
        seed: Seed of what it draws.
    """

    def __init__(
        self, system: fleet.Fleet, balancer: Balancer, number: int, seed: int
    ) -> None:
        self._system = system
        self._balancer = balancer
        self._number = number
        self._draw = random.Random(seed * 1_000 + number)
        self._calls = itertools.count(1)

    async def run(self, until_s: float) -> None:
        """Calls until a monotonic time."""
        while time.monotonic() < until_s:
            instance = self._balancer.choose(self._draw)
            connector = aiohttp.TCPConnector(limit=1)
            async with aiohttp.ClientSession(connector=connector) as session:
                for _ in range(self._draw.randint(*KEEP_CALLS)):
                    if time.monotonic() >= until_s:
                        return
                    shape = self._draw.choices(
                        SHAPES, [shape.weight for shape in SHAPES]
                    )[0]
                    if not await self._call(session, instance, shape):
                        break
                    pause_s = self._draw.expovariate(1 / THINK_MEAN_S)
                    await asyncio.sleep(pause_s)
            await asyncio.sleep(0.05)

    async def _call(
        self,
        session: aiohttp.ClientSession,
        instance: fleet.Instance,
        shape: Shape,
    ) -> bool:
        """Makes one call; tells whether its connection can be used again."""
        request = f"r{self._number}-{next(self._calls)}"
        tokens = self._draw.randint(*shape.tokens) if shape.tokens else None
        leaves_s = None
        if self._draw.random() < LEAVE_CHANCE:
            leaves_s = self._draw.uniform(*LEAVE_AFTER_S)
        call = records.Call(
            request=request,
            kind=shape.kind,
            instance=instance.name,
            start=instance.start,
            route=shape.kind.value,
            key=self._draw.choice(self._system.keys),
            body=f"{request} asks".encode(),
            sent_at_s=time.monotonic(),
            deadline_s=shape.deadline_s,
        )
        return await make_call(
            self._system.record,
            session,
            instance,
            call,
            tokens,
            shape.events,
            leaves_s,
        )


async def make_call(
    record: records.Record,
    session: aiohttp.ClientSession,
    instance: fleet.Instance,
    call: records.Call,
    tokens: int | None,
    events: int,
    leaves_s: float | None = None,
) -> bool:
    """Makes a call and records it.

    Returns:
        Whether its connection can be used again.
    """
    record.calls.append(call)
    headers = platform_calls.make_headers(
        call.request, call.key, call.deadline_s, tokens, events
    )
    limit_s = leaves_s or call.deadline_s + GRACE_S
    try:
        async with asyncio.timeout(limit_s):
            return await _exchange(session, instance, call, headers, events)
    except TimeoutError:
        if leaves_s is not None:
            call.outcome = records.Outcome.LEFT
        return False
    except aiohttp.ClientConnectorError:
        call.outcome = records.Outcome.NOT_SENT
        return False
    except (aiohttp.ClientError, OSError):
        # A call that ended without its head is unanswered, else it is cut.
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
        body = await response.read()
        call.outcome = records.Outcome.WHOLE
        if response.status == 200:
            call.problem = find_problem(call, body, events)
        return response.headers.get("Connection", "").lower() != "close"


def find_problem(call: records.Call, body: bytes, events: int) -> str | None:
    """Returns what is wrong with a whole answer, None if nothing is."""
    if not events:
        if body.startswith(f"{call.request} by ".encode()):
            return None
        return f"body {body[:60]!r}"
    found = EVENT.findall(body)
    if b"".join(b"id: %s\ndata: %s %s\n\n" % e for e in found) != body:
        return f"not whole events: {body[-60:]!r}"
    for expected, (number, request, piece) in enumerate(found, 1):
        if request != call.request.encode():
            return f"event of {request!r}"
        if int(number) != expected or number != piece:
            return f"event {number!r} in place of {expected}"
    if len(found) != events:
        return f"{len(found)} of {events} events"
    return None
