"""Client of the control protocol of a model engine."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import Protocol
from typing import TypeVar

import aiohttp
import msgspec

from poplarwick_core import ids
from poplarwick_endpoints import errors
from poplarwick_endpoints import messages
from poplarwick_platform import http_session

CALL_TIMEOUT_S = 5.0
EPOCH_HEADER = "Endpoint-Epoch"
STREAM_HEADER = "Endpoint-Stream"
PRIORITY_HEADER = "Endpoint-Priority"
DEADLINE_HEADER = "Endpoint-Deadline"

_Response = TypeVar("_Response")


class EngineControl(Protocol):
    """Control calls of one engine; a failed call raises `EndpointError`."""

    async def read_state(self) -> messages.EngineState:
        """Returns the current state of the engine."""
        ...

    async def read_report(self) -> messages.EngineReport:
        """Returns the load report, which lags behind the current state."""
        ...

    async def read_cache_events(
        self, after: int, wait_s: float
    ) -> messages.CacheEvents:
        """Waits for changes of the prefix cache.

        Args:
            after: Sequence number after which changes are returned.
            wait_s: Maximum time in seconds to wait for a change.
        """
        ...

    async def cancel(
        self, stream: ids.StreamId, epoch: ids.Epoch
    ) -> messages.CancelState:
        """Cancels a stream and frees its memory; idempotent."""
        ...

    async def prefill(
        self,
        stream: ids.StreamId,
        prompt: str,
        epoch: ids.Epoch,
        *,
        handle: str | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        """Prefills one segment of a prompt without decoding."""
        ...

    async def export_cache(
        self, stream: ids.StreamId, epoch: ids.Epoch
    ) -> messages.Handle:
        """Exports the KV cache of a stream."""
        ...

    async def import_cache(
        self,
        stream: ids.StreamId,
        handle: str,
        source: str,
        epoch: ids.Epoch,
    ) -> None:
        """Imports a KV cache that another engine exported.

        Args:
            stream: Identity of the stream at this engine.
            handle: Identity of the exported cache.
            source: Engine that exported the cache.
            epoch: Fencing token of the owner of the endpoint.
        """
        ...

    async def release_cache(self, handle: str, epoch: ids.Epoch) -> None:
        """Frees an exported KV cache; idempotent."""
        ...

    async def send_order(
        self,
        kind: messages.OrderKind,
        value: str,
        order_id: str,
        epoch: ids.Epoch,
    ) -> None:
        """Sends a command that changes what the engine runs.

        The command is idempotent by `order_id`.
        """
        ...


MakeControl = Callable[[str], EngineControl]
"""Creates the control client of the engine at an address."""


class EngineClient:
    """HTTP client of the control protocol of one engine.

    The session is shared with other clients.

    Attributes:
        address: Host and port of the engine.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self.address = address
        self._session = session
        self._base_url = f"http://{address}"

    async def read_state(self) -> messages.EngineState:
        """Returns the current state of the engine."""
        return await self._get("/control/state", messages.EngineState)

    async def read_report(self) -> messages.EngineReport:
        """Returns the load report, which lags behind the current state."""
        return await self._get("/control/report", messages.EngineReport)

    async def read_cache_events(
        self, after: int, wait_s: float
    ) -> messages.CacheEvents:
        """Waits for changes of the prefix cache.

        Args:
            after: Sequence number after which changes are returned.
            wait_s: Maximum time in seconds to wait for a change.
        """
        return await self._get(
            f"/control/cache-events?after={after}&wait_s={wait_s}",
            messages.CacheEvents,
            timeout_s=wait_s + CALL_TIMEOUT_S,
        )

    async def cancel(
        self, stream: ids.StreamId, epoch: ids.Epoch
    ) -> messages.CancelState:
        """Cancels a stream and frees its memory; idempotent."""
        path = f"/control/streams/{stream}/cancel"
        response = await self._post(path, {}, messages.CancelAnswer, epoch)
        return response.state

    async def prefill(
        self,
        stream: ids.StreamId,
        prompt: str,
        epoch: ids.Epoch,
        *,
        handle: str | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        """Prefills one segment of a prompt without decoding."""
        body: dict[str, str] = {"stream": stream, "prompt": prompt}
        if handle is not None:
            body["handle"] = handle
        await self._post(
            "/control/prefill", body, dict, epoch, timeout_s=timeout_s
        )

    async def export_cache(
        self, stream: ids.StreamId, epoch: ids.Epoch
    ) -> messages.Handle:
        """Exports the KV cache of a stream."""
        body = {"stream": stream}
        return await self._post(
            "/control/kv/export", body, messages.Handle, epoch
        )

    async def import_cache(
        self,
        stream: ids.StreamId,
        handle: str,
        source: str,
        epoch: ids.Epoch,
    ) -> None:
        """Imports a KV cache that another engine exported.

        Args:
            stream: Identity of the stream at this engine.
            handle: Identity of the exported cache.
            source: Engine that exported the cache.
            epoch: Fencing token of the owner of the endpoint.
        """
        body = {"handle": handle, "source": source, "stream": stream}
        await self._post("/control/kv/import", body, dict, epoch)

    async def release_cache(self, handle: str, epoch: ids.Epoch) -> None:
        """Frees an exported KV cache; idempotent."""
        body = {"handle": handle}
        await self._post("/control/kv/release", body, dict, epoch)

    async def send_order(
        self,
        kind: messages.OrderKind,
        value: str,
        order_id: str,
        epoch: ids.Epoch,
    ) -> None:
        """Sends a command that changes what the engine runs.

        The command is idempotent by `order_id`.
        """
        body = {"kind": kind.value, "value": value, "order_id": order_id}
        await self._post("/control/orders", body, dict, epoch)

    async def _get(
        self,
        path: str,
        response_type: type[_Response],
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> _Response:
        return await self._call("GET", path, response_type, timeout_s)

    async def _post(
        self,
        path: str,
        body: Mapping[str, str],
        response_type: type[_Response],
        epoch: ids.Epoch,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> _Response:
        return await self._call(
            "POST",
            path,
            response_type,
            timeout_s,
            json=body,
            headers={EPOCH_HEADER: str(epoch)},
        )

    async def _call(
        self,
        method: str,
        path: str,
        response_type: type[_Response],
        timeout_s: float,
        **options: Any,
    ) -> _Response:
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.request(
                method, self._base_url + path, timeout=timeout, **options
            ) as response:
                content = await http_session.read_body(response)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise errors.EndpointUnreachableError(
                f"{self.address}: {error!r}"
            ) from error
        if response.status >= 300:
            raise parse_error(response.status, content)
        try:
            return msgspec.json.decode(content, type=response_type)
        except msgspec.MsgspecError as error:
            raise errors.UnexpectedAnswerError(
                response.status, str(error)
            ) from error


class _ErrorDetail(msgspec.Struct, frozen=True):
    type: str = ""
    epoch: int = 0


class _ErrorBody(msgspec.Struct, frozen=True):
    error: _ErrorDetail = _ErrorDetail()


def parse_error(status: int, content: bytes) -> errors.EndpointError:
    """Returns the error for an error response of an endpoint.

    Args:
        status: HTTP status of the response.
        content: Body of the response.
    """
    try:
        detail = msgspec.json.decode(content, type=_ErrorBody).error
    except msgspec.MsgspecError:
        detail = _ErrorDetail()
    match detail.type:
        case "stale_epoch":
            return errors.StaleEpochError(detail.epoch)
        case "stream_exists":
            return errors.StreamExistsError(
                "a stream with this identity already exists"
            )
        case "overloaded" | "cold_overload":
            return errors.OverloadedError(detail.type)
    return errors.UnexpectedAnswerError(status, detail.type)
