"""The HTTP session of a client of the platform."""

from __future__ import annotations

from types import TracebackType
from typing import Self

import aiohttp


class SessionOwner:
    """Keeps an HTTP session while its context is open.

    Args:
        timeout_s: Time in seconds after which a call has failed.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        self._session = aiohttp.ClientSession(timeout=self._timeout)
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
