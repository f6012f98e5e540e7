"""Makes the fakes of the configuration's tests importable."""

import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
PACKAGES = HERE.parents[1]
sys.path.insert(0, str(HERE))
sys.path.insert(0, str(PACKAGES / "configuration" / "tests"))
