"""Metrics of connections to endpoints through other instances."""

from __future__ import annotations

from poplarwick_core import metrics

connections_relayed = metrics.make_counter(
    "connections_relayed",
    "Connections through another instance, by role: origin or relay.",
)
relays_declined = metrics.make_counter(
    "relays_declined", "Requests to relay that were declined, by reason."
)
