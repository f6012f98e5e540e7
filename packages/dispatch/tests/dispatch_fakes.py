"""Fakes at the interfaces of the dispatcher."""

from __future__ import annotations

import asyncio
import dataclasses
import selectors

from poplarwick_configuration import document
from poplarwick_core import ids
from poplarwick_dispatch import dispatcher
from poplarwick_dispatch import pool
from poplarwick_endpoints import errors
from poplarwick_endpoints import messages
from poplarwick_ownership import tenure
from poplarwick_peers.wire import grant_pb2

REGION = ids.RegionId("r1")
TAKE_OVER_S = pool.GRANT_TTL_S + 0.5
END_REPORTS = (grant_pb2.REPORT_COMPLETE, grant_pb2.REPORT_NOT_SENT)
SELF = ids.InstanceId("i1")


class VirtualClockLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer when idle."""

    def __init__(self):
        super().__init__(_InstantSelector(self))
        self.virtual_s = 1000.0

    def time(self):
        return self.virtual_s


class _InstantSelector(selectors.SelectSelector):
    def __init__(self, loop):
        super().__init__()
        self._loop = loop

    def select(self, timeout=None):
        if timeout is not None and timeout > 0:
            self._loop.virtual_s += timeout
        return super().select(0)


def run(main):
    """Runs a coroutine on a virtual clock."""
    with asyncio.Runner(loop_factory=VirtualClockLoop) as runner:
        return runner.run(main)


def now_s():
    return asyncio.get_running_loop().time()


@dataclasses.dataclass
class FakeEngine:
    """A fake engine that stores streams and responds to control calls."""

    restart_id: str = "a"
    epoch: int = 0
    records_epochs: bool = True
    is_reachable: bool = True
    streams: dict[str, messages.StreamState] = dataclasses.field(
        default_factory=dict
    )
    events: list[messages.CacheEvent] = dataclasses.field(default_factory=list)
    cancelled: list[str] = dataclasses.field(default_factory=list)

    def start(self, stream, memory_tokens=0, epoch=1, state="running"):
        self.streams[stream] = messages.StreamState(
            stream, epoch, state, 0, memory_tokens
        )

    def restart(self):
        self.restart_id += "'"
        self.streams.clear()

    async def read_state(self):
        await self._simulate_round_trip()
        return messages.EngineState(
            self.restart_id,
            epoch=self.epoch,
            streams=tuple(self.streams.values()),
        )

    async def read_report(self):
        await self._simulate_round_trip()
        return messages.EngineReport(now_s(), self.restart_id)

    async def read_cache_events(self, after, wait_s):
        await self._simulate_round_trip()
        found = tuple(e for e in self.events if e.seq > after)
        if not found:
            await asyncio.sleep(1)
        return messages.CacheEvents(self.restart_id, found)

    async def cancel(self, stream, epoch):
        await self._simulate_round_trip()
        self.cancelled.append(stream)
        if self.records_epochs:
            self.epoch = max(self.epoch, epoch)
        found = self.streams.pop(stream, None)
        if found is None:
            return messages.CancelState.UNKNOWN
        return messages.CancelState.CANCELLED

    async def _simulate_round_trip(self):
        await asyncio.sleep(0.001)
        if not self.is_reachable:
            raise errors.EndpointUnreachableError("down")


def make_model(**changes):
    options = {
        "id": "m",
        "context_tokens": 2_000_000,
        "memory_tokens": 1_000_000,
        "prefill_tokens_per_s": 20_000,
        "cold_start": document.ColdStart(concurrent=64, tokens=10**9),
        **changes,
    }
    return document.Model(**options)


def make_view(version=1, *, endpoints=2, out=(), model=None, weights=None):
    weights = weights or {"o1": 1, "o2": 1}
    return document.View(
        version,
        document.Document(
            environment="test",
            organisations=tuple(
                document.Organisation(id=o, keys=(), weight=w)
                for o, w in weights.items()
            ),
            models=(model or make_model(),),
            services=(
                document.Service(
                    id="s",
                    routes=(),
                    cold_start=document.ColdStart(concurrent=32),
                ),
            ),
            domains=(
                document.Domain("d1", "r1", in_service="d1" not in out),
                document.Domain("d2", "r1", in_service="d2" not in out),
            ),
            endpoints=tuple(
                document.Endpoint(
                    id=f"e{n}",
                    address=f"127.0.0.1:{9000 + n}",
                    domain=f"d{1 + n % 2}",
                    model="m",
                )
                for n in range(endpoints)
            )
            + (
                document.Endpoint(
                    id="s0",
                    address="127.0.0.1:8999",
                    domain="d1",
                    service="s",
                ),
            ),
        ),
    )


def make_tenure(endpoint, epoch=1, is_valid=lambda: True):
    resource = tenure.Resource(tenure.ResourceKind.ENDPOINT, endpoint, REGION)
    return tenure.Tenure(resource, ids.Epoch(epoch), is_valid)


class Testbed:
    """A dispatcher that owns all endpoints of a view, with fake engines."""

    def __init__(self, view=None, **options):
        self.view = view or make_view()
        self.engines = {
            e.address: FakeEngine() for e in self.view.document.endpoints
        }
        self.dispatcher = dispatcher.Dispatcher(
            SELF,
            make_control=lambda address: self.engines[address],
            view=self.view,
            now_s=now_s,
            **options,
        )
        self.tenures = {}

    async def __aenter__(self):
        await self.dispatcher.__aenter__()
        for endpoint in self.view.document.endpoints:
            begun = make_tenure(endpoint.id)
            self.tenures[endpoint.id] = begun
            await self.dispatcher.begin_tenure(begun)
        await asyncio.sleep(TAKE_OVER_S)
        return self

    async def __aexit__(self, *error):
        await self.dispatcher.__aexit__(*error)

    def find_engine(self, endpoint):
        config = self.dispatcher._view.find_endpoint(endpoint)
        return self.engines[config.address]

    async def acquire(self, prompt=1000, output=100, **changes):
        """Acquires a grant and sends the request, as an entry does."""
        reply = await self.dispatcher.acquire(
            make_request(prompt, output, **changes)
        )
        if reply.HasField("grant"):
            engine = self.find_engine(reply.grant.endpoint)
            engine.start(reply.grant.stream_id, prompt + output)
        return reply

    async def report(self, grant, kind, output_tokens=0, first_token_s=0.05):
        if kind in END_REPORTS:
            engine = self.find_engine(grant.endpoint)
            engine.streams.pop(grant.stream_id, None)
        return await self.dispatcher.report(
            make_report(grant, kind, output_tokens, first_token_s)
        )

    def find_endpoints(self):
        return {
            endpoint.id: endpoint
            for pool in self.dispatcher._pools.values()
            for endpoint in pool.endpoints.values()
        }


def make_request(prompt=1000, output=100, **changes):
    options = {
        "request_id": "req-1",
        "organisation": "o1",
        "model": "m",
        "prompt_tokens": prompt,
        "output_tokens": output,
        "timeout_s": 120.0,
        "entry_instance": "i2",
        "hops": pool.LAST_HOP,
        **changes,
    }
    return grant_pb2.AcquireRequest(**options)


def make_report(grant, kind, output_tokens=0, first_token_s=0.05):
    return grant_pb2.ReportRequest(
        reports=[
            grant_pb2.GrantReport(
                grant_id=grant.grant_id,
                kind=kind,
                output_tokens=output_tokens,
                first_token_s=first_token_s,
            )
        ]
    )
