"""Operators that change configuration through the administration API."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import aiohttp
import msgspec
import uuid6

from poplarwick_bench import history
from poplarwick_core import errors

RESPONSE_TIMEOUT_S = 5.0
CHANGE_TIMEOUT_S = 30.0
RETRY_BACKOFF_S = 0.1


class OperatorError(errors.PoplarwickError):
    """A change was refused, or no response came in time.

    Attributes:
        status: HTTP status; 0 without a response.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class Operator:
    """Client of one instance's administration API.

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
        """Stores a document; retries until a response arrives.

        Raises:
            OperatorError: The change was refused, or no response came in
                time.
        """
        return await self._change("PUT", "/document", text)

    async def take_out(self, kind: str, name: str) -> history.Acceptance:
        """Takes a domain, instance or endpoint out of service.

        Raises:
            OperatorError: The change was refused, or no response came in
                time.
        """
        return await self._change("PUT", f"/out/{kind}/{name}", None)

    async def put_in(self, kind: str, name: str) -> history.Acceptance:
        """Returns a domain, instance or endpoint to service.

        Raises:
            OperatorError: The change was refused, or no response came in
                time.
        """
        return await self._change("DELETE", f"/out/{kind}/{name}", None)

    async def read_status(self) -> dict[str, Any]:
        """Returns the state of the fleet as seen by the instance.

        Raises:
            OperatorError: The request failed, or no response came in time.
        """
        status, body = await self._send("GET", self._status, None, {})
        if status != 200:
            raise OperatorError(status, body.decode(errors="replace"))
        state: dict[str, Any] = msgspec.json.decode(body)
        return state

    async def _change(
        self, method: str, path: str, data: bytes | None
    ) -> history.Acceptance:
        headers = {"Idempotency-Key": str(uuid6.uuid7())}
        try:
            async with asyncio.timeout(CHANGE_TIMEOUT_S):
                body = await self._send_with_retries(
                    method, path, data, headers
                )
        except TimeoutError as error:
            raise OperatorError(0, f"no response to {path} in time") from error
        # A change held during a key-value outage has no version yet.
        version = msgspec.json.decode(body).get("version", 0)
        return history.Acceptance(int(version), time.time())

    async def _send_with_retries(
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
            await asyncio.sleep(RETRY_BACKOFF_S)

    async def _send(
        self, method: str, url: str, data: bytes | None, headers: dict[str, str]
    ) -> tuple[int, bytes]:
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                async with self._session.request(
                    method, url, data=data, headers=self._headers | headers
                ) as response:
                    return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return 0, b""
