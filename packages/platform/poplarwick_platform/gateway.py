"""Client for a key-value service with the etcd v3 JSON gateway protocol."""

from __future__ import annotations

import asyncio
import math
import random
import secrets
import ssl
from collections.abc import AsyncIterator
from types import TracebackType
from typing import Self
from typing import TypeVar

import aiohttp
import msgspec

from poplarwick_core import logs
from poplarwick_platform import _budget
from poplarwick_platform import _gateway_codec as codec
from poplarwick_platform import _gateway_messages as messages
from poplarwick_platform import call_metrics
from poplarwick_platform import http_session
from poplarwick_platform import kv

CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.5
WATCH_IDLE_TIMEOUT_S = 15.0
MAX_REPLY_BYTES = 32 << 20
"""Largest reply that is gathered; a range may hold many large values."""

MIN_WATCH_RETRY_DELAY_S = 0.1
MAX_WATCH_RETRY_DELAY_S = 2.0
INSTANCE_HEADER = "x-poplarwick-instance"
_LEASE_ID_BITS = 62
_HTTP_OK = 200

Reply = TypeVar("Reply", bound=messages.Message)


def connect(
    addresses: tuple[str, ...],
    *,
    instance: str = "",
    timeout_s: float = CALL_TIMEOUT_S,
    calls_per_s: float = _budget.MAX_RATE_PER_S,
    tls: ssl.SSLContext | None = None,
) -> GatewayClient:
    """Returns a client; entering it opens its connections.

    Args:
        addresses: Host and port of each member of the service.
        instance: Id of this instance, sent to the service in a header.
        timeout_s: Timeout of a call in seconds.
        calls_per_s: Maximum rate of calls per second.
        tls: TLS context, or None for plain HTTP.
    """
    return GatewayClient(addresses, instance, timeout_s, calls_per_s, tls)


