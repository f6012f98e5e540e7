"""Client that sends claim requests to the owner of the shard."""

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
MAX_CHANGE_ATTEMPTS = 60
DRAIN_TIMEOUT_S = 10.0
MIN_RETRY_S = 0.05
MAX_RETRY_S = 1.0
REPLY_MARGIN_S = 1.0


class PeerError(errors.PoplarwickError):
    """The shard's owner did not reply; the request may have taken effect."""


class ShardPeer(Protocol):
    """Interface to the owner of a shard, local or remote.

    Each method raises `PeerError` if the owner does not reply.
    """

    async def claim(
        self, attempt: records.Record, timeout_s: float
    ) -> replies.ClaimReply:
        """Grants a claim or returns the result of the attempt that holds it."""
        ...

    async def resolve(
        self, attempt: records.Record, answer: records.Answer | None
    ) -> replies.ChangeReply:
        """Records the result of a granted claim."""
        ...

    async def release(self, attempt: records.Record) -> replies.ChangeReply:
        """Releases a claim whose call was not sent and never will be."""
        ...


FindOwner = Callable[[int], ShardPeer | None]
"""Returns the peer that owns a shard, or None if the shard has no owner."""


class ClaimClient:
    """Requests, resolves and releases claims; use it as a context manager.

    Background tasks send resolutions and releases, in up to
    `MAX_CHANGE_ATTEMPTS` attempts each. On exit, the context waits at most
    `DRAIN_TIMEOUT_S` for these tasks and then cancels them.

    Args:
        find_owner: Returns the peer that owns a shard.
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
        """Claims a call or waits for the attempt that holds the claim.

        The caller may run the call only if the reply is `Granted`, and must
        then end the attempt with `resolve` or `release`. After any other
        reply it must not run the call.

        Args:
            attempt: Claim made by `make_attempt`.
            timeout_s: Maximum time to wait for a reply.

        Returns:
            The reply. If no owner replies, it is `Running` if another attempt
            is known to hold the claim, else `Unavailable`.
        """
        deadline_s = _now_s() + timeout_s
        retry_s = MIN_RETRY_S
        search_start_s = _now_s()
        is_claimed = False
        may_be_stored = False
        while True:
            call_start_s = _now_s()
            reply = await self._call_owner(attempt, deadline_s - call_start_s)
            if not isinstance(reply, replies.NotOwner):
                break
            is_claimed = is_claimed or reply.is_claimed
            may_be_stored = may_be_stored or reply.may_be_stored
            if _now_s() - call_start_s > OWNER_TIMEOUT_S:
                search_start_s, retry_s = _now_s(), MIN_RETRY_S
            search_end_s = min(deadline_s, search_start_s + OWNER_TIMEOUT_S)
            if _now_s() + retry_s >= search_end_s:
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
        """Records the result of a granted claim in the background.

        Args:
            attempt: Claim that was granted.
            answer: Answer to the call, or None if its outcome is unknown.
        """
        self._start_change(
            attempt, lambda owner: owner.resolve(attempt, answer)
        )

    def release(self, attempt: records.Record) -> None:
        """Releases a claim in the background.

        Args:
            attempt: Claim whose call was not sent and never will be.
        """
        self._start_change(attempt, lambda owner: owner.release(attempt))

    async def _call_owner(
        self, attempt: records.Record, timeout_s: float
    ) -> replies.ClaimReply:
        owner = self._find_owner(_find_shard(attempt))
        if owner is None or timeout_s <= 0:
            return replies.NotOwner()
        try:
            async with asyncio.timeout(timeout_s + REPLY_MARGIN_S):
                reply = await owner.claim(attempt, timeout_s)
        except (PeerError, TimeoutError):
            return replies.NotOwner(may_be_stored=True)
        if isinstance(reply, replies.NotOwner):
            # The owner may have lost the shard while it was storing the claim.
            return replies.NotOwner(reply.is_claimed, may_be_stored=True)
        return reply

    def _start_change(
        self,
        attempt: records.Record,
        change: Callable[[ShardPeer], Awaitable[replies.ChangeReply]],
    ) -> None:
        task = asyncio.create_task(self._apply_change(attempt, change))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _apply_change(
        self,
        attempt: records.Record,
        change: Callable[[ShardPeer], Awaitable[replies.ChangeReply]],
    ) -> None:
        shard = _find_shard(attempt)
        try:
            async for retry in _make_retries():
                with retry:
                    owner = self._find_owner(shard)
                    if owner is None:
                        raise PeerError("shard has no owner")
                    if await change(owner) is not replies.ChangeReply.STORED:
                        raise PeerError("owner has not stored the change yet")
        except tenacity.RetryError:
            logs.log_event("claim_change_lost", level="ERROR", shard=shard)


def make_attempt(
    key: keys.ClaimKey, content: bytes, run_until_ms: int
) -> records.Record:
    """Returns the claim of a new attempt to run a call.

    Args:
        key: Idempotency key of the caller.
        content: Digest of the call's content.
        run_until_ms: Wall-clock time, in milliseconds since the Unix epoch,
            by which the run is certain to have ended.
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
        stop=tenacity.stop_after_attempt(MAX_CHANGE_ATTEMPTS),
    )


def _find_shard(attempt: records.Record) -> int:
    return keys.find_shard(attempt.key)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
