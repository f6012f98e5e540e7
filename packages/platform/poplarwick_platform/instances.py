"""Client for the platform's list of instances, which lags by some seconds."""

from __future__ import annotations

import enum

import aiohttp
import msgspec

from poplarwick_core import errors
from poplarwick_core import ids
from poplarwick_platform import http_session

READ_TIMEOUT_S = 2.0
_HTTP_OK = 200


class InstanceListError(errors.PoplarwickError):
    """The instance list could not be read."""


class ListedState(enum.Enum):
    """State of an instance as reported by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedInstance(msgspec.Struct, frozen=True):
    """An instance as listed by the platform, with a lag of some seconds.

    Attributes:
        instance: Unique id, unchanged by restarts of the process.
        address: Host and port of the peer protocol.
        domain: Failure domain of the instance.
        region: Region of the instance.
        state: State reported by the platform.
    """

    instance: ids.InstanceId
    address: str
    domain: ids.DomainId
    region: ids.RegionId
    state: ListedState = ListedState.LIVE


class InstanceListClient(http_session.SessionOwner):
    """Reads the list over HTTP.

    Args:
        address: Host and port of the list.
        timeout_s: Timeout of a read in seconds.
    """

    def __init__(self, address: str, timeout_s: float = READ_TIMEOUT_S) -> None:
        super().__init__(lambda: http_session.make_timed_session(timeout_s))
        self._url = f"http://{address}/instances"

    async def read(self) -> tuple[ListedInstance, ...]:
        """Returns the listed instances.

        Raises:
            InstanceListError: The list cannot be reached or is malformed.
        """
        if self._session is None:
            raise InstanceListError("the client is closed")
        try:
            async with self._session.get(self._url) as response:
                if response.status != _HTTP_OK:
                    raise InstanceListError(f"status {response.status}")
                content = await http_session.read_body(response)
            return msgspec.json.decode(content, type=tuple[ListedInstance, ...])
        except (aiohttp.ClientError, TimeoutError) as error:
            raise InstanceListError(repr(error)) from error
        except msgspec.DecodeError as error:
            raise InstanceListError(f"malformed list: {error}") from error
