"""Findings of checks of documents and configurations."""

from __future__ import annotations

import dataclasses
import enum

MAX_QUOTED_CHARACTERS = 60


class Severity(enum.Enum):
    """How much a finding matters.

    Attributes:
        ERROR: Some requests are refused or served against the rules, or an
            entry never takes effect.
        WARNING: A limit or an entry has less effect than it says.
    """

    ERROR = "error"
    WARNING = "warning"


class Rule(enum.Enum):
    """What a finding is about.

    `docs/design/configuration-check.md` lists the conditions and effects.
    """

    COLD_ABOVE_WARM = "cold_above_warm"
    DESTINATION_NEVER_SELECTED = "destination_never_selected"
    INVALID = "invalid"
    KEY_NEVER_ACCEPTED = "key_never_accepted"
    METHOD_NEVER_MATCHES = "method_never_matches"
    NAME_REUSED = "name_reused"
    NO_COMMON_REGION = "no_common_region"
    NO_KEY = "no_key"
    NOTHING_IN_SERVICE = "nothing_in_service"
    OUT_OF_RANGE = "out_of_range"
    PAUSE_ABOVE_TIMEOUT = "pause_above_timeout"
    REGION_UNKNOWN = "region_unknown"
    RESUME_NOT_STREAM = "resume_not_stream"
    ROUTE_NEVER_MATCHES = "route_never_matches"
    SERVICE_UNKNOWN = "service_unknown"
    SERVICE_UNUSED = "service_unused"
    SLOTS_ABOVE_CONNECTIONS = "slots_above_connections"
    TIMEOUT_BELOW_TARGET = "timeout_below_target"
    TIMEOUT_TOO_SHORT = "timeout_too_short"
    UNREADABLE = "unreadable"
    VERSION_NOT_NEWER = "version_not_newer"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A fault of a document that its types do not express.

    Attributes:
        path: JSON path of the field, such as `$.models[0].timeout_s`.
        severity: How much it matters.
        rule: What it is about.
        message: The value found, what is allowed, and the effect.
    """

    path: str
    severity: Severity
    rule: Rule
    message: str


def make_error(rule: Rule, path: str, message: str) -> Finding:
    """Returns a finding of severity `ERROR`."""
    return Finding(path, Severity.ERROR, rule, message)


def make_warning(rule: Rule, path: str, message: str) -> Finding:
    """Returns a finding of severity `WARNING`."""
    return Finding(path, Severity.WARNING, rule, message)


def quote(text: str) -> str:
    """Returns a text from outside in quotes, in ASCII and of bounded length."""
    if len(text) > MAX_QUOTED_CHARACTERS:
        text = text[:MAX_QUOTED_CHARACTERS] + "..."
    return '"' + ascii(text)[1:-1] + '"'
