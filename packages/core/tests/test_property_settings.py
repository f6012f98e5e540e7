"""Property tests pass on a machine that stands still at any moment."""

from __future__ import annotations

import itertools
import time

import hypothesis
from hypothesis import strategies as st


def test_property_test_passes_however_late_its_examples_are(monkeypatch):
    times_s = itertools.count(step=60.0)

    @hypothesis.given(st.text())
    def accept(text):
        assert isinstance(text, str)

    with monkeypatch.context() as patch:
        patch.setattr(time, "perf_counter", lambda: next(times_s))
        accept()
