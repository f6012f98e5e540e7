"""Execution log of a stand-in, which the invariant checks read."""

from __future__ import annotations

import pathlib
import time
from typing import Any

import msgspec
from aiohttp import web


class ExecutionLog:
    """Keeps log entries in memory and optionally appends them to a file.

    Args:
        path: File to append entries to as JSON lines; None for memory only.

    Attributes:
        entries: All entries, oldest first.
    """

    def __init__(self, path: str | None = None) -> None:
        self.entries: list[dict[str, Any]] = []
        self._path = pathlib.Path(path) if path else None

    def append(self, event: str, **fields: Any) -> None:
        """Appends an entry with the current wall time.

        Args:
            event: Kind of the entry.
            **fields: Further fields of the entry.
        """
        entry = {"event": event, "at_s": time.time(), **fields}
        self.entries.append(entry)
        if self._path is not None:
            with self._path.open("ab") as file:
                file.write(msgspec.json.encode(entry) + b"\n")

    async def handle_get(self, request: web.Request) -> web.Response:
        """Serves the entries from index `after` on as JSON lines."""
        after = int(request.query.get("after", "0"))
        lines = [msgspec.json.encode(entry) for entry in self.entries[after:]]
        return web.Response(
            body=b"".join(line + b"\n" for line in lines),
            content_type="application/x-ndjson",
        )
