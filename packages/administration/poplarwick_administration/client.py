"""Client of the administration API."""

from __future__ import annotations

import types
from typing import TypeVar

import aiohttp
import msgspec

from poplarwick_administration import _requests
from poplarwick_administration import messages
from poplarwick_core import errors

TIMEOUT_S = 30.0

T = TypeVar("T")


class ClientError(errors.PoplarwickError):
    """A call of the administration API did not succeed."""


class UnreachableError(ClientError):
    """The instance did not answer; the call may have taken effect."""


class RefusedError(ClientError):
    """The instance refused the call.

    Attributes:
        body: The refusal.
    """

    def __init__(self, body: messages.ErrorMessage) -> None:
        super().__init__(body.message)
        self.body = body


class AdministrationClient:
    """Calls the administration API of one instance."""

    def __init__(self, server: str, token: str) -> None:
        self._base = f"http://{server}"
        self._headers = {"Authorization": f"Bearer {token}"}
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> AdministrationClient:
        """Opens the connection pool."""
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        self._session = aiohttp.ClientSession(
            headers=self._headers, timeout=timeout
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def push_document(
        self,
        environment: str,
        text: str,
        *,
        change_id: str,
        expected_version: int | None = None,
    ) -> messages.AcceptedMessage:
        """Stores a new version of an environment's document.

        Raises:
            RefusedError: The change was refused.
            UnreachableError: No answer came; push again under the same id.
        """
        headers = {_requests.CHANGE_ID_HEADER: change_id}
        if expected_version is not None:
            headers[_requests.EXPECTED_VERSION_HEADER] = f'"{expected_version}"'
        return await self._call(
            "PUT",
            f"/v1/environments/{environment}/document",
            messages.AcceptedMessage,
            text=text,
            headers=headers,
        )

    async def read_document(
        self, environment: str, version: int | None = None
    ) -> messages.DocumentMessage:
        """Reads a version of a document; None means the newest one.

        Raises:
            RefusedError: There is no such version, or the service is down.
            UnreachableError: No answer came.
        """
        query = f"?version={version}" if version is not None else ""
        return await self._call(
            "GET",
            f"/v1/environments/{environment}/document{query}",
            messages.DocumentMessage,
        )

    async def read_status(self) -> messages.StatusMessage:
        """Reads the state of the fleet.

        Raises:
            RefusedError: The token is not accepted.
            UnreachableError: No answer came.
        """
        return await self._call("GET", "/v1/status", messages.StatusMessage)

    async def _call(
        self,
        method: str,
        path: str,
        kind: type[T],
        *,
        text: str | None = None,
        headers: dict[str, str] | None = None,
    ) -> T:
        assert self._session is not None
        data = text.encode() if text is not None else None
        try:
            async with self._session.request(
                method, self._base + path, data=data, headers=headers
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            reason = str(error) or "timeout"
            raise UnreachableError(f"{self._base}: {reason}") from error
        return _decode(body, kind, response.status)


def _decode(body: bytes, kind: type[T], status: int) -> T:
    try:
        if status < 400:
            return msgspec.json.decode(body, type=kind)
        refusal = msgspec.json.decode(body, type=messages.ErrorMessage)
    except msgspec.MsgspecError as error:
        raise ClientError(f"unexpected answer with status {status}") from error
    raise RefusedError(refusal)
