"""Log of what a stand-in executed, for the invariant checks."""

from __future__ import annotations

import pathlib
import time
from typing import Any

import msgspec
from aiohttp import web


class ExecutionLog:
    """Appends entries to memory and, when told to, to a file.

    Attributes:
        entries: All entries, oldest first.
    """

    def __init__(self, path: str | None = None) -> None:
        self.entries: list[dict[str, Any]] = []
        self._path = pathlib.Path(path) if path else None

    def append(self, event: str, **fields: Any) -> None:
        """Adds one entry with the wall time in seconds."""
        entry = {"event": event, "at_s": time.time(), **fields}
        self.entries.append(entry)
        if self._path is not None:
            with self._path.open("ab") as file:
                file.write(msgspec.json.encode(entry) + b"\n")

    async def handle_get(self, request: web.Request) -> web.Response:
        """Serves the entries as JSON lines, from number `after` on."""
        after = int(request.query.get("after", "0"))
        lines = [msgspec.json.encode(entry) for entry in self.entries[after:]]
        return web.Response(
            body=b"".join(line + b"\n" for line in lines),
            content_type="application/x-ndjson",
        )
