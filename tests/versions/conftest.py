"""Fixtures for tests of two versions side by side."""

from __future__ import annotations

import pathlib
import sys

import pytest

sys.path.insert(0, str(pathlib.Path(__file__).parent))

import checkouts  # noqa: E402 (found only after the path is set)


@pytest.fixture(scope="session")
def previous(tmp_path_factory):
    """Returns the previous version, unpacked from the history."""
    return checkouts.unpack(tmp_path_factory.mktemp("previous"))


@pytest.fixture(scope="session")
def versions(previous):
    """Returns both versions by name."""
    return {"previous": previous, "present": checkouts.PRESENT}
