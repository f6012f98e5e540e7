"""Creates a scheduler and updates its endpoints from the catalogue."""

from __future__ import annotations

import random
from collections.abc import Callable
from collections.abc import Sequence

from poplarwick_catalogue import catalogue
from poplarwick_catalogue import deployment
from poplarwick_catalogue import quarantines
from poplarwick_catalogue import types
from poplarwick_coordination import candidates
from poplarwick_coordination import log_events
from poplarwick_coordination import recent_cuts
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_placement import crash_evidence
from poplarwick_placement import load_management
from poplarwick_placement import messages
from poplarwick_placement import organisation_shares
from poplarwick_placement import scheduler

LOGGED_PARTS = 8
"""Suspected parts of prompts that the log line of a crash names."""

LISTED_ORGANISATIONS = 3
"""Organisations that logs and metrics name; there may be very many."""

USAGE_LOG_PERIOD_S = 10.0
"""Interval between log lines of usage: the time over which it is averaged."""


class SchedulerFeed:
    """Owns a scheduler whose endpoints follow the catalogue.

    Candidates are derived before a decision, not on each change, because
    changes arrive in bursts.

    Args:
        catalogue_: Routing configuration, endpoints and members.
        deployment_: Deployment of this instance.
        scope: Whose requests the scheduler decides on.
        on_change: Called after each change of the catalogue.
    """

    def __init__(
        self,
        catalogue_: catalogue.Catalogue,
        deployment_: deployment.Deployment,
        scope: candidates.Scope,
        on_change: Callable[[], None],
    ) -> None:
        self._management = load_management.make_load_management(
            has_contention=deployment_.has_contention,
            is_global=scope is candidates.Scope.FLEET,
            on_speed=_log_speed,
            on_level=_log_level,
        )
        self._usage_logged_at_s = 0.0
        self.scheduler = scheduler.Scheduler(
            is_global=scope is candidates.Scope.FLEET,
            rng=random.Random(),
            make_budget=lambda: candidates.make_retry_budget(
                lambda: deployment_.bounds,
                scope,
                lambda: len(catalogue_.members),
                clock.now_s(),
            ),
            is_quarantined=lambda request: (
                catalogue_.quarantines.find(
                    request.service, request.shared_parts, request.fingerprint
                )
                is not None
            ),
            evidence=crash_evidence.CrashEvidence(
                _log_crash, _log_retracted_crash
            ),
            management=self._management,
        )
        catalogue_.quarantines.add_listener(self._forgive)
        self._catalogue = catalogue_
        self._deployment = deployment_
        self._scope = scope
        self._on_change = on_change
        self._is_fresh = False
        catalogue_.add_listener(self._mark_stale)

    def refresh(self) -> None:
        """Updates the candidates if the catalogue has changed."""
        if self._is_fresh:
            return
        self.scheduler.set_candidates(
            candidates.make_candidates(
                self._catalogue, self._deployment, self._scope
            )
        )
        self._is_fresh = True

    def stop(self) -> None:
        """Stops following the catalogue."""
        self._catalogue.quarantines.remove_listener(self._forgive)
        self._catalogue.remove_listener(self._mark_stale)

    def record_end(
        self,
        key: scheduler.Key,
        result: messages.Result,
        blamed: str | None,
        answer: messages.AnswerEnd | None,
    ) -> ids.EndpointId | None:
        """Records the end of a request.

        A complete answer shows that neither its request nor the parts of its
        prompt crash endpoints.

        Returns:
            The endpoint of the request; None if it is not known.
        """
        running = self.scheduler.find_running(key)
        self.scheduler.record_end(key, result, clock.now_s(), blamed, answer)
        if running is None:
            return None
        request, endpoint = running
        if answer is not None and answer.is_conclusive:
            self._exonerate(request, endpoint)
        return endpoint.id

    def record_earlier_cut(
        self, cut: recent_cuts.RecentCut
    ) -> ids.EndpointId | None:
        """Records an answer that was cut off before this scheduler began.

        An endpoint that is not in the catalogue any more has crashed, unless
        it said that it leaves.

        Returns:
            The endpoint if it may still run; None otherwise.
        """
        if self._catalogue.has_left(cut.start):
            return None
        tracked = self._catalogue.endpoints.get(cut.start.endpoint)
        is_gone = tracked is None or tracked.endpoint.start != cut.start
        endpoint = (
            _make_gone_endpoint(cut)
            if tracked is None or is_gone
            else tracked.endpoint
        )
        evidence = self.scheduler.evidence
        evidence.record_cut(
            endpoint, cut.request, cut.written_s, cut.at_s, cut.sent_at_s
        )
        if is_gone:
            evidence.record_gone(endpoint)
            return None
        return endpoint.id

    def _exonerate(
        self, request: messages.PlacementRequest, endpoint: types.Endpoint
    ) -> None:
        known = self._catalogue.quarantines.find(
            request.service, request.shared_parts, request.fingerprint
        )
        if (
            known is not None
            and known.endpoints
            and known.software_version == endpoint.software_version
        ):
            self._catalogue.quarantines.merge(
                known.lift(self._deployment.instance)
            )

    def impose_quarantines(self) -> None:
        """Puts in quarantine what is newly blamed for crashes."""
        for culprit in self.scheduler.find_culprits(clock.now_s()):
            self._catalogue.quarantines.impose(
                quarantines.Quarantine(
                    culprit.service,
                    culprit.parts,
                    software_version=culprit.software_version,
                    endpoints=culprit.endpoints,
                    imposed_by=self._deployment.instance,
                    fingerprint=culprit.fingerprint,
                )
            )

    def list_largest_users(
        self,
    ) -> Sequence[organisation_shares.OrganisationUsage]:
        """Returns the organisations that exceed their shares most."""
        return self._management.list_largest_users(
            LISTED_ORGANISATIONS, clock.now_s()
        )

    def log_largest_users(self) -> None:
        """Logs which organisations exceed their shares, now and then."""
        now_s = clock.now_s()
        if now_s - self._usage_logged_at_s < USAGE_LOG_PERIOD_S:
            return
        self._usage_logged_at_s = now_s
        for usage in self.list_largest_users():
            if usage.factor > organisation_shares.TOLERATED_FACTOR:
                logs.log(
                    log_events.ShareExceeded(
                        service=usage.service,
                        organisation=usage.organisation,
                        factor=usage.factor,
                        held_back=usage.held_back,
                    )
                )

    def _forgive(self, quarantine: quarantines.Quarantine) -> None:
        if quarantine.is_lifted:
            self.scheduler.forgive(
                quarantine.service, quarantine.parts, quarantine.fingerprint
            )

    def _mark_stale(self) -> None:
        self._is_fresh = False
        self._on_change()


