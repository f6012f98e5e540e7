"""Base classes of the errors that the packages raise."""

from __future__ import annotations


class PoplarwickError(Exception):
    """Base class of all errors of this system."""


class DocumentError(PoplarwickError):
    """A settings file or document is not valid.

    Attributes:
        source: File name or other origin of the text.
        path: Path inside the document, such as `$.models[0].id`.
        line: Line number, counted from 1, or None if unknown.
        problem: The value found and the values allowed.
    """

    def __init__(
        self, source: str, path: str, problem: str, line: int | None = None
    ) -> None:
        location = f"{source}:{line}" if line is not None else source
        super().__init__(f"{location}: {path}: {problem}")
        self.source = source
        self.path = path
        self.line = line
        self.problem = problem
