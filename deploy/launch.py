"""Starts an instance from a checkout without installing its packages."""

from __future__ import annotations

import os
import pathlib
import signal
import sys

import bytecode

SETTINGS_VARIABLE = "POPLARWICK_NODE_FILE"


def main() -> int:
    """Makes the checkout's packages importable and runs the daemon.

    The settings file is the first argument, or named by the environment.

    Returns:
        The exit code.
    """
    # SIGHUP signals changed settings. Its default action would end the process
    # during the imports. The daemon handles the signal later and reads the
    # settings file only after the imports.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    settings = (
        sys.argv[1] if sys.argv[1:] else os.environ.get(SETTINGS_VARIABLE)
    )
    if not settings:
        print(
            f"launch: no settings file, and {SETTINGS_VARIABLE} is not set",
            file=sys.stderr,
        )
        return 2
    bytecode.install_finder()
    from poplarwick_adapter import early_start

    early_start.open_caller_listener(settings)
    from poplarwick_node import platform_main

    return platform_main.run(pathlib.Path(settings))


if __name__ == "__main__":
    sys.exit(main())
