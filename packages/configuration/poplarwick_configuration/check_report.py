"""Report of a check, as text for operators and as JSON for programs."""

from __future__ import annotations

import enum
import re
from collections.abc import Iterable

import msgspec

from poplarwick_configuration import difference
from poplarwick_core import cli
from poplarwick_core import errors
from poplarwick_core import findings
from poplarwick_core import jsonc

_UNPRINTABLE = re.compile(r"[\x00-\x1f\x7f-\x9f]")


class Status(enum.Enum):
    """Result of a check.

    Attributes:
        CLEAN: Nothing was found.
        FINDINGS: The file can be read, and something was found.
        UNREADABLE: The file, or the version to compare with, cannot be read.
    """

    CLEAN = "clean"
    FINDINGS = "findings"
    UNREADABLE = "unreadable"


class Entry(msgspec.Struct, frozen=True):
    """A finding with its place.

    Attributes:
        source: File or version in which it was found.
        line: Line, counted from 1; None if unknown.
        path: JSON path of the field.
        severity: How much it matters.
        rule: What it is about.
        message: The value found, what is allowed, and the effect.
    """

    source: str
    line: int | None
    path: str
    severity: findings.Severity
    rule: findings.Rule
    message: str


class Change(msgspec.Struct, frozen=True):
    """A difference from the version that the file is compared with.

    Attributes:
        path: Field; items of lists are named by their id or name.
        before: Old value as JSON; None if it was added.
        after: New value as JSON; None if it was removed.
    """

    path: str
    before: str | None
    after: str | None


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a check.

    Attributes:
        source: File that was checked.
        status: Result of the check.
        findings: Findings in the order of their places in the file.
        against: File or version that it was compared with; None if it was
            compared with nothing.
        differences: Differences from it.
    """

    source: str
    status: Status
    findings: tuple[Entry, ...] = ()
    against: str | None = None
    differences: tuple[Change, ...] = ()

    @property
    def exit_code(self) -> cli.ExitCode:
        """Exit code of a program that made the check."""
        match self.status:
            case Status.CLEAN:
                return cli.ExitCode.OK
            case Status.FINDINGS:
                return cli.ExitCode.FAILURE
            case Status.UNREADABLE:
                return cli.ExitCode.USAGE


def make_report(
    source: str,
    text: str,
    found: Iterable[findings.Finding],
    against: str | None = None,
    differences: Iterable[difference.Difference] = (),
) -> Report:
    """Returns the report on a file that can be read.

    Args:
        source: File that was checked.
        text: Its text.
        found: Findings in any order.
        against: File or version that it was compared with.
        differences: Differences from it.
    """
    entries = _order(source, text, tuple(found))
    return Report(
        source=source,
        status=Status.FINDINGS if entries else Status.CLEAN,
        findings=entries,
        against=against,
        differences=tuple(
            Change(d.path, d.before, d.after) for d in differences
        ),
    )


def _order(
    source: str, text: str, found: tuple[findings.Finding, ...]
) -> tuple[Entry, ...]:
    if not found:
        return ()
    positions = jsonc.find_positions(text)
    ordered = sorted(
        found,
        key=lambda f: (
            positions.find_offset(f.path),
            f.path,
            f.rule.value,
            f.message,
        ),
    )
    return tuple(
        Entry(
            source,
            positions.find_line(f.path),
            f.path,
            f.severity,
            f.rule,
            f.message,
        )
        for f in ordered
    )


def make_unreadable_report(source: str, error: errors.DocumentError) -> Report:
    """Returns the report on a check for which something cannot be read.

    Args:
        source: File to check.
        error: What cannot be read, and why.
    """
    entry = Entry(
        error.source,
        error.line,
        error.path,
        findings.Severity.ERROR,
        findings.Rule.UNREADABLE,
        error.problem,
    )
    return Report(source=source, status=Status.UNREADABLE, findings=(entry,))


def format_text(report: Report) -> str:
    """Returns a report as lines of text."""
    lines = [_format_entry(entry) for entry in report.findings]
    if report.status is Status.CLEAN:
        lines.append(f"{report.source}: no findings")
    if report.against is not None:
        lines.append(f"from {report.against} to {report.source}:")
        lines += [
            str(difference.Difference(c.path, c.before, c.after))
            for c in report.differences
        ] or ["no differences in content"]
    return "\n".join(_UNPRINTABLE.sub(_escape, line) for line in lines)


def encode_json(report: Report) -> str:
    """Returns a report as JSON."""
    return msgspec.json.format(msgspec.json.encode(report)).decode()


def encode_schema() -> str:
    """Returns the JSON schema of `Report` as indented text."""
    schema = msgspec.json.encode(msgspec.json.schema(Report))
    return msgspec.json.format(schema).decode()


def _escape(match: re.Match[str]) -> str:
    return ascii(match.group())[1:-1]


def _format_entry(entry: Entry) -> str:
    place = entry.source
    if entry.line is not None:
        place += f":{entry.line}"
    return (
        f"{place}: {entry.path}: {entry.severity.value}: {entry.message} "
        f"({entry.rule.value})"
    )
