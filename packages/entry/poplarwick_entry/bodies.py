"""Reading of request bodies within a time limit."""

from __future__ import annotations

import asyncio

from aiohttp import web

from poplarwick_entry import problems
from poplarwick_outcomes import verdicts

MAX_PAUSE_S = 10.0
MAX_READ_S = 60.0


async def read_body(
    request: web.Request,
    max_pause_s: float = MAX_PAUSE_S,
    max_read_s: float = MAX_READ_S,
) -> bytes:
    """Reads the whole body.

    Args:
        request: The caller's request.
        max_pause_s: Longest time without a byte.
        max_read_s: Longest time for the whole body.

    Raises:
        problems.RequestEnded: The sender is too slow, or the body is cut.
        web.HTTPRequestEntityTooLarge: The body is larger than allowed.
    """
    limit = request.client_max_size
    body = bytearray()
    try:
        async with asyncio.timeout(max_read_s):
            while True:
                async with asyncio.timeout(max_pause_s):
                    data = await request.content.readany()
                if not data:
                    return bytes(body)
                body += data
                if len(body) > limit:
                    raise web.HTTPRequestEntityTooLarge(limit, len(body))
    except TimeoutError as error:
        raise problems.refuse(
            verdicts.Reason.SLOW_SENDER, "the body did not arrive in time"
        ) from error
    except web.RequestPayloadError as error:
        raise problems.refuse(
            verdicts.Reason.INVALID, "the body was cut or is not well formed"
        ) from error
