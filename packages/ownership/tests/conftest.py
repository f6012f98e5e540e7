"""Makes the test helpers of this folder and of peers importable."""

from __future__ import annotations

import pathlib
import sys

_HERE = pathlib.Path(__file__).parent
sys.path.insert(0, str(_HERE))
sys.path.insert(0, str(_HERE.parent.parent / "peers" / "tests"))
