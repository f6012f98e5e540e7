"""Stand-in for a model engine.

docs/ENDPOINT_PROTOCOL.md describes its protocol.
"""

from __future__ import annotations

import argparse
import asyncio

from poplarwick_standins import _batch
from poplarwick_standins import _engine_http
from poplarwick_standins import _http
from poplarwick_standins import engine_settings


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command-line options of the engine."""
    parser.add_argument(
        "--time-scale",
        type=float,
        help="engine seconds per real second; overrides the settings",
    )


async def serve(arguments: argparse.Namespace) -> None:
    """Serves until cancelled.

    Raises:
        errors.DocumentError: The settings file cannot be read or is invalid.
    """
    settings = engine_settings.read_settings(arguments.settings)
    if arguments.time_scale:
        settings = engine_settings.replace_time_scale(
            settings, arguments.time_scale
        )
    batch = _batch.Batch(settings)
    app = _engine_http.make_application(batch)
    async with asyncio.TaskGroup() as group:
        group.create_task(batch.run())
        group.create_task(batch.run_reports())
        group.create_task(_http.serve_application(app, arguments.listen))
