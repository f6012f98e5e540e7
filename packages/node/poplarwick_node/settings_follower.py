"""Watches the settings file of a running instance and applies changes."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable

from poplarwick_catalogue import deployment
from poplarwick_core import errors
from poplarwick_core import logs
from poplarwick_node import log_events

POLL_PERIOD_S = 1.0
"""Period at which the file is read, because it may change without a signal;
half of the shortest time limit for applying a configuration."""


class SettingsFollower:
    """Applies changed bounds at once; other changes need a restart.

    If the file cannot be read, the last settings stay in force.

    Args:
        instance_deployment: Deployment of the instance; its bounds are
            replaced.
        read: Reads the settings file.
        refresh: Called after the bounds have changed.
    """

    def __init__(
        self,
        instance_deployment: deployment.Deployment,
        read: Callable[[], deployment.Deployment],
        refresh: Callable[[], None],
    ) -> None:
        self._deployment = instance_deployment
        self._read = read
        self._refresh = refresh
        self._reload_requested = asyncio.Event()
        self._last_logged_event: object = None

    def request_reload(self) -> None:
        """Makes `run` read the file at once; called on SIGHUP."""
        logs.log(log_events.SettingsSignalled())
        self._reload_requested.set()

    async def run(self) -> None:
        """Reads the file periodically until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(POLL_PERIOD_S):
                    await self._reload_requested.wait()
            self._reload_requested.clear()
            self.reload()

    def reload(self) -> None:
        """Reads the file and applies changed bounds."""
        try:
            found = self._read()
        except errors.DocumentError as error:
            self._log_once(log_events.SettingsNotRead(reason=str(error)))
            return
        restart_fields = _find_restart_fields(self._deployment, found)
        if restart_fields:
            self._log_once(
                log_events.SettingsNeedRestart(fields=",".join(restart_fields))
            )
        else:
            self._last_logged_event = None
        if found.bounds != self._deployment.bounds:
            changed = _describe_changes(self._deployment.bounds, found.bounds)
            self._deployment.bounds = found.bounds
            self._refresh()
            logs.log(log_events.SettingsApplied(bounds=",".join(changed)))

    def _log_once(self, event: logs.Event) -> None:
        # The file is read every second; an unchanged problem is logged once.
        if event != self._last_logged_event:
            self._last_logged_event = event
            logs.log(event)


def _find_restart_fields(
    current: deployment.Deployment, found: deployment.Deployment
) -> list[str]:
    changed = [
        field.name
        for field in dataclasses.fields(deployment.Deployment)
        if getattr(current, field.name) != getattr(found, field.name)
    ]
    return [name for name in changed if name != "bounds"]


def _describe_changes(
    current: deployment.Bounds, found: deployment.Bounds
) -> list[str]:
    return [
        f"{field.name}:{getattr(found, field.name)}"
        for field in dataclasses.fields(deployment.Bounds)
        if getattr(current, field.name) != getattr(found, field.name)
    ]
