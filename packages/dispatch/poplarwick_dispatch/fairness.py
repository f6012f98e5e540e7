"""Weighted fair shares between organisations.

Implements the virtual token counter of Sheng et al., Fairness in Serving Large
Language Models, OSDI 2024: the organisation that has received the least service
relative to its weight is served first, and an idle organisation accumulates no
credit.
"""

from __future__ import annotations

from collections.abc import Iterable

from poplarwick_core import ids


class ServiceCounters:
    """Counts the service of each organisation, divided by its weight."""

    def __init__(self) -> None:
        self._received: dict[ids.OrganisationId, float] = {}
        self._weights: dict[ids.OrganisationId, int] = {}
        self._floor = 0.0

    def set_weights(self, weights: dict[ids.OrganisationId, int]) -> None:
        """Replaces the weights and removes organisations without one."""
        self._weights = weights
        for organisation in tuple(self._received):
            if organisation not in weights:
                del self._received[organisation]

    def activate(
        self,
        organisation: ids.OrganisationId,
        active: Iterable[ids.OrganisationId],
    ) -> None:
        """Raises an idle organisation to the lowest level of the active ones.

        Args:
            organisation: Organisation whose first request is being queued.
            active: Organisations with queued requests.
        """
        levels = [self.get_level(other) for other in active]
        floor = min(levels, default=self._floor)
        self._received[organisation] = max(self.get_level(organisation), floor)

    def charge(self, organisation: ids.OrganisationId, cost_s: float) -> None:
        """Counts service; a negative cost refunds unused service."""
        level = self.get_level(organisation)
        if cost_s > 0:
            self._floor = max(self._floor, level)
        weight = self.find_weight(organisation)
        self._received[organisation] = level + cost_s / weight

    def find_weight(self, organisation: ids.OrganisationId) -> int:
        """Returns the weight of an organisation."""
        return self._weights.get(organisation, 1)

    def get_level(self, organisation: ids.OrganisationId) -> float:
        """Returns the service received, divided by the weight."""
        return self._received.get(organisation, 0.0)

    def order(
        self, organisations: Iterable[ids.OrganisationId]
    ) -> list[ids.OrganisationId]:
        """Returns the organisations, least served first."""
        return sorted(organisations, key=self.get_level)
