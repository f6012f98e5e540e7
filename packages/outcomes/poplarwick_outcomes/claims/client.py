"""Client that finds the owner of a claim's shard and asks it."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Awaitable
from collections.abc import Callable
from types import TracebackType
from typing import Protocol
from typing import Self

import tenacity

from poplarwick_core import errors
from poplarwick_core import logs
from poplarwick_outcomes.claims import keys
from poplarwick_outcomes.claims import records
from poplarwick_outcomes.claims import replies

NONCE_BYTES = 16
OWNER_TIMEOUT_S = 1.0
MAX_CHANGE_TRIES = 60
DRAIN_TIMEOUT_S = 10.0
MIN_RETRY_S = 0.05
MAX_RETRY_S = 1.0
REPLY_MARGIN_S = 1.0


class PeerError(errors.PoplarwickError):
    """The owner did not answer; the request may have taken effect."""


class ShardPeer(Protocol):
    """Access to the owner of a shard, in this process or another.

    Every method raises `PeerError` if the owner does not answer.
    """

    async def claim(
        self, attempt: records.Record, timeout_s: float
    ) -> replies.ClaimReply:
        """Grants a claim, or tells how the run that holds it ended."""
        ...

    async def resolve(
        self, attempt: records.Record, answer: records.Answer | None
    ) -> replies.ChangeReply:
        """Records how the run of a granted claim ended."""
        ...

    async def release(self, attempt: records.Record) -> replies.ChangeReply:
        """Gives a claim back whose call was not sent and never will be."""
        ...


FindOwner = Callable[[int], ShardPeer | None]
"""Returns the access to a shard's owner, or None while it has none."""


class ClaimClient:
    """Claims calls and records their ends; use it as a context manager.

    Changes are stored by background tasks that try again up to
    `MAX_CHANGE_TRIES` times; leaving the context waits for them, but no
    longer than `DRAIN_TIMEOUT_S`.
    """

    def __init__(self, find_owner: FindOwner) -> None:
        self._find_owner = find_owner
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=DRAIN_TIMEOUT_S)
        for task in self._tasks:
            task.cancel()

    async def claim(
        self, attempt: records.Record, timeout_s: float
    ) -> replies.ClaimReply:
        """Claims a call, or waits for the run that holds the claim.

        The attempt may run the call only if the reply is `Granted`, and then
        it must end with `resolve` or `release`. After any other reply it must
        never run the call.

        Args:
            attempt: The claim, as made by `make_attempt`.
            timeout_s: Time within which to answer.
        """
        end_s = _now_s() + timeout_s
        retry_s = MIN_RETRY_S
        searching_s = _now_s()
        is_claimed = False
        may_be_stored = False
        while True:
            asked_s = _now_s()
            reply = await self._ask(attempt, end_s - asked_s)
            if not isinstance(reply, replies.NotOwner):
                break
            is_claimed = is_claimed or reply.is_claimed
            may_be_stored = may_be_stored or reply.is_lost
            if _now_s() - asked_s > OWNER_TIMEOUT_S:
                searching_s, retry_s = _now_s(), MIN_RETRY_S
            give_up_s = min(end_s, searching_s + OWNER_TIMEOUT_S)
            if _now_s() + retry_s >= give_up_s:
                break
            await asyncio.sleep(retry_s)
            retry_s = min(2 * retry_s, MAX_RETRY_S)
        is_refused = isinstance(reply, (replies.NotOwner, replies.Unavailable))
        if is_refused and may_be_stored:
            self.release(attempt)
        if not isinstance(reply, replies.NotOwner):
            return reply
        if is_claimed:
            return replies.Running()
        return replies.Unavailable(MAX_RETRY_S)

    def resolve(
        self, attempt: records.Record, answer: records.Answer | None
    ) -> None:
        """Records in the background how the run of a claim ended.

        Args:
            attempt: The claim, which was granted.
            answer: The call's answer, or None if the end is not known.
        """
        self._start(attempt, lambda owner: owner.resolve(attempt, answer))

    def release(self, attempt: records.Record) -> None:
        """Gives a claim back in the background.

        Args:
            attempt: The claim, whose call was not sent and never will be.
        """
        self._start(attempt, lambda owner: owner.release(attempt))

    async def _ask(
        self, attempt: records.Record, timeout_s: float
    ) -> replies.ClaimReply:
        owner = self._find_owner(_find_shard(attempt))
        if owner is None or timeout_s <= 0:
            return replies.NotOwner()
        try:
            async with asyncio.timeout(timeout_s + REPLY_MARGIN_S):
                reply = await owner.claim(attempt, timeout_s)
        except (PeerError, TimeoutError):
            return replies.NotOwner(is_lost=True)
        if isinstance(reply, replies.NotOwner):
            # The owner may have lost the shard while it stored the claim.
            return replies.NotOwner(reply.is_claimed, is_lost=True)
        return reply

    def _start(
        self,
        attempt: records.Record,
        change: Callable[[ShardPeer], Awaitable[replies.ChangeReply]],
    ) -> None:
        task = asyncio.create_task(self._change(attempt, change))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _change(
        self,
        attempt: records.Record,
        change: Callable[[ShardPeer], Awaitable[replies.ChangeReply]],
    ) -> None:
        shard = _find_shard(attempt)
        try:
            async for trial in _make_retries():
                with trial:
                    owner = self._find_owner(shard)
                    if owner is None:
                        raise PeerError("the shard has no owner")
                    if await change(owner) is not replies.ChangeReply.STORED:
                        raise PeerError("the change is not stored yet")
        except tenacity.RetryError:
            logs.log_event("claim_change_lost", level="ERROR", shard=shard)


def make_attempt(
    key: keys.ClaimKey, content: bytes, run_until_ms: int
) -> records.Record:
    """Returns a new attempt to run a call.

    Args:
        key: The caller's idempotency key.
        content: Digest of the call's content.
        run_until_ms: Wall time at which the run will surely have ended.
    """
    return records.Record(
        key=key.digest,
        key_time_ms=key.time_ms,
        content=content,
        nonce=secrets.token_bytes(NONCE_BYTES),
        state=records.State.CLAIMED,
        run_until_ms=run_until_ms,
    )


def _make_retries() -> tenacity.AsyncRetrying:
    return tenacity.AsyncRetrying(
        retry=tenacity.retry_if_exception_type(PeerError),
        wait=tenacity.wait_random_exponential(MIN_RETRY_S, MAX_RETRY_S),
        stop=tenacity.stop_after_attempt(MAX_CHANGE_TRIES),
    )


def _find_shard(attempt: records.Record) -> int:
    return keys.find_shard(attempt.key)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
