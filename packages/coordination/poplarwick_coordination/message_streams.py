"""Supports the message stream between a placer and an instance."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

from google.protobuf import message as protobuf_message

from poplarwick_coordination import log_events
from poplarwick_core import clock
from poplarwick_core import logs

HEARTBEAT_PERIOD_S = 0.25
"""Interval between heartbeats of a placer; an instance notices within three of
them that it is lost."""

BEAT_PERIOD_PER_SESSION_S = 0.005
"""Growth of the interval between heartbeats to a placer by number of instances.
A heartbeat takes the placer a fifth of a millisecond, so that those of all
instances together take at most a twentieth of a core."""

MAX_BEAT_PERIOD_S = 1.0
"""Longest interval between heartbeats to a placer. An instance that is lost
keeps its allocations for some seconds in any case."""

TIMEOUT_PERIODS = 3.2
"""Heartbeat periods without a message after which a peer counts as
unresponsive: one or two may be late or lost on a busy machine."""

OUTBOX_LIMIT = 4_096
"""Messages that may be queued for a slow peer before the stream is closed. This
is several seconds of the requests of one instance."""

PROTOCOL_VERSION = 2
"""Version of the messages that this release knows. Kinds of messages that an
earlier one lacks are not sent to a peer of that version."""

ANSWERS_PROTOCOL = 2
"""Version of the messages from which on a placer knows earlier answers."""

Message = TypeVar("Message", bound=protobuf_message.Message)


class Outbox(Generic[Message]):
    """Bounded queue of messages to send on a stream."""

    def __init__(self) -> None:
        self._queue: asyncio.Queue[Message] = asyncio.Queue(OUTBOX_LIMIT)
        self.has_overflowed = False

    def put(self, message: Message) -> None:
        """Queues a message, or sets `has_overflowed` if the queue is full."""
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            self.has_overflowed = True

    async def send_all(
        self, send: Callable[[Message], Awaitable[None]]
    ) -> None:
        """Sends queued messages until cancelled."""
        while True:
            await send(await self._queue.get())


def calculate_beat_period_s(instances: int) -> float:
    """Returns the interval between heartbeats of an instance to a placer.

    Args:
        instances: Number of instances that the placer serves.
    """
    return min(
        max(HEARTBEAT_PERIOD_S, BEAT_PERIOD_PER_SESSION_S * instances),
        MAX_BEAT_PERIOD_S,
    )


class Watchdog:
    """Detects an unresponsive peer by the time since its last message.

    Args:
        period_s: Longest interval between messages of a sound peer.
    """

    def __init__(self, period_s: float = HEARTBEAT_PERIOD_S) -> None:
        self.last_received_at_s = clock.now_s()
        self._timeout_s = TIMEOUT_PERIODS * period_s

    def record_message(self) -> None:
        """Records that a message has arrived."""
        self.last_received_at_s = clock.now_s()

    async def wait_until_unresponsive(
        self, has_overflowed: Callable[[], bool]
    ) -> None:
        """Waits until the peer is unresponsive or the outbox has overflowed.

        Args:
            has_overflowed: Returns whether the outbox has overflowed.
        """
        while clock.now_s() - self.last_received_at_s < self._timeout_s:
            if has_overflowed():
                return
            due_at_s = clock.now_s() + HEARTBEAT_PERIOD_S
            await asyncio.sleep(HEARTBEAT_PERIOD_S)
            now_s = clock.now_s()
            # What the peer has sent while this process stood still is unread.
            lateness_s = max(now_s - due_at_s, 0.0)
            self.last_received_at_s = min(
                self.last_received_at_s + lateness_s, now_s
            )


class Receiver(Generic[Message]):
    """Handles the messages of another instance on one connection.

    Args:
        peer: The other instance.
        handle: Handles a message.
    """

    def __init__(self, peer: str, handle: Callable[[Message], None]) -> None:
        self._peer = peer
        self._handle = handle
        self._has_unknown = False

    def receive(self, message: Message) -> None:
        """Handles a message.

        Kinds that only a newer peer knows are ignored and logged once.
        """
        if message.WhichOneof("kind") is not None:
            handle_message(self._peer, message, self._handle)
        elif not self._has_unknown:
            self._has_unknown = True
            logs.log(log_events.MessageUnknown(peer=self._peer))


def handle_message(
    peer: str, message: Message, handle: Callable[[Message], None]
) -> None:
    """Handles a message of another instance; logs one that cannot be handled.

    A malformed message or an unexpected error concerns that message only.

    Args:
        peer: The instance that has sent it.
        message: The message.
        handle: Handles it.
    """
    try:
        handle(message)
    except Exception as error:
        logs.log(
            log_events.MessageRejected(
                peer=peer,
                kind=message.WhichOneof("kind") or "none",
                reason=repr(error),
            )
        )


async def run_until_first_ends(*coroutines: object) -> None:
    """Runs coroutines until the first one ends and cancels the others.

    Raises:
        Exception: Exception of the coroutine that ended first.
    """
    tasks = [asyncio.ensure_future(c) for c in coroutines]  # type: ignore[call-overload]
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
