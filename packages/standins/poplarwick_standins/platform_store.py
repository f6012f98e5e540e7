"""Stand-in of the users' platform's store, on loopback, with planted faults.

Speaks the platform's protocol, so its names stand here too.
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
"""Time that a silent store holds a call; longer than any caller waits."""


@dataclasses.dataclass
class Item:
    """A stored key."""

    key: str
    value: bytes
    revision: int
    created: int
    lease: int = 0

    def encode(self) -> dict[str, Any]:
        """Returns the item as it is sent."""
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "created": self.created,
            "lease": self.lease,
        }


class Store:
    """Keeps keys; serves while its context is open.

    Attributes:
        is_down: Answers 503 to everything.
        is_unresponsive: Answers nothing.
        drops_responses: Does what is asked and drops the connection.
        delay_s: Time that each call takes.
        late_write_delay_s: If not 0, writes get no response and take effect
            after this delay.
        page_size: Items on one page of a range.
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
        self._late: set[asyncio.Task[web.StreamResponse]] = set()
        self.page_size = 3
        self.calls: list[str] = []
        self._changed = asyncio.Condition()

    async def __aenter__(self) -> Self:
        self._server = web.Server(self._handle, access_log=None)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._server, "127.0.0.1", 0)
        host, port = self._listener.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self._expiry = asyncio.create_task(self._expire())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        for task in self._late:
            task.cancel()
        self._expiry.cancel()
        self._listener.close()
        await self._server.shutdown(0.1)

    async def put(self, key: str, value: object, lease: int = 0) -> int:
        """Writes a key as the operator or an endpoint does."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self._write(key, data, lease)
        await self._tell()
        return self.revision

    async def remove(self, key: str) -> None:
        """Removes a key."""
        self.revision += 1
        self._remove(key)
        await self._tell()

    def compact(self) -> None:
        """Forgets the history."""
        self.compact_revision = self.revision
        self.history.clear()

    def _write(self, key: str, data: bytes, lease: int) -> None:
        before = self.items.get(key)
        created = before.created if before else self.revision
        item = Item(key, data, self.revision, created, lease)
        self.items[key] = item
        self.history.append(item.encode())

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None):
            self.history.append(
                {"key": key, "revision": self.revision, "deleted": True}
            )

    async def _tell(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _expire(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(0.02)
            for lease, ends in list(self.leases.items()):
                if loop.time() > ends:
                    await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        held = [k for k, item in self.items.items() if item.lease == lease]
        self.revision += 1
        for key in held:
            self._remove(key)
        await self._tell()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.calls.append(request.path)
        if self.is_unresponsive:
            await asyncio.sleep(HANG_S)
        if self.is_down:
            return web.Response(status=503)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        body = await request.read()
        if self.late_write_delay_s and request.method != "GET":
            self._act_late(request, body)
            return web.Response()
        response = await self._answer(request, body)
        if self.drops_responses and request.method != "GET":
            _abort(request)
        return response

    def _act_late(self, request: web.BaseRequest, body: bytes) -> None:
        async def act() -> web.StreamResponse:
            await asyncio.sleep(self.late_write_delay_s)
            return await self._answer(request, body)

        task = asyncio.create_task(act())
        self._late.add(task)
        task.add_done_callback(self._late.discard)
        _abort(request)

    async def _answer(
        self, request: web.BaseRequest, body: bytes
    ) -> web.StreamResponse:
        asked = json.loads(body) if body else {}
        match request.path.split("/")[2:]:
            case ["kv-key"]:
                return self._read_key(request.query["key"])
            case ["kv-range"]:
                return self._read_range(request.query)
            case ["kv-watch"]:
                return await self._watch(request.query)
            case ["kv-txn"]:
                return await self._commit(asked)
            case ["kv-lease"]:
                return self._grant(asked["ttl_ms"])
            case ["kv-keep", lease]:
                return self._keep(int(lease))
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
        if after < self.compact_revision:
            return web.Response(status=410)

        def find() -> list[dict[str, Any]]:
            return [
                event
                for event in self.history
                if event["revision"] > after
                and event["key"].startswith(query["path_prefix"])
            ]

        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(find)
        except TimeoutError:
            pass
        return web.json_response(
            {"events": find(), "current_rev": self.revision}
        )

    async def _commit(self, asked: dict[str, Any]) -> web.Response:
        for row in asked["precondition"]:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return web.json_response(
                    {"items": [item.encode()] if item else []}, status=412
                )
        for write in asked["writes"]:
            if write["lease"] and write["lease"] not in self.leases:
                return web.Response(status=404)
        self.revision += 1
        for write in asked["writes"]:
            data = base64.b64decode(write["value"])
            self._write(write["key"], data, write["lease"])
        for key in asked["remove"]:
            self._remove(key)
        await self._tell()
        return web.json_response({"revision": self.revision})

    def _grant(self, ttl_ms: int) -> web.Response:
        lease = 1000 + len(self.lease_ttls)
        self.lease_ttls[lease] = ttl_ms / 1000
        self._renew(lease)
        return web.json_response({"lease": lease, "ttl_ms": ttl_ms})

    def _keep(self, lease: int) -> web.Response:
        if lease not in self.leases:
            return web.Response(status=404)
        self._renew(lease)
        return web.json_response({"ttl_ms": self.lease_ttls[lease] * 1000})

    def _renew(self, lease: int) -> None:
        now_s = asyncio.get_running_loop().time()
        self.leases[lease] = now_s + self.lease_ttls[lease]


def _abort(request: web.BaseRequest) -> None:
    if request.transport is not None:
        request.transport.abort()