class GatewayClient:
    """Implements `kv.KvClient` over HTTP.

    Attributes:
        timeout_s: Timeout of a call in seconds.
    """

    def __init__(
        self,
        addresses: tuple[str, ...],
        instance: str = "",
        timeout_s: float = CALL_TIMEOUT_S,
        calls_per_s: float = _budget.MAX_RATE_PER_S,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        scheme = "https" if tls else "http"
        self.timeout_s = timeout_s
        self._base_urls = [f"{scheme}://{address}" for address in addresses]
        self._headers = {INSTANCE_HEADER: instance} if instance else {}
        self._tls = tls
        self._preferred_index = 0
        self._budget = _budget.CallBudget(calls_per_s)
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        self._session = http_session.make_unshared_session(
            tls=self._tls,
            headers=self._headers,
            timeout=aiohttp.ClientTimeout(
                total=self.timeout_s,
                sock_connect=min(CONNECT_TIMEOUT_S, self.timeout_s),
            ),
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def read(
        self, key: str, purpose: kv.Purpose, *, is_prefix: bool = False
    ) -> kv.Snapshot:
        """Reads one key, or all keys that begin with `key`."""
        reply = await self._call(
            "/v3/kv/range",
            codec.make_range(key, is_prefix),
            messages.RangeReply,
            purpose,
            is_write=False,
        )
        return kv.Snapshot(
            tuple(codec.make_entry(found) for found in reply.kvs),
            kv.Revision(reply.header.revision),
        )

    async def commit(
        self,
        conditions: tuple[kv.Condition, ...],
        operations: tuple[kv.Operation, ...],
        purpose: kv.Purpose,
    ) -> kv.TransactionResult:
        """Applies all operations if all conditions hold."""
        request = messages.TxnRequest(
            compare=tuple(codec.make_compare(c) for c in conditions),
            success=tuple(codec.make_operation(o) for o in operations),
            failure=tuple(
                messages.RequestOp(request_range=codec.make_range(c.key, False))
                for c in conditions
            ),
        )
        reply = await self._call(
            "/v3/kv/txn", request, messages.TxnReply, purpose, is_write=True
        )
        revision = kv.Revision(reply.header.revision)
        if reply.succeeded:
            return kv.Committed(revision)
        ranges = (r.response_range for r in reply.responses)
        return kv.Conflict(
            revision,
            tuple(codec.make_entry(kvs) for r in ranges if r for kvs in r.kvs),
        )

    async def grant_lease(
        self, ttl_s: float, purpose: kv.Purpose
    ) -> kv.LeaseId:
        """Creates a lease that expires unless it is kept alive."""
        request = messages.LeaseGrantRequest(
            id=str(secrets.randbits(_LEASE_ID_BITS) + 1),
            ttl=str(math.ceil(ttl_s)),
        )
        reply = await self._call(
            "/v3/lease/grant",
            request,
            messages.LeaseReply,
            purpose,
            is_write=True,
        )
        return kv.LeaseId(reply.id)

    async def keep_alive(self, lease: kv.LeaseId) -> float:
        """Renews a lease and returns its time to live in seconds."""
        reply = await self._call(
            "/v3/lease/keepalive",
            messages.LeaseRequest(id=str(lease)),
            messages.KeepAliveReply,
            kv.Purpose.LEASE,
            is_write=True,
        )
        if reply.result.ttl <= 0:
            raise kv.LeaseLostError(f"lease {lease} has expired or was revoked")
        return float(reply.result.ttl)

    async def revoke_lease(self, lease: kv.LeaseId) -> None:
        """Revokes a lease and removes its keys."""
        await self._call(
            "/v3/lease/revoke",
            messages.LeaseRequest(id=str(lease)),
            messages.Empty,
            kv.Purpose.LEASE,
            is_write=True,
        )

    async def watch(
        self,
        key: str,
        start: kv.Revision,
        *,
        is_prefix: bool = False,
        era: kv.Era = kv.FIRST_ERA,
    ) -> AsyncIterator[tuple[kv.Change, ...]]:
        """Yields changes from revision `start` on, in order.

        A broken connection is reopened after a jittered delay.
        """
        del era  # This service has a single era.
        retry_delay_s = MIN_WATCH_RETRY_DELAY_S
        while True:
            try:
                async for result in self._open_watch(key, start, is_prefix):
                    retry_delay_s = MIN_WATCH_RETRY_DELAY_S
                    if result.canceled:
                        raise kv.CompactedError(
                            "history before revision "
                            f"{result.compact_revision} was compacted"
                        )
                    if result.events:
                        yield tuple(codec.make_change(e) for e in result.events)
                    start = kv.Revision(
                        max(start, codec.find_next_revision(result))
                    )
            except kv.UnavailableError as error:
                logs.log_event("watch_lost", level="DEBUG", reason=error)
            await asyncio.sleep(random.uniform(0, retry_delay_s))
            retry_delay_s = min(2 * retry_delay_s, MAX_WATCH_RETRY_DELAY_S)

    async def _open_watch(
        self, key: str, start: kv.Revision, is_prefix: bool
    ) -> AsyncIterator[messages.WatchResult]:
        session = self._open_session()
        key_range = codec.make_range(key, is_prefix)
        request = messages.WatchRequest(
            messages.WatchCreateRequest(
                key=key_range.key,
                range_end=key_range.range_end,
                start_revision=str(start),
                progress_notify=True,
            )
        )
        base_url = self._base_urls[self._preferred_index]
        try:
            async with session.post(
                base_url + "/v3/watch",
                data=msgspec.json.encode(request),
                timeout=aiohttp.ClientTimeout(
                    total=None,
                    sock_connect=CONNECT_TIMEOUT_S,
                    sock_read=WATCH_IDLE_TIMEOUT_S,
                ),
                read_bufsize=4 * kv.MAX_VALUE_BYTES,
            ) as response:
                if response.status != _HTTP_OK:
                    raise kv.UnavailableError(f"watch: {response.status}")
                with call_metrics.count_watch():
                    async for line in response.content:
                        yield codec.decode(line, messages.WatchReply).result
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            self._prefer_next(base_url)
            raise kv.UnavailableError(f"watch: {error!r}") from error

    async def _call(
        self,
        path: str,
        request: messages.Message,
        kind: type[Reply],
        purpose: kv.Purpose,
        *,
        is_write: bool,
    ) -> Reply:
        call_kind = "write" if is_write else "read"
        with call_metrics.count_call(purpose, call_kind):
            await self._budget.take(purpose)
            try:
                reply = await self._send_with_failover(
                    path, request, kind, is_write
                )
            except (kv.UnavailableError, kv.UnknownResultError):
                self._budget.record_failure()
                raise
            self._budget.record_success()
            return reply

    async def _send_with_failover(
        self,
        path: str,
        request: messages.Message,
        kind: type[Reply],
        is_write: bool,
    ) -> Reply:
        body = msgspec.json.encode(request)
        last_error: Exception | None = None
        for _ in self._base_urls:
            base_url = self._base_urls[self._preferred_index]
            try:
                return await self._send(base_url + path, body, kind)
            except (
                aiohttp.ClientConnectorError,
                aiohttp.ConnectionTimeoutError,
            ) as error:
                last_error = error
                self._prefer_next(base_url)
            except (
                aiohttp.ClientError,
                TimeoutError,
                kv.UnknownResultError,
            ) as error:
                self._prefer_next(base_url)
                if is_write:
                    raise kv.UnknownResultError(f"{path}: {error!r}") from error
                last_error = error
        raise kv.UnavailableError(f"{path}: {last_error!r}") from last_error

    async def _send(self, url: str, body: bytes, kind: type[Reply]) -> Reply:
        session = self._open_session()
        async with session.post(url, data=body) as response:
            content = await http_session.read_body(response, MAX_REPLY_BYTES)
            if response.status == _HTTP_OK:
                return codec.decode(content, kind)
            raise codec.make_error(response.status, content)

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            raise kv.UnavailableError("the client is closed")
        return self._session

    def _prefer_next(self, failed: str) -> None:
        if self._base_urls[self._preferred_index] == failed:
            self._preferred_index = (self._preferred_index + 1) % len(
                self._base_urls
            )
