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
from poplarwick_platform import http_session

TIMEOUT_S = 30.0

MAX_ANSWER_BYTES = 32 << 20
"""Largest answer that is gathered, such as a document or an audit trail."""

HELD_STATUS = 202
FIRST_ERROR_STATUS = 400

T = TypeVar("T")


class ClientError(errors.PoplarwickError):
    """A call of the administration API did not succeed."""


class UnreachableError(ClientError):
    """No response arrived; the call may have taken effect."""


class RefusedError(ClientError):
    """The instance refused the call.

    Attributes:
        body: Body of the error response.
    """

    def __init__(self, body: messages.ErrorMessage) -> None:
        super().__init__(body.message)
        self.body = body


class AdministrationClient:
    """Calls the administration API of one instance.

    Args:
        server: Host and port of the instance's administration address.
        token: Token of the operator, or None if a client certificate in
            `tls` authenticates the operator.
        tls: TLS settings, or None for plain HTTP.
    """

    def __init__(
        self,
        server: str,
        token: str | None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        scheme = "http" if tls is None else "https"
        self._base_url = f"{scheme}://{server}"
        self._tls = tls
        self._headers: dict[str, str] = {}
        if token is not None:
            self._headers["Authorization"] = f"Bearer {token}"
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> AdministrationClient:
        """Opens the connection pool."""
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        self._session = http_session.make_shared_session(
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
        """Stores a new version of the document of an environment.

        Raises:
            RefusedError: The change was refused.
            UnreachableError: No response arrived; retry with the same id.
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
        """Reads a version of a document; None means the latest one.

        Raises:
            RefusedError: The version does not exist, or the key-value service
                cannot be reached.
            UnreachableError: No response arrived.
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
        rollback_request: messages.RollbackRequest,
        *,
        change_id: str,
    ) -> messages.AcceptedMessage:
        """Creates a new version with the text of an earlier one.

        Raises:
            RefusedError: The change was refused.
            UnreachableError: No response arrived; retry with the same id.
        """
        return await self._call(
            "POST",
            f"/v1/environments/{environment}/rollbacks",
            messages.AcceptedMessage,
            body=msgspec.json.encode(rollback_request),
            headers={_requests.CHANGE_ID_HEADER: change_id},
        )

    async def preview_promotion(
        self, target: str, promotion_request: messages.PromotionRequest
    ) -> messages.PreviewMessage:
        """Returns the changes that a promotion would make.

        Raises:
            RefusedError: The promotion is not possible.
            UnreachableError: No response arrived.
        """
        return await self._call(
            "POST",
            f"/v1/environments/{target}/promotions/preview",
            messages.PreviewMessage,
            body=msgspec.json.encode(promotion_request),
        )

    async def promote(
        self,
        target: str,
        promotion_request: messages.PromotionRequest,
        *,
        change_id: str,
    ) -> messages.AcceptedMessage:
        """Copies the promoted sections of another environment to the target.

        Raises:
            RefusedError: The change was refused.
            UnreachableError: No response arrived; retry with the same id.
        """
        return await self._call(
            "POST",
            f"/v1/environments/{target}/promotions",
            messages.AcceptedMessage,
            body=msgspec.json.encode(promotion_request),
            headers={_requests.CHANGE_ID_HEADER: change_id},
        )

    async def read_audit(
        self, environment: str, filters: Mapping[str, str]
    ) -> messages.AuditMessage:
        """Reads the audit trail.

        Raises:
            RefusedError: The key-value service cannot be reached, or a filter
                is not valid.
            UnreachableError: No response arrived.
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
            is_forced: Whether a model or service may be left without an
                endpoint.

        Raises:
            RefusedError: The change was refused.
            UnreachableError: No response arrived; retry with the same id.
        """
        query = "?force=true" if is_forced else ""
        status, content = await self._send(
            "PUT",
            f"/v1/environments/{environment}/out/{target}{query}",
            None,
            {_requests.CHANGE_ID_HEADER: change_id},
        )
        if status == HELD_STATUS:
            return _decode(content, messages.HeldMessage, status)
        return _decode(content, messages.AcceptedMessage, status)

    async def put_in(
        self, environment: str, target: str, *, change_id: str
    ) -> messages.AcceptedMessage:
        """Puts a target back into service.

        Raises:
            RefusedError: The change was refused.
            UnreachableError: No response arrived; retry with the same id.
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
        key_request: messages.KeyRequest,
        *,
        change_id: str,
    ) -> messages.KeyMessage:
        """Issues a caller key.

        Raises:
            RefusedError: The change was refused.
            UnreachableError: No response arrived; the key may have been issued.
        """
        return await self._call(
            "POST",
            f"/v1/environments/{environment}/organisations/{organisation}/keys",
            messages.KeyMessage,
            body=msgspec.json.encode(key_request),
            headers={_requests.CHANGE_ID_HEADER: change_id},
        )

    async def revoke_key(
        self, environment: str, organisation: str, key: str, *, change_id: str
    ) -> messages.AcceptedMessage:
        """Revokes a caller key.

        Raises:
            RefusedError: The change was refused.
            UnreachableError: No response arrived; retry with the same id.
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
            RefusedError: The credentials are not accepted.
            UnreachableError: No response arrived.
        """
        return await self._call("GET", "/v1/status", messages.StatusMessage)

    async def _call(
        self,
        method: str,
        path: str,
        message_type: type[T],
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> T:
        status, content = await self._send(method, path, body, headers)
        return _decode(content, message_type, status)

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str] | None,
    ) -> tuple[int, bytes]:
        assert self._session is not None
        url = yarl.URL(self._base_url + path, encoded=True)
        try:
            async with self._session.request(
                method, url, data=body, headers=headers, ssl=self._tls or True
            ) as response:
                content = await http_session.read_body(
                    response, MAX_ANSWER_BYTES
                )
                return response.status, content
        except (aiohttp.ClientError, TimeoutError) as error:
            reason = str(error) or "timeout"
            raise UnreachableError(f"{self._base_url}: {reason}") from error


def _decode(content: bytes, message_type: type[T], status: int) -> T:
    try:
        if status < FIRST_ERROR_STATUS:
            return msgspec.json.decode(content, type=message_type)
        refusal = msgspec.json.decode(content, type=messages.ErrorMessage)
    except msgspec.MsgspecError as error:
        raise ClientError(
            f"unexpected response body with status {status}"
        ) from error
    raise RefusedError(refusal)
