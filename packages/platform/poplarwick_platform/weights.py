"""Client for the platform's rate-limited weight store.

Engines download weights themselves. Instances only read sizes and rates, so
that they do not start more loads at a time than the store can serve.
"""

from __future__ import annotations

from typing import TypeVar
from urllib import parse

import aiohttp
import msgspec

from poplarwick_core import errors
from poplarwick_core import ids
from poplarwick_platform import http_session

READ_TIMEOUT_S = 5.0
_HTTP_OK = 200
_HTTP_NOT_FOUND = 404

T = TypeVar("T")


class WeightStoreError(errors.PoplarwickError):
    """The weight store could not be read."""


class UnknownVersionError(WeightStoreError):
    """The weight store does not have this version."""


class WeightLimits(msgspec.Struct, frozen=True):
    """Capacity of the weight store.

    Attributes:
        bytes_per_s: Rate shared by all downloads.
        max_downloads: Maximum number of concurrent downloads.
    """

    bytes_per_s: float
    max_downloads: int


class WeightVersion(msgspec.Struct, frozen=True):
    """One version of a model's weights.

    Attributes:
        model: Id of the model.
        version: Name of the version.
        size_bytes: Size of the weights.
    """

    model: ids.ModelId
    version: str
    size_bytes: int


class WeightStoreClient(http_session.SessionOwner):
    """Reads limits and sizes from the weight store over HTTP.

    Args:
        address: Host and port of the store.
        timeout_s: Timeout of a read in seconds.
    """

    def __init__(self, address: str, timeout_s: float = READ_TIMEOUT_S) -> None:
        super().__init__(lambda: http_session.make_timed_session(timeout_s))
        self._base_url = f"http://{address}"

    async def read_limits(self) -> WeightLimits:
        """Returns the capacity of the store.

        Raises:
            WeightStoreError: The store cannot be reached.
        """
        return await self._read("/limits", WeightLimits)

    async def describe(self, model: ids.ModelId, version: str) -> WeightVersion:
        """Returns the size of a version.

        Raises:
            UnknownVersionError: The store does not have the version.
            WeightStoreError: The store cannot be reached.
        """
        names = (parse.quote(name, safe="") for name in (model, version))
        path = "/models/{}/versions/{}".format(*names)
        return await self._read(path, WeightVersion)

    async def _read(self, path: str, kind: type[T]) -> T:
        if self._session is None:
            raise WeightStoreError("the client is closed")
        try:
            async with self._session.get(self._base_url + path) as response:
                if response.status == _HTTP_NOT_FOUND:
                    raise UnknownVersionError(path)
                if response.status != _HTTP_OK:
                    raise WeightStoreError(f"{path}: {response.status}")
                content = await http_session.read_body(response)
            return msgspec.json.decode(content, type=kind)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise WeightStoreError(repr(error)) from error
        except msgspec.DecodeError as error:
            raise WeightStoreError(f"malformed reply: {error}") from error
