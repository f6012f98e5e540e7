"""Errors raised when a stored document cannot be read or written."""

from __future__ import annotations

from poplarwick_core import errors


class StoreError(errors.PoplarwickError):
    """Base class of storage errors."""


class UnavailableError(StoreError):
    """The key-value service did not respond."""


class MissingError(StoreError):
    """The requested version or one of its sections is not stored."""


class RecordError(StoreError):
    """A stored record is invalid."""
