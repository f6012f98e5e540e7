"""Metrics of callers' requests.

Label sets are bounded: outcomes, reasons, results and size classes are closed
sets, and routes are those of the configuration in force.
"""

from __future__ import annotations

from poplarwick_core import ids
from poplarwick_core import metrics

requests_ended = metrics.make_counter(
    "requests_ended", "Requests by route, size class and outcome."
)
requests_refused = metrics.make_counter(
    "requests_refused", "Refusals by reason."
)
attempts_failed = metrics.make_counter(
    "attempts_failed", "Attempts without a usable answer, by result."
)
streams_resumed = metrics.make_counter(
    "streams_resumed", "Streams that went on at another endpoint."
)
callers_cut_off = metrics.make_counter(
    "callers_cut_off", "Connections closed because callers do not read."
)
unread_responses_cut = metrics.make_counter(
    "unread_responses_cut",
    "Responses that endpoints cut because callers do not read.",
)
placing_seconds = metrics.make_histogram(
    "placing_seconds", "Time that requests wait for a place."
)
first_event_seconds = metrics.make_histogram(
    "first_event_seconds", "Time to the first event, by route and size class."
)
stream_pause_seconds = metrics.make_histogram(
    "stream_pause_seconds",
    "Longest pause of each stream, by route and size class.",
)
request_seconds = metrics.make_histogram(
    "request_seconds", "Time to the ending, by route and size class."
)
estimate_error_ratio = metrics.make_ratio_histogram(
    "estimate_error_ratio",
    "Difference of actual and expected cost by expected cost, by service.",
)


SIZE_CLASSES = ((0, "none"), (10_000, "short"), (100_000, "long"))
"""Upper bounds, in prompt tokens, and names of the size classes."""

LARGEST_SIZE_CLASS = "giant"


def record_estimate_error(
    service: ids.ServiceId, expected: float, actual: float
) -> None:
    """Records the relative error of an estimated cost.

    Args:
        service: Service of the request, one of the configuration in force.
        expected: Estimated cost, in tokens or seconds.
        actual: Actual cost, in the same unit.
    """
    if expected > 0:
        estimate_error_ratio.record(
            abs(actual - expected) / expected, {"service": service}
        )


def get_size_class(prompt_tokens: int) -> str:
    """Returns the size class of a prompt."""
    for bound, name in SIZE_CLASSES:
        if prompt_tokens <= bound:
            return name
    return LARGEST_SIZE_CLASS
