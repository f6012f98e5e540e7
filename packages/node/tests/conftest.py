"""Puts the test helpers of other packages on the import path."""

import pathlib
import sys

_PACKAGES = pathlib.Path(__file__).parents[2]
for _name in ("entry", "outcomes"):
    sys.path.insert(0, str(_PACKAGES / _name / "tests"))
