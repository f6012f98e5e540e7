"""Baseline for comparison: a relay that shares no state with others."""

from __future__ import annotations

import argparse
import asyncio
import collections
import contextlib
import enum
import itertools
import random
import signal
import sys
from collections.abc import Iterator

import aiohttp
from aiohttp import web

MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_ATTEMPTS = 3
RETRYABLE_STATUSES = (429, 503)
ENDPOINT_HEADER = "Poplarwick-Endpoint"
OUTCOME_HEADER = "Poplarwick-Outcome"


class Policy(enum.Enum):
    """Load-balancing policy of the relay."""

    ROUND_ROBIN = "round-robin"
    LEAST_OUTSTANDING = "least-outstanding"


class Relay:
    """Forwards completions to engines.

    Attributes:
        policy: Load-balancing policy.
        engines: Addresses of the engines.
    """

    def __init__(
        self, policy: Policy, engines: list[str], seed: int = 0
    ) -> None:
        self.policy = policy
        # With one common order, all relays would send their bursts to the
        # same engine.
        self._rng = random.Random(seed)
        self.engines = self._rng.sample(engines, len(engines))
        self._round_robin = itertools.cycle(self.engines)
        self._outstanding: collections.Counter[str] = collections.Counter()
        self._session: aiohttp.ClientSession | None = None

    async def open(self, app: web.Application) -> None:
        """Opens the HTTP client."""
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=None)
        self._session = aiohttp.ClientSession(
            connector=connector, timeout=timeout
        )

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Forwards one request; retries on another engine after a refusal."""
        body = await request.read()
        for _ in range(MAX_ATTEMPTS):
            engine = self._choose_engine()
            with self._track_outstanding(engine):
                response = await self._relay(request, body, engine)
            if response is not None:
                return response
        return web.json_response(
            {"error": {"type": "overloaded", "code": "overloaded"}},
            status=429,
            headers={OUTCOME_HEADER: "not-run", "Retry-After": "1"},
        )

    async def _relay(
        self, request: web.Request, body: bytes, engine: str
    ) -> web.StreamResponse | None:
        assert self._session is not None
        url = f"http://{engine}{request.path}"
        async with self._session.post(url, data=body) as upstream:
            if upstream.status in RETRYABLE_STATUSES:
                return None
            response = web.StreamResponse(status=upstream.status)
            response.content_type = upstream.content_type
            response.headers[ENDPOINT_HEADER] = engine
            await response.prepare(request)
            try:
                async for part in upstream.content.iter_any():
                    await response.write(part)
            except aiohttp.ClientPayloadError:
                if request.transport is not None:
                    request.transport.abort()
            return response

    def _choose_engine(self) -> str:
        match self.policy:
            case Policy.ROUND_ROBIN:
                return next(self._round_robin)
            case Policy.LEAST_OUTSTANDING:
                fewest = min(self._outstanding[e] for e in self.engines)
                least_loaded = [
                    e for e in self.engines if self._outstanding[e] == fewest
                ]
                return self._rng.choice(least_loaded)

    @contextlib.contextmanager
    def _track_outstanding(self, engine: str) -> Iterator[None]:
        self._outstanding[engine] += 1
        try:
            yield
        finally:
            self._outstanding[engine] -= 1


async def serve(policy: Policy, engines: list[str], seed: int) -> None:
    """Prints the address and serves until cancelled."""
    relay = Relay(policy, engines, seed)
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app.on_startup.append(relay.open)
    app.router.add_post("/v1/{path:.*}", relay.handle)
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    print(f"listening {host}:{port}", flush=True)
    try:
        await asyncio.Event().wait()
    finally:
        await runner.cleanup()


def main() -> int:
    """Runs one relay."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--policy", type=Policy, required=True)
    parser.add_argument("--engine", action="append", required=True)
    parser.add_argument("--seed", type=int, default=0)
    parsed = parser.parse_args()
    asyncio.run(_run(parsed.policy, parsed.engine, parsed.seed))
    return 0


async def _run(policy: Policy, engines: list[str], seed: int) -> None:
    task = asyncio.ensure_future(serve(policy, engines, seed))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    with contextlib.suppress(asyncio.CancelledError):
        await task


if __name__ == "__main__":
    sys.exit(main())
