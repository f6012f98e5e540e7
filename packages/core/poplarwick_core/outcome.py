"""The four ways in which a request can end."""

from __future__ import annotations

import enum


class Outcome(enum.Enum):
    """How a request ended, as told to its caller.

    Attributes:
        COMPLETE: The whole answer was delivered.
        NOT_RUN: Nothing was sent to any endpoint, nor will be.
        FAILED: An endpoint ran the request and the run failed.
        UNKNOWN: The request may have run; it must not be repeated blindly.
    """

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    FAILED = "failed"
    UNKNOWN = "unknown"
