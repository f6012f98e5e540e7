"""The four possible outcomes of a request."""

from __future__ import annotations

import enum


class Outcome(enum.Enum):
    """Outcome of a request, as reported to its caller.

    Attributes:
        COMPLETE: The complete answer was delivered.
        NOT_RUN: The request was not and will not be sent to any endpoint.
        FAILED: An endpoint ran the request and failed.
        UNKNOWN: The request may have run, so a retry is not safe by itself.
    """

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    FAILED = "failed"
    UNKNOWN = "unknown"
