"""Stand-in of the platform's store, on loopback, with planted faults."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import json

from aiohttp import web


@dataclasses.dataclass
class Item:
    """A stored key."""

    key: str
    value: bytes
    revision: int
    created: int
    lease: int = 0

    def encode(self) -> dict:
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
        is_silent: Answers nothing.
        loses_answers: Does what is asked and drops the connection.
        page: Items on one page of a range.
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 1
        self.log: list[dict] = []
        self.kept_from = 0
        self.leases: dict[int, float] = {}
        self.lease_ttls: dict[int, float] = {}
        self.is_down = False
        self.is_silent = False
        self.loses_answers = False
        self.page = 3
        self.calls: list[str] = []
        self._changed = asyncio.Condition()

    async def __aenter__(self):
        self._server = web.Server(self._handle, access_log=None)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._server, "127.0.0.1", 0)
        host, port = self._listener.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self._expiry = asyncio.create_task(self._expire())
        return self

    async def __aexit__(self, *_):
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
        self.kept_from = self.revision
        self.log.clear()

    def _write(self, key: str, data: bytes, lease: int) -> None:
        before = self.items.get(key)
        created = before.created if before else self.revision
        item = Item(key, data, self.revision, created, lease)
        self.items[key] = item
        self.log.append(item.encode())

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None):
            self.log.append(
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

    async def _handle(self, request):
        self.calls.append(request.path)
        if self.is_silent:
            await asyncio.sleep(60)
        if self.is_down:
            return web.Response(status=503)
        response = await self._answer(request)
        if self.loses_answers and request.method != "GET":
            request.transport.abort()
        return response

    async def _answer(self, request):
        body = await request.read()
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

    def _read_key(self, key):
        item = self.items.get(key)
        if item is None:
            return web.Response(status=404)
        return web.json_response(
            {**item.encode(), "current_rev": self.revision}
        )

    def _read_range(self, query):
        after = query.get("start_after", "")
        found = sorted(
            key
            for key in self.items
            if key.startswith(query["path_prefix"]) and key > after
        )
        return web.json_response(
            {
                "items": [
                    self.items[key].encode() for key in found[: self.page]
                ],
                "truncated": len(found) > self.page,
                "current_rev": self.revision,
            }
        )

    async def _watch(self, query):
        after = int(query["start_after"])
        wait_s = int(query["wait_ms"]) / 1000
        if after < self.kept_from:
            return web.Response(status=410)

        def find():
            return [
                event
                for event in self.log
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

    async def _commit(self, asked):
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

    def _grant(self, ttl_ms):
        lease = 1000 + len(self.lease_ttls)
        self.lease_ttls[lease] = ttl_ms / 1000
        self._renew(lease)
        return web.json_response({"lease": lease, "ttl_ms": ttl_ms})

    def _keep(self, lease):
        if lease not in self.leases:
            return web.Response(status=404)
        self._renew(lease)
        return web.json_response({"ttl_ms": self.lease_ttls[lease] * 1000})

    def _renew(self, lease):
        now_s = asyncio.get_running_loop().time()
        self.leases[lease] = now_s + self.lease_ttls[lease]
