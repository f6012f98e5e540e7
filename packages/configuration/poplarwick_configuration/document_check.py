"""Checks a document before it is pushed."""

from __future__ import annotations

import dataclasses

from poplarwick_configuration import check
from poplarwick_configuration import check_report
from poplarwick_configuration import contradictions
from poplarwick_configuration import difference
from poplarwick_configuration import document
from poplarwick_configuration import reachability
from poplarwick_core import jsonc


@dataclasses.dataclass(frozen=True, slots=True)
class Reference:
    """The version that a file is compared with.

    Attributes:
        source: File or version, shown in reports.
        text: Its text; None if there is no version yet.
    """

    source: str
    text: str | None


def read_environment(text: str, source: str) -> str:
    """Returns the environment that a document configures.

    Raises:
        errors.DocumentError: The text is not a document.
    """
    return jsonc.decode(text, document.Document, source).environment


def check_text(
    text: str, source: str, reference: Reference | None = None
) -> check_report.Report:
    """Returns the findings in a document and its differences from another.

    Args:
        text: The document in JSON with comments.
        source: Origin of the text, shown in findings.
        reference: Version to compare with.

    Raises:
        errors.DocumentError: The document, or the version to compare with,
            cannot be read.
    """
    parsed = jsonc.decode(text, document.Document, source)
    found = [
        *check.find_problems(parsed),
        *reachability.find_unreachable(parsed),
        *contradictions.find_contradictions(parsed),
    ]
    if reference is None:
        return check_report.make_report(source, text, found)
    if reference.text is not None:
        jsonc.decode(reference.text, document.Document, reference.source)
    differences = difference.compare_texts(reference.text, text)
    return check_report.make_report(
        source, text, found, reference.source, differences
    )
