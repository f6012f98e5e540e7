"""Events of an instance."""

from __future__ import annotations

from poplarwick_core import logs


class Started(logs.Event, frozen=True, kw_only=True):
    """The instance serves.

    Attributes:
        callers: Address for callers.
        store: Address of the store.
        domain: Its failure domain.
    """

    callers: str
    store: str
    domain: str


class Stopped(logs.Event, frozen=True, kw_only=True):
    """The instance has ended."""


class Stopping(logs.Event, frozen=True, kw_only=True):
    """The instance was told to stop.

    Attributes:
        in_progress: Requests in progress.
    """

    in_progress: int


class StopCutsRequests(logs.Event, frozen=True, kw_only=True):
    """The grace period is over.

    Attributes:
        in_progress: Requests that are cut.
    """

    level = "WARNING"

    in_progress: int


class FreezeNoticed(logs.Event, frozen=True, kw_only=True):
    """The process did not run for a while.

    Attributes:
        frozen_s: For how long.
    """

    level = "WARNING"

    frozen_s: float


class SettingsSignalled(logs.Event, frozen=True, kw_only=True):
    """The process was told that its settings changed."""


class SettingsApplied(logs.Event, frozen=True, kw_only=True):
    """Changed bounds of the settings are in force.

    Attributes:
        bounds: The changed bounds with their new values.
    """

    bounds: str


class SettingsNeedRestart(logs.Event, frozen=True, kw_only=True):
    """Settings changed that are in force only after a restart.

    Attributes:
        fields: Names of these settings.
    """

    level = "WARNING"

    fields: str


class SettingsNotRead(logs.Event, frozen=True, kw_only=True):
    """The settings file cannot be read; what was read before stays in force.

    Attributes:
        reason: File, place in it and problem.
    """

    level = "WARNING"

    reason: str


class TaskFailed(logs.Event, frozen=True, kw_only=True):
    """A task of the instance ended by a fault.

    Attributes:
        reason: The fault.
    """

    level = "ERROR"

    reason: str


class MetricsNotServed(logs.Event, frozen=True, kw_only=True):
    """The metrics address cannot be listened on.

    Attributes:
        reason: What the system said.
    """

    level = "WARNING"
    reason: str


class HandoverUnanswered(logs.Event, frozen=True):
    """The instance that was to place next did not call in time."""

    level = "WARNING"
