"""Errors of reading stored documents."""

from __future__ import annotations

from poplarwick_core import errors


class StoreError(errors.PoplarwickError):
    """The store could not be read."""


class UnavailableError(StoreError):
    """The key-value service did not answer."""


class MissingError(StoreError):
    """The asked version or one of its sections is not stored."""


class RecordError(StoreError):
    """A stored record cannot be read."""
