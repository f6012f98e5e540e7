"""Formatting of the output of the commands."""

from __future__ import annotations

import datetime
import sys
from collections.abc import Iterable
from collections.abc import Sequence

from poplarwick_administration import messages

UNKNOWN = "-"


def format_time(time_s: float) -> str:
    """Returns a time in UTC with a resolution of one second.

    Args:
        time_s: Time in seconds since the Unix epoch.
    """
    utc_time = datetime.datetime.fromtimestamp(time_s, datetime.UTC)
    return utc_time.strftime("%Y-%m-%dT%H:%M:%SZ")


def format_table(rows: Sequence[Sequence[str]]) -> str:
    """Returns rows as a table with aligned columns.

    Args:
        rows: Rows of equal length, of which the first is the header.
    """
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = (
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    )
    return "\n".join(lines)


def format_status(status: messages.StatusMessage) -> str:
    """Returns the state of the fleet as text."""
    service = "reachable" if status.is_connected else "unreachable"
    lines = [
        f"environment {status.environment}, version {status.version} "
        f"(as seen by {status.instance}; key-value service {service})"
    ]
    lines += [f"out: {target}" for target in status.out]
    lines += [f"out, not yet stored: {target}" for target in status.held]
    rows = [("INSTANCE", "DOMAIN", "REGION", "STATE", "VERSION", "OWNS")]
    for instance in sorted(status.instances, key=lambda i: i.instance):
        version = (
            str(instance.version) if instance.version is not None else UNKNOWN
        )
        owned = ", ".join(instance.endpoints) or UNKNOWN
        rows.append(
            (
                instance.instance,
                instance.domain,
                instance.region,
                instance.state,
                version,
                owned,
            )
        )
    return "\n".join([*lines, format_table(rows)])


def format_audit(entries: Iterable[messages.AuditEntry]) -> str:
    """Returns entries of the audit trail as a table."""
    rows = [("TIME", "AUTHOR", "ACTION", "VERSION", "RESULT", "DETAIL")]
    for entry in entries:
        version = str(entry.version) if entry.version else UNKNOWN
        rows.append(
            (
                format_time(entry.time_s),
                entry.author,
                entry.action,
                version,
                entry.result,
                entry.detail,
            )
        )
    return format_table(rows)


def format_differences(
    differences: Iterable[messages.DifferenceMessage],
) -> str:
    """Returns differences as text with one difference per line."""
    lines = [_format_difference(d) for d in differences]
    return "\n".join(lines) if lines else "no differences in content"


def print_refusal(body: messages.ErrorMessage) -> None:
    """Prints why a call was refused to standard error."""
    print(f"refused: {body.message}", file=sys.stderr)
    for problem in body.problems:
        location = f"line {problem.line}: " if problem.line else ""
        print(f"  {location}{problem.path}: {problem.message}", file=sys.stderr)
    if body.head is not None:
        head = body.head
        print(
            f"version {head.version} was created by {head.author}, "
            f"{format_time(head.time_s)}: {head.action} {head.detail}".rstrip(),
            file=sys.stderr,
        )
    for difference in body.differences:
        print(f"  {_format_difference(difference)}", file=sys.stderr)


def _format_difference(difference: messages.DifferenceMessage) -> str:
    if difference.before is None:
        return f"+ {difference.path}: {difference.after}"
    if difference.after is None:
        return f"- {difference.path}: {difference.before}"
    return f"~ {difference.path}: {difference.before} -> {difference.after}"
