"""Follows the settings file of an instance while it runs."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable

from poplarwick_catalogue import deployment
from poplarwick_core import errors
from poplarwick_core import logs
from poplarwick_node import log_events

POLL_S = 1.0
"""Period at which the file is read: it may change without a signal. Half of
the shortest bound on applying a configuration."""


class SettingsFollower:
    """Puts changed bounds in force; other changes wait for a restart.

    A file that cannot be read changes nothing.

    Args:
        place: Where the instance runs; its bounds are replaced.
        read: Reads the settings.
        refresh: Called after bounds have changed.
    """

    def __init__(
        self,
        place: deployment.Deployment,
        read: Callable[[], deployment.Deployment],
        refresh: Callable[[], None],
    ) -> None:
        self._place = place
        self._read = read
        self._refresh = refresh
        self._signalled = asyncio.Event()
        self._told: object = None

    def note_signal(self) -> None:
        """Reads the file now."""
        logs.log(log_events.SettingsSignalled())
        self._signalled.set()

    async def run(self) -> None:
        """Follows the file until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(POLL_S):
                    await self._signalled.wait()
            self._signalled.clear()
            self.reload()

    def reload(self) -> None:
        """Reads the file and applies what has changed."""
        try:
            found = self._read()
        except errors.DocumentError as error:
            self._tell_once(log_events.SettingsNotRead(reason=str(error)))
            return
        fixed = _find_fixed_changes(self._place, found)
        if fixed:
            self._tell_once(
                log_events.SettingsNeedRestart(fields=",".join(fixed))
            )
        else:
            self._told = None
        if found.bounds != self._place.bounds:
            changed = _find_changes(self._place.bounds, found.bounds)
            self._place.bounds = found.bounds
            self._refresh()
            logs.log(log_events.SettingsApplied(bounds=",".join(changed)))

    def _tell_once(self, event: logs.Event) -> None:
        # The file is read again each second; its state is logged once.
        if event != self._told:
            self._told = event
            logs.log(event)


def _find_fixed_changes(
    current: deployment.Deployment, found: deployment.Deployment
) -> list[str]:
    changed = [
        field.name
        for field in dataclasses.fields(deployment.Deployment)
        if getattr(current, field.name) != getattr(found, field.name)
    ]
    return [name for name in changed if name != "bounds"]


def _find_changes(
    current: deployment.Bounds, found: deployment.Bounds
) -> list[str]:
    return [
        f"{field.name}:{getattr(found, field.name)}"
        for field in dataclasses.fields(deployment.Bounds)
        if getattr(current, field.name) != getattr(found, field.name)
    ]
