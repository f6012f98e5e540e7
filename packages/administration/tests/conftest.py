"""Makes test helpers of this and of other packages importable."""

import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
PACKAGES = HERE.parents[1]
sys.path.insert(0, str(HERE))
sys.path.insert(0, str(PACKAGES / "configuration" / "tests"))
sys.path.insert(0, str(PACKAGES / "peers" / "tests"))
