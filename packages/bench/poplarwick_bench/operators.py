"""Operators who call the administration API and record what they are told."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import aiohttp
import msgspec
import uuid6

from poplarwick_bench import history
from poplarwick_core import errors

ANSWER_TIMEOUT_S = 5.0
CHANGE_TIMEOUT_S = 30.0
RETRY_PAUSE_S = 0.1


class OperatorError(errors.PoplarwickError):
    """A change was refused, or no answer came in time.

    Attributes:
        status: HTTP status; 0 if no answer came.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class Operator:
    """Calls one instance's administration API.

    Attributes:
        address: Host and port of the administration API.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        environment: str,
        token: str,
    ) -> None:
        self.address = address
        self._session = session
        self._base = f"http://{address}/v1/environments/{environment}"
        self._status = f"http://{address}/v1/status"
        self._headers = {"Authorization": f"Bearer {token}"}

    async def push(self, text: bytes) -> history.Acceptance:
        """Stores a document; repeats the change until it is answered.

        Raises:
            OperatorError: It was refused, or no answer came in time.
        """
        return await self._change("PUT", "/document", text)

    async def take_out(self, kind: str, name: str) -> history.Acceptance:
        """Takes a domain, instance or endpoint out of service.

        Raises:
            OperatorError: It was refused, or no answer came in time.
        """
        return await self._change("PUT", f"/out/{kind}/{name}", None)

    async def put_in(self, kind: str, name: str) -> history.Acceptance:
        """Puts a domain, instance or endpoint back into service.

        Raises:
            OperatorError: It was refused, or no answer came in time.
        """
        return await self._change("DELETE", f"/out/{kind}/{name}", None)

    async def read_status(self) -> dict[str, Any]:
        """Returns the state of the fleet as the instance sees it.

        Raises:
            OperatorError: No answer came.
        """
        status, body = await self._send("GET", self._status, None, {})
        if status != 200:
            raise OperatorError(status, body.decode(errors="replace"))
        found: dict[str, Any] = msgspec.json.decode(body)
        return found

    async def _change(
        self, method: str, path: str, data: bytes | None
    ) -> history.Acceptance:
        headers = {"Idempotency-Key": str(uuid6.uuid7())}
        try:
            async with asyncio.timeout(CHANGE_TIMEOUT_S):
                body = await self._repeat(method, path, data, headers)
        except TimeoutError as error:
            raise OperatorError(0, f"{path} was not answered") from error
        # A change held in an outage has no version yet.
        version = msgspec.json.decode(body).get("version", 0)
        return history.Acceptance(int(version), time.time())

    async def _repeat(
        self,
        method: str,
        path: str,
        data: bytes | None,
        headers: dict[str, str],
    ) -> bytes:
        while True:
            status, body = await self._send(
                method, self._base + path, data, headers
            )
            if 200 <= status < 300:
                return body
            if 400 <= status < 500 and status != 429:
                raise OperatorError(status, body.decode(errors="replace"))
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _send(
        self, method: str, url: str, data: bytes | None, headers: dict[str, str]
    ) -> tuple[int, bytes]:
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                async with self._session.request(
                    method, url, data=data, headers=self._headers | headers
                ) as response:
                    return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return 0, b""
