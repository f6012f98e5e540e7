"""Reach of endpoints without relays, for tests of the sender of requests."""

from __future__ import annotations

import types

import aiohttp

DIRECT = types.SimpleNamespace(
    make_connector=aiohttp.TCPConnector,
    record_reached=lambda address, opened_at_s: None,
    record_failed=lambda address: None,
)
"""Connects to endpoints directly."""
