"""Client of the administration API."""

from __future__ import annotations

import ssl
import types
from collections.abc import Mapping
from typing import TypeVar

import aiohttp
import msgspec
import yarl

from poplarwick_administration import _requests
from poplarwick_administration import messages
from poplarwick_core import errors

TIMEOUT_S = 30.0

HELD_STATUS = 202
FIRST_ERROR_STATUS = 400

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
    """Calls the administration API of one instance.

    Args:
        server: Host and port of the instance's administration address.
        token: The operator's token.
        tls: TLS settings, or None for plain HTTP.
    """

    def __init__(
        self, server: str, token: str, tls: ssl.SSLContext | None = None
    ) -> None:
        scheme = "http" if tls is None else "https"
        self._base = f"{scheme}://{server}"
        self._tls = tls
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
            body=text.encode(),
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

    async def roll_back(
        self,
        environment: str,
        asked: messages.RollbackRequest,
        *,
        change_id: str,
    ) -> messages.AcceptedMessage:
        """Makes a new version with the text of an old one.

        Raises:
            RefusedError: The change was refused.
            UnreachableError: No answer came; repeat under the same id.
        """
        return await self._call(
            "POST",
            f"/v1/environments/{environment}/rollbacks",
            messages.AcceptedMessage,
            body=msgspec.json.encode(asked),
            headers={_requests.CHANGE_ID_HEADER: change_id},
        )

    async def preview_promotion(
        self, target: str, asked: messages.PromotionRequest
    ) -> messages.PreviewMessage:
        """Shows what a promotion would change.

        Raises:
            RefusedError: The promotion is not possible.
            UnreachableError: No answer came.
        """
        return await self._call(
            "POST",
            f"/v1/environments/{target}/promotions/preview",
            messages.PreviewMessage,
            body=msgspec.json.encode(asked),
        )

    async def promote(
        self,
        target: str,
        asked: messages.PromotionRequest,
        *,
        change_id: str,
    ) -> messages.AcceptedMessage:
        """Takes over the promoted parts of another environment.

        Raises:
            RefusedError: The change was refused.
            UnreachableError: No answer came; repeat under the same id.
        """
        return await self._call(
            "POST",
            f"/v1/environments/{target}/promotions",
            messages.AcceptedMessage,
            body=msgspec.json.encode(asked),
            headers={_requests.CHANGE_ID_HEADER: change_id},
        )

    async def read_audit(
        self, environment: str, filters: Mapping[str, str]
    ) -> messages.AuditMessage:
        """Reads the audit trail.

        Raises:
            RefusedError: The service is down, or a filter is not valid.
            UnreachableError: No answer came.
        """
        query = yarl.URL.build(query=filters).query_string
        return await self._call(
            "GET",
            f"/v1/environments/{environment}/audit?{query}",
            messages.AuditMessage,
        )

    async def take_out(
        self,
        environment: str,
        target: str,
        *,
        change_id: str,
        is_forced: bool = False,
    ) -> messages.AcceptedMessage | messages.HeldMessage:
        """Takes a target out of service.

        Args:
            environment: Name of the environment.
            target: Kind and name, such as `domain/d1`.
            change_id: Idempotency key of the change.
            is_forced: Whether a model may be left without an endpoint.

        Raises:
            RefusedError: The change was refused.
            UnreachableError: No answer came; repeat under the same id.
        """
        query = "?force=true" if is_forced else ""
        status, answer = await self._send(
            "PUT",
            f"/v1/environments/{environment}/out/{target}{query}",
            None,
            {_requests.CHANGE_ID_HEADER: change_id},
        )
        if status == HELD_STATUS:
            return _decode(answer, messages.HeldMessage, status)
        return _decode(answer, messages.AcceptedMessage, status)

    async def put_in(
        self, environment: str, target: str, *, change_id: str
    ) -> messages.AcceptedMessage:
        """Puts a target back into service.

        Raises:
            RefusedError: The change was refused.
            UnreachableError: No answer came; repeat under the same id.
        """
        return await self._call(
            "DELETE",
            f"/v1/environments/{environment}/out/{target}",
            messages.AcceptedMessage,
            headers={_requests.CHANGE_ID_HEADER: change_id},
        )

    async def issue_key(
        self,
        environment: str,
        organisation: str,
        asked: messages.KeyRequest,
        *,
        change_id: str,
    ) -> messages.KeyMessage:
        """Issues a caller key.

        Raises:
            RefusedError: The change was refused.
            UnreachableError: No answer came; the key may have been issued.
        """
        return await self._call(
            "POST",
            f"/v1/environments/{environment}/organisations/{organisation}/keys",
            messages.KeyMessage,
            body=msgspec.json.encode(asked),
            headers={_requests.CHANGE_ID_HEADER: change_id},
        )

    async def revoke_key(
        self, environment: str, organisation: str, key: str, *, change_id: str
    ) -> messages.AcceptedMessage:
        """Revokes a caller key.

        Raises:
            RefusedError: The change was refused.
            UnreachableError: No answer came; repeat under the same id.
        """
        return await self._call(
            "DELETE",
            f"/v1/environments/{environment}/organisations/{organisation}"
            f"/keys/{key}",
            messages.AcceptedMessage,
            headers={_requests.CHANGE_ID_HEADER: change_id},
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
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> T:
        status, answer = await self._send(method, path, body, headers)
        return _decode(answer, kind, status)

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str] | None,
    ) -> tuple[int, bytes]:
        assert self._session is not None
        url = yarl.URL(self._base + path, encoded=True)
        try:
            async with self._session.request(
                method, url, data=body, headers=headers, ssl=self._tls or True
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            reason = str(error) or "timeout"
            raise UnreachableError(f"{self._base}: {reason}") from error


def _decode(answer: bytes, kind: type[T], status: int) -> T:
    try:
        if status < FIRST_ERROR_STATUS:
            return msgspec.json.decode(answer, type=kind)
        refusal = msgspec.json.decode(answer, type=messages.ErrorMessage)
    except msgspec.MsgspecError as error:
        raise ClientError(f"unexpected answer with status {status}") from error
    raise RefusedError(refusal)
