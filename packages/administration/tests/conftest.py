"""Makes the fakes of the configuration's tests importable."""

import pathlib
import sys

PACKAGES = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(PACKAGES / "configuration" / "tests"))
