"""Stand-in for the store of the users' platform, with fault injection.

It listens on loopback and implements the platform's protocol, so it uses the
platform's names.
"""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import json
import types
from collections.abc import Mapping
from typing import Any
from typing import Self

from aiohttp import web

HANG_S = 60.0
"""Time for which an unresponsive store delays a call.

Longer than the timeout of any caller.
"""


@dataclasses.dataclass
class Item:
    """A stored key."""

    key: str
    value: bytes
    revision: int
    created: int
    lease: int = 0

    def encode(self) -> dict[str, Any]:
        """Returns the item as encoded on the wire."""
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "created": self.created,
            "lease": self.lease,
        }


@dataclasses.dataclass(frozen=True)
class Copy:
    """A copy of the store's content, from which it can be restored."""

    items: dict[str, Item]
    revision: int


class Store:
    """In-memory store, which serves while its context is open.

    Attributes:
        items: Stored items by key.
        revision: Current revision.
        history: Changes that were not compacted, oldest first.
        compact_revision: Revision up to which the history is compacted.
        leases: Expiry times of the leases, on the clock of the event loop.
        lease_ttls: Times to live of all leases that were ever granted, in
            seconds.
        is_down: Whether the store responds to every call with status 503.
        is_unresponsive: Whether the store delays responses by `HANG_S`.
        drops_responses: Whether writes take effect but get no response.
        delay_s: Additional duration of each call.
        late_write_delay_s: If not 0, writes get no response and take effect
            after this delay.
        era: Number of restores from a copy; named in every response.
        era_text: Text of the header with the era in place of the number; an
            empty one leaves the header out.
        page_size: Maximum number of items per response to a range call.
        calls: Paths of the calls that were received.
        address: Host and port.
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 1
        self.history: list[dict[str, Any]] = []
        self.compact_revision = 0
        self.leases: dict[int, float] = {}
        self.lease_ttls: dict[int, float] = {}
        self.is_down = False
        self.is_unresponsive = False
        self.drops_responses = False
        self.delay_s = 0.0
        self.late_write_delay_s = 0.0
        self.address = ""
        self._late_writes: set[asyncio.Task[web.StreamResponse]] = set()
        self.era = 1
        self.era_text: str | None = None
        self.page_size = 3
        self.calls: list[str] = []
        self._changed = asyncio.Condition()

    async def __aenter__(self) -> Self:
        self._server = web.Server(self._handle, access_log=None)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._server, "127.0.0.1", 0)
        host, port = self._listener.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self._expiry = asyncio.create_task(self._expire_leases())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        for task in self._late_writes:
            task.cancel()
        self._expiry.cancel()
        self._listener.close()
        await self._server.shutdown(0.1)

    async def put(self, key: str, value: object, lease: int = 0) -> int:
        """Writes a key, as the operator or an endpoint does.

        Args:
            key: Key to write.
            value: Value; encoded as JSON if it is not bytes.
            lease: Id of the lease to attach; 0 for none.

        Returns:
            Revision of the write.
        """
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self._write(key, data, lease)
        await self._notify()
        return self.revision

    async def remove(self, key: str) -> None:
        """Deletes a key, as the operator does."""
        self.revision += 1
        self._delete(key)
        await self._notify()

    def compact(self) -> None:
        """Compacts the whole history."""
        self.compact_revision = self.revision
        self.history.clear()

    def make_copy(self) -> Copy:
        """Returns a copy of the content without the leases."""
        items = {
            key: dataclasses.replace(item) for key, item in self.items.items()
        }
        return Copy(items, self.revision)

    async def restore(self, copy: Copy, *, keeps_leased: bool = False) -> None:
        """Restores a copy: later changes and all leases are gone.

        Args:
            copy: The copy.
            keeps_leased: Whether keys with a lease stay although it is gone.
        """
        self.items = {
            key: dataclasses.replace(item)
            for key, item in copy.items.items()
            if keeps_leased or not item.lease
        }
        self.revision = copy.revision
        self.history = [
            event
            for event in self.history
            if event["revision"] <= copy.revision
        ]
        self.compact_revision = min(self.compact_revision, copy.revision)
        self.leases.clear()
        self.era += 1
        await self._notify()

    def _write(self, key: str, data: bytes, lease: int) -> None:
        previous = self.items.get(key)
        created = previous.created if previous else self.revision
        item = Item(key, data, self.revision, created, lease)
        self.items[key] = item
        self.history.append(item.encode())

    def _delete(self, key: str) -> None:
        if self.items.pop(key, None):
            self.history.append(
                {"key": key, "revision": self.revision, "deleted": True}
            )

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _expire_leases(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(0.02)
            for lease, expires_at_s in list(self.leases.items()):
                if loop.time() > expires_at_s:
                    await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        keys = [k for k, item in self.items.items() if item.lease == lease]
        self.revision += 1
        for key in keys:
            self._delete(key)
        await self._notify()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        response = await self._respond(request)
        text = str(self.era) if self.era_text is None else self.era_text
        if text:
            response.headers["Store-Era"] = text
        return response

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        self.calls.append(request.path)
        if self.is_unresponsive:
            await asyncio.sleep(HANG_S)
        if self.is_down:
            return web.Response(status=503)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        body = await request.read()
        if self.late_write_delay_s and request.method != "GET":
            self._write_late(request, body)
            return web.Response()
        response = await self._execute(request, body)
        if self.drops_responses and request.method != "GET":
            _abort(request)
        return response

    def _write_late(self, request: web.BaseRequest, body: bytes) -> None:
        async def execute() -> web.StreamResponse:
            await asyncio.sleep(self.late_write_delay_s)
            return await self._execute(request, body)

        task = asyncio.create_task(execute())
        self._late_writes.add(task)
        task.add_done_callback(self._late_writes.discard)
        _abort(request)

    async def _execute(
        self, request: web.BaseRequest, body: bytes
    ) -> web.StreamResponse:
        message = json.loads(body) if body else {}
        match request.path.split("/")[2:]:
            case ["kv-key"]:
                return self._read_key(request.query["key"])
            case ["kv-range"]:
                return self._read_range(request.query)
            case ["kv-watch"]:
                return await self._watch(request.query)
            case ["kv-txn"]:
                return await self._commit(message)
            case ["kv-lease"]:
                return self._grant_lease(message["ttl_ms"])
            case ["kv-keep", lease]:
                return self._keep_alive(int(lease))
            case ["kv-lease-end", lease]:
                await self._end_lease(int(lease))
                return web.json_response({})
        return web.Response(status=404)

    def _read_key(self, key: str) -> web.Response:
        item = self.items.get(key)
        if item is None:
            return web.Response(status=404)
        return web.json_response(
            {**item.encode(), "current_rev": self.revision}
        )

    def _read_range(self, query: Mapping[str, str]) -> web.Response:
        after = query.get("start_after", "")
        found = sorted(
            key
            for key in self.items
            if key.startswith(query["path_prefix"]) and key > after
        )
        return web.json_response(
            {
                "items": [
                    self.items[key].encode() for key in found[: self.page_size]
                ],
                "truncated": len(found) > self.page_size,
                "current_rev": self.revision,
            }
        )

    async def _watch(self, query: Mapping[str, str]) -> web.Response:
        after = int(query["start_after"])
        wait_s = int(query["wait_ms"]) / 1000
        if after < self.compact_revision or after > self.revision:
            return web.Response(status=410)
        era = self.era

        def find() -> list[dict[str, Any]]:
            return [
                event
                for event in self.history
                if event["revision"] > after
                and event["key"].startswith(query["path_prefix"])
            ]

        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: find() or self.era != era)
        except TimeoutError:
            pass
        return web.json_response(
            {"events": find(), "current_rev": self.revision}
        )

    async def _commit(self, message: dict[str, Any]) -> web.Response:
        for condition in message["precondition"]:
            item = self.items.get(condition["key"])
            if (item.revision if item else 0) != condition["revision"]:
                return web.json_response(
                    {"items": [item.encode()] if item else []}, status=412
                )
        for write in message["writes"]:
            if write["lease"] and write["lease"] not in self.leases:
                return web.Response(status=404)
        self.revision += 1
        for write in message["writes"]:
            data = base64.b64decode(write["value"])
            self._write(write["key"], data, write["lease"])
        for key in message["remove"]:
            self._delete(key)
        await self._notify()
        return web.json_response({"revision": self.revision})

    def _grant_lease(self, ttl_ms: int) -> web.Response:
        lease = 1000 + len(self.lease_ttls)
        self.lease_ttls[lease] = ttl_ms / 1000
        self._reset_expiry(lease)
        return web.json_response({"lease": lease, "ttl_ms": ttl_ms})

    def _keep_alive(self, lease: int) -> web.Response:
        if lease not in self.leases:
            return web.Response(status=404)
        self._reset_expiry(lease)
        return web.json_response({"ttl_ms": self.lease_ttls[lease] * 1000})

    def _reset_expiry(self, lease: int) -> None:
        now_s = asyncio.get_running_loop().time()
        self.leases[lease] = now_s + self.lease_ttls[lease]


def _abort(request: web.BaseRequest) -> None:
    if request.transport is not None:
        request.transport.abort()
