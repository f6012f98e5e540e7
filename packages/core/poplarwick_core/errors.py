"""Base classes of the errors raised by the packages."""

from __future__ import annotations


class PoplarwickError(Exception):
    """Base of all errors of this system."""


class DocumentError(PoplarwickError):
    """A settings file or document is not valid.

    Attributes:
        source: File name or other origin of the text.
        path: Place inside the document, such as `$.models[0].id`.
        line: Line number counted from 1, or None where it is not known.
        problem: What was found and what is allowed.
    """

    def __init__(
        self, source: str, path: str, problem: str, line: int | None = None
    ) -> None:
        place = f"{source}:{line}" if line is not None else source
        super().__init__(f"{place}: {path}: {problem}")
        self.source = source
        self.path = path
        self.line = line
        self.problem = problem
