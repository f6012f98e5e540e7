"""Reading of request bodies with timeouts."""

from __future__ import annotations

import asyncio

from aiohttp import web

from poplarwick_entry import request_errors
from poplarwick_outcomes import verdicts

BODY_IDLE_TIMEOUT_S = 10.0
BODY_READ_TIMEOUT_S = 60.0


async def read_body(
    request: web.Request,
    idle_timeout_s: float = BODY_IDLE_TIMEOUT_S,
    read_timeout_s: float = BODY_READ_TIMEOUT_S,
) -> bytes:
    """Reads the complete body of a request.

    Args:
        request: HTTP request of the caller.
        idle_timeout_s: Maximum time between two reads, in seconds.
        read_timeout_s: Maximum time for the complete body, in seconds.

    Raises:
        request_errors.RequestEndedError: A timeout expired, or the body is
            truncated or malformed.
        web.HTTPRequestEntityTooLarge: The body exceeds the limit.
    """
    limit = request.client_max_size
    body = bytearray()
    try:
        async with asyncio.timeout(read_timeout_s):
            while True:
                async with asyncio.timeout(idle_timeout_s):
                    data = await request.content.readany()
                if not data:
                    return bytes(body)
                body += data
                if len(body) > limit:
                    raise web.HTTPRequestEntityTooLarge(limit, len(body))
    except TimeoutError as error:
        raise request_errors.make_refusal(
            verdicts.Reason.SLOW_SENDER, "the body did not arrive in time"
        ) from error
    except web.RequestPayloadError as error:
        raise request_errors.make_refusal(
            verdicts.Reason.INVALID, "the body is truncated or malformed"
        ) from error
