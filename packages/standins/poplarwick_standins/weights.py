"""Stand-in for the platform's rate-limited weight store.

`GET /limits` returns the limits, `GET /models/{model}/versions/{version}` the
size of a version and `.../content` its bytes. All downloads share one rate
limit. Downloads above the concurrency limit are refused with status 429 and
`Retry-After`.
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
from typing import Annotated

import msgspec
from aiohttp import web

from poplarwick_core import clock
from poplarwick_core import jsonc
from poplarwick_standins import _http

CHUNK_BYTES = 65_536
RETRY_AFTER_S = 1


class StoredVersion(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One version of a model's weights.

    Attributes:
        model: Id of the model.
        version: Name of the version.
        size_bytes: Size of the weights.
    """

    model: str
    version: str
    size_bytes: Annotated[int, msgspec.Meta(ge=1)]


class WeightsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the weight store.

    Attributes:
        bytes_per_s: Total rate of all downloads.
        max_downloads: Maximum number of concurrent downloads.
        versions: Stored versions.
    """

    bytes_per_s: Annotated[float, msgspec.Meta(gt=0)] = 1e9
    max_downloads: Annotated[int, msgspec.Meta(ge=1)] = 4
    versions: tuple[StoredVersion, ...] = ()


class Limits(msgspec.Struct, frozen=True):
    """Body of `GET /limits`."""

    bytes_per_s: float
    max_downloads: int


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds no options; the settings file has everything."""


async def serve(arguments: argparse.Namespace) -> None:
    """Serves until cancelled.

    Raises:
        errors.DocumentError: The settings file cannot be read or is invalid.
    """
    settings = WeightsSettings()
    if arguments.settings:
        settings = jsonc.read_file(
            pathlib.Path(arguments.settings), WeightsSettings
        )
    await _http.serve_application(make_application(settings), arguments.listen)


def make_application(settings: WeightsSettings) -> web.Application:
    """Returns the web application of a weight store."""
    return WeightStore(settings).application


class WeightStore:
    """HTTP service of the weight store.

    Args:
        settings: Settings of the store.
    """

    def __init__(self, settings: WeightsSettings) -> None:
        self._settings = settings
        self._versions = {(v.model, v.version): v for v in settings.versions}
        self._downloads = 0
        self._next_send_s = 0.0
        self.application = web.Application()
        router = self.application.router
        path = "/models/{model}/versions/{version}"
        router.add_get("/limits", self._show_limits)
        router.add_get(path, self._describe)
        router.add_get(path + "/content", self._download)

    async def _show_limits(self, request: web.Request) -> web.Response:
        limits = Limits(
            self._settings.bytes_per_s, self._settings.max_downloads
        )
        return _make_response(limits)

    async def _describe(self, request: web.Request) -> web.Response:
        return _make_response(self._find(request))

    async def _download(self, request: web.Request) -> web.StreamResponse:
        version = self._find(request)
        if self._downloads >= self._settings.max_downloads:
            raise web.HTTPTooManyRequests(
                headers={"Retry-After": str(RETRY_AFTER_S)}
            )
        self._downloads += 1
        try:
            return await self._send(request, version.size_bytes)
        finally:
            self._downloads -= 1

    async def _send(
        self, request: web.Request, size_bytes: int
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_length = size_bytes
        await response.prepare(request)
        remaining = size_bytes
        while remaining:
            chunk_bytes = min(remaining, CHUNK_BYTES)
            await self._wait_for_rate(chunk_bytes)
            await response.write(bytes(chunk_bytes))
            remaining -= chunk_bytes
        return response

    async def _wait_for_rate(self, size_bytes: int) -> None:
        now_s = clock.now_s()
        self._next_send_s = max(self._next_send_s, now_s)
        self._next_send_s += size_bytes / self._settings.bytes_per_s
        await asyncio.sleep(self._next_send_s - now_s)

    def _find(self, request: web.Request) -> StoredVersion:
        match = request.match_info
        version = self._versions.get((match["model"], match["version"]))
        if version is None:
            raise web.HTTPNotFound(text="no such version")
        return version


def _make_response(body: msgspec.Struct) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body), content_type="application/json"
    )