def _log_speed(endpoint: ids.EndpointId, slowdown: float) -> None:
    if slowdown > 1:
        logs.log(log_events.EndpointSlow(endpoint=endpoint, slowdown=slowdown))
    else:
        logs.log(log_events.EndpointRecovered(endpoint=endpoint))


def _log_level(service: ids.ServiceId, level: float) -> None:
    logs.log(log_events.BookingRaised(service=service, quantile=level))


def _make_gone_endpoint(cut: recent_cuts.RecentCut) -> types.Endpoint:
    return types.Endpoint(
        id=cut.start.endpoint,
        service=cut.request.service,
        address="",
        domain=ids.DomainId(""),
        state=types.EndpointState.DRAINING,
        slots=0,
        cold_left_s=0.0,
        started_at_ms=cut.start.started_at_ms,
        software_version=cut.software_version,
    )


def _log_crash(crash: crash_evidence.ConfirmedCrash) -> None:
    logs.log(
        log_events.EndpointCrashed(
            endpoint=crash.endpoint,
            cuts=crash.cuts,
            suspects=crash.suspects,
            headless=crash.headless,
            parts=",".join(crash.parts[:LOGGED_PARTS]) or None,
        )
    )


def _log_retracted_crash(crash: crash_evidence.RetractedCrash) -> None:
    logs.log(
        log_events.CrashRetracted(
            endpoint=crash.endpoint,
            cause=crash.cause.value,
            was_confirmed=crash.was_confirmed,
        )
    )
