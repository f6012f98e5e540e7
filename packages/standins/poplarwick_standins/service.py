"""Stand-in: see `main.KINDS`."""

from __future__ import annotations

import argparse


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the options of this kind."""


async def serve(arguments: argparse.Namespace) -> None:
    """Serves until cancelled."""
