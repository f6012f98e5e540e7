"""Entry point of an instance on the users' platform."""

from __future__ import annotations

import contextlib
import gc
import os
import pathlib
import sys
from collections.abc import Iterator

PROGRAM = "poplarwick-node"

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2
"""As in `cli.ExitCode`, whose module loads the parser of arguments."""

IMPORT_VARIABLES = {
    "SSL_CERT_FILE": os.devnull,
    "SSL_CERT_DIR": os.devnull,
    "LOGURU_AUTOINIT": "False",
}
"""Variables of OpenSSL and loguru during the imports."""


def run(path: pathlib.Path, *, check_only: bool = False) -> int:
    """Runs an instance until it stops.

    Args:
        path: Settings file of the platform.
        check_only: Whether only the settings are checked.

    Returns:
        Exit code of the process.
    """
    with _import_quickly():
        import asyncio

        from poplarwick_adapter import settings
        from poplarwick_catalogue import deployment
        from poplarwick_core import errors
        from poplarwick_core import log_writer
        from poplarwick_core import logs
        from poplarwick_node import platform_instance

    def read_deployment() -> deployment.Deployment:
        return settings.read_settings(path)

    try:
        instance_deployment = read_deployment()
    except errors.DocumentError as error:
        print(f"{PROGRAM}: {error}", file=sys.stderr)
        return EXIT_USAGE
    if check_only:
        return EXIT_OK
    writer = log_writer.LineWriter(sys.stdout.fileno())
    logs.configure_logs(writer=writer, instance=instance_deployment.instance)
    try:
        asyncio.run(platform_instance.run(instance_deployment, read_deployment))
    except OSError as error:
        logs.log_event("start_failed", "ERROR", reason=error)
        return EXIT_FAILURE
    finally:
        writer.close()
        # The collections at the interpreter's end would take as long as a third
        # of the time that a stop reserves for its end.
        gc.freeze()
    return EXIT_OK


@contextlib.contextmanager
def _import_quickly() -> Iterator[None]:
    """Makes imports cheaper while its context is open.

    The garbage collector would run about twenty times and find nothing, as
    modules stay. aiohttp would read all certificates of the system, which takes
    as long as a fifth of the imports; no protocol of the platform uses TLS.
    loguru would make a handler that `logs` replaces.
    """
    replaced = {name: os.environ.get(name) for name in IMPORT_VARIABLES}
    os.environ.update(IMPORT_VARIABLES)
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()
        for name, value in replaced.items():
            if value is None:
                del os.environ[name]
            else:
                os.environ[name] = value
