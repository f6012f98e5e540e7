"""Stand-in for the platform's list of live and leaving instances.

`GET /instances` returns the list with a delay, that is as it was `lag_s` ago.
Tests and the demo act as the platform with `POST /instances` and
`DELETE /instances/{id}`, and set the delay with `POST /control/lag`.
"""

from __future__ import annotations

import argparse
import collections
import pathlib
from typing import Annotated

import msgspec
from aiohttp import web

from poplarwick_core import clock
from poplarwick_core import jsonc
from poplarwick_standins import _http


class ListedInstance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An instance as the platform lists it.

    Attributes:
        instance: Unique id.
        address: Host and port of the peer protocol.
        domain: Failure domain.
        region: Region.
        state: `live` or `leaving`.
    """

    instance: str
    address: str
    domain: str
    region: str
    state: Annotated[str, msgspec.Meta(pattern="^(live|leaving)$")] = "live"


class InstancesSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Settings of the instance list.

    Attributes:
        lag_s: Delay with which changes become visible.
        instances: Instances listed at the start.
    """

    lag_s: Annotated[float, msgspec.Meta(ge=0, le=600)] = 0.0
    instances: tuple[ListedInstance, ...] = ()


class Lag(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of `POST /control/lag`."""

    lag_s: Annotated[float, msgspec.Meta(ge=0, le=600)]


Listing = tuple[ListedInstance, ...]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds no options; the settings file has everything."""


async def serve(arguments: argparse.Namespace) -> None:
    """Serves until cancelled.

    Raises:
        errors.DocumentError: The settings file cannot be read or is invalid.
    """
    settings = InstancesSettings()
    if arguments.settings:
        settings = jsonc.read_file(
            pathlib.Path(arguments.settings), InstancesSettings
        )
    await _http.serve_application(make_application(settings), arguments.listen)


def make_application(
    settings: InstancesSettings | None = None,
) -> web.Application:
    """Returns the web application of a new instance list."""
    return InstanceListService(settings or InstancesSettings()).application


class InstanceListService:
    """HTTP service of the instance list.

    Args:
        settings: Settings of the list.
    """

    def __init__(self, settings: InstancesSettings) -> None:
        self._lag_s = settings.lag_s
        self._current = {
            listed.instance: listed for listed in settings.instances
        }
        self._visible = settings.instances
        self._pending: collections.deque[tuple[float, Listing]] = (
            collections.deque()
        )
        self.application = web.Application()
        router = self.application.router
        router.add_get("/instances", self._list)
        router.add_post("/instances", self._register)
        router.add_delete("/instances/{instance}", self._remove)
        router.add_post("/control/lag", self._set_lag)

    async def _list(self, request: web.Request) -> web.Response:
        visible_until_s = clock.now_s() - self._lag_s
        while self._pending and self._pending[0][0] <= visible_until_s:
            _, self._visible = self._pending.popleft()
        return web.Response(
            body=msgspec.json.encode(self._visible),
            content_type="application/json",
        )

    async def _register(self, request: web.Request) -> web.Response:
        try:
            listed = msgspec.json.decode(
                await request.read(), type=ListedInstance
            )
        except msgspec.DecodeError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        self._current[listed.instance] = listed
        self._record_listing()
        return web.Response(status=204)

    async def _remove(self, request: web.Request) -> web.Response:
        if self._current.pop(request.match_info["instance"], None) is None:
            raise web.HTTPNotFound(text="no such instance")
        self._record_listing()
        return web.Response(status=204)

    async def _set_lag(self, request: web.Request) -> web.Response:
        try:
            lag = msgspec.json.decode(await request.read(), type=Lag)
        except msgspec.DecodeError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        self._lag_s = lag.lag_s
        return web.Response(status=204)

    def _record_listing(self) -> None:
        self._pending.append((clock.now_s(), tuple(self._current.values())))
