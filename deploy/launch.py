"""Starts an instance from a checkout without installing its packages."""

from __future__ import annotations

import os
import pathlib
import signal
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
SETTINGS_VARIABLE = "POPLARWICK_NODE_FILE"


def main() -> int:
    """Adds the checkout's packages to the path and runs the daemon.

    The settings file is the first argument, or named by the environment.

    Returns:
        The exit code.
    """
    # SIGHUP signals changed settings. Its default action would end the process
    # during the imports, which take half a second. The daemon handles the
    # signal later and reads the settings file only after the imports.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.path[:0] = [str(path) for path in sorted(ROOT.glob("packages/*"))]
    sys.path.insert(0, str(ROOT / "platform"))
    settings = (
        sys.argv[1] if sys.argv[1:] else os.environ.get(SETTINGS_VARIABLE)
    )
    if settings:
        from poplarwick_adapter import early_start

        early_start.open_caller_listener(settings)
    from poplarwick_node import main as node

    if not settings:
        print(
            f"launch: no settings file, and {SETTINGS_VARIABLE} is not set",
            file=sys.stderr,
        )
        return 2
    return node.main(["--platform-settings", settings])


if __name__ == "__main__":
    sys.exit(main())
