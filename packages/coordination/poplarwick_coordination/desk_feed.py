"""Makes a desk and keeps its endpoints as the catalogue has them."""

from __future__ import annotations

import random
from collections.abc import Callable

from poplarwick_catalogue import catalogue
from poplarwick_catalogue import deployment
from poplarwick_coordination import candidates
from poplarwick_core import clock
from poplarwick_placement import scheduler


class DeskFeed:
    """A desk that follows the catalogue.

    Endpoints are worked out when a decision is due, not at each change: many
    changes come together.

    Args:
        known: What is routed where.
        place: Where the instance runs.
        scope: Whose requests the desk places.
        note_change: Called after each change of the catalogue.
    """

    def __init__(
        self,
        known: catalogue.Catalogue,
        place: deployment.Deployment,
        scope: candidates.Scope,
        note_change: Callable[[], None],
    ) -> None:
        self.desk = scheduler.Scheduler(
            is_global=scope is candidates.Scope.FLEET,
            rng=random.Random(),
            make_budget=lambda: candidates.make_budget(
                lambda: place.bounds,
                scope,
                lambda: len(known.members),
                clock.now_s(),
            ),
        )
        self._catalogue = known
        self._place = place
        self._scope = scope
        self._note_change = note_change
        self._is_fresh = False
        known.add_listener(self._note_catalogue)

    def refresh(self) -> None:
        """Takes over what has changed since the last time."""
        if self._is_fresh:
            return
        self.desk.set_candidates(
            candidates.make_candidates(
                self._catalogue, self._place, self._scope
            )
        )
        self._is_fresh = True

    def stop(self) -> None:
        """Follows the catalogue no more."""
        self._catalogue.remove_listener(self._note_catalogue)

    def _note_catalogue(self) -> None:
        self._is_fresh = False
        self._note_change()
