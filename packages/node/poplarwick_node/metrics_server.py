"""HTTP server for the metrics of an instance."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

from poplarwick_core import logs
from poplarwick_node import _telemetry
from poplarwick_node import log_events
from poplarwick_node import page_server


@contextlib.asynccontextmanager
async def serve_metrics(address: str) -> AsyncIterator[None]:
    """Serves all metrics as text while the context is open.

    If the address cannot be listened on, the failure is logged and the
    instance serves callers without metrics.

    Args:
        address: Host and port to listen on.
    """
    async with contextlib.AsyncExitStack() as stack:
        try:
            await stack.enter_async_context(
                page_server.PageServer(
                    address, _telemetry.METRICS_PATH, _telemetry.make_page
                )
            )
        except OSError as error:
            logs.log(log_events.MetricsNotServed(reason=str(error)))
        yield
