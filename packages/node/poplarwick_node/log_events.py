"""Log events of an instance."""

from __future__ import annotations

from poplarwick_core import logs


class Started(logs.Event, frozen=True, kw_only=True):
    """The instance has started and accepts requests.

    Attributes:
        callers: Host and port that callers connect to.
        store: Host and port of the platform's store.
        domain: Failure domain of the instance.
    """

    callers: str
    store: str
    domain: str


class Stopped(logs.Event, frozen=True, kw_only=True):
    """The instance has stopped."""


class Stopping(logs.Event, frozen=True, kw_only=True):
    """The instance received a signal to stop.

    Attributes:
        in_progress: Requests in progress.
        handled_after_s: Longest time from the signal to its handling.
        ends_in_s: Time until requests whose callers have received nothing are
            answered.
        cuts_in_s: Time until streams are cut off.
    """

    in_progress: int
    handled_after_s: float
    ends_in_s: float
    cuts_in_s: float


class StopCutsRequests(logs.Event, frozen=True, kw_only=True):
    """The grace period ended before all requests did.

    Attributes:
        in_progress: Requests that are aborted.
        after_s: Longest time since the signal.
    """

    level = "WARNING"

    in_progress: int
    after_s: float


class ReleasesUnfinished(logs.Event, frozen=True, kw_only=True):
    """The grace period ended before all reserved memory was released.

    The reservations expire by themselves.
    """

    level = "WARNING"


class CleanupUnfinished(logs.Event, frozen=True, kw_only=True):
    """The grace period ended before all components were closed.

    Outcomes of claimed calls that are not stored yet count as unknown.
    """

    level = "WARNING"


class FreezeNoticed(logs.Event, frozen=True, kw_only=True):
    """The process did not run for a while.

    Attributes:
        frozen_s: Duration of the freeze in seconds.
    """

    level = "WARNING"

    frozen_s: float


class SettingsSignalled(logs.Event, frozen=True, kw_only=True):
    """The process received SIGHUP and reads its settings file again."""


class SettingsApplied(logs.Event, frozen=True, kw_only=True):
    """Changed bounds of the settings are in force.

    Attributes:
        bounds: The changed bounds with their new values.
    """

    bounds: str


class SettingsNeedRestart(logs.Event, frozen=True, kw_only=True):
    """Settings changed that take effect only after a restart.

    Attributes:
        fields: Names of the changed settings.
    """

    level = "WARNING"

    fields: str


class SettingsNotRead(logs.Event, frozen=True, kw_only=True):
    """The settings file cannot be read; the last settings stay in force.

    Attributes:
        reason: File, position in the file and problem.
    """

    level = "WARNING"

    reason: str


class TaskFailed(logs.Event, frozen=True, kw_only=True):
    """A background task of the instance failed and is restarted.

    Attributes:
        reason: The exception.
    """

    level = "ERROR"

    reason: str


class MetricsNotServed(logs.Event, frozen=True, kw_only=True):
    """The metrics server cannot listen, or the exporter cannot be loaded.

    Attributes:
        reason: The error.
    """

    level = "WARNING"
    reason: str


class MeasurementsDropped(logs.Event, frozen=True, kw_only=True):
    """Values of histograms were not kept until the exporter was loaded.

    Attributes:
        count: Number of values.
    """

    level = "WARNING"

    count: int


class HandoverUnanswered(logs.Event, frozen=True):
    """The next placer did not connect before the handover timed out."""

    level = "WARNING"


class InstanceDelayed(logs.Event, frozen=True, kw_only=True):
    """This instance has fallen behind its work for lack of processor time.

    Attributes:
        lost_share: Fraction of the last two seconds in which it did not run.
    """

    level = "WARNING"

    lost_share: float


class InstanceCaughtUp(logs.Event, frozen=True, kw_only=True):
    """This instance is no longer behind."""


class CallersTurnedAway(logs.Event, frozen=True, kw_only=True):
    """This instance reports not ready and closes connections of callers.

    The placer permits it to a quarter of the instances of a failure domain.
    """

    level = "WARNING"


class CallersWelcome(logs.Event, frozen=True, kw_only=True):
    """This instance is ready again and keeps connections of callers."""
