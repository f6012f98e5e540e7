"""Test fixture: an entry with real claims in front of a fake endpoint."""

import asyncio
import contextlib
import hashlib
import uuid

import aiohttp
import result
import uuid6
from aiohttp import test_utils
from aiohttp import web
from kv_fake import KvFake
from kv_fake import KvFakeClient

from poplarwick_configuration import document
from poplarwick_core import ids
from poplarwick_endpoints import session as sessions
from poplarwick_entry import application
from poplarwick_entry import claimed_calls
from poplarwick_entry import context
from poplarwick_entry import grants
from poplarwick_entry import request_errors
from poplarwick_outcomes import verdicts
from poplarwick_outcomes.claims import client as clients
from poplarwick_outcomes.claims import service as services
from poplarwick_ownership import tenure as tenures
from poplarwick_peers.wire import grant_pb2

SECRETS = {"soaps": "secret-soaps", "roads": "secret-roads"}
ORDERS = "/services/shop/orders"


class FakeLimiter:
    """Admits every request."""

    async def admit(self, organisation, tokens):
        return result.Ok(contextlib.nullcontext())


class FakeReporter:
    """Records reports instead of sending them.

    Attributes:
        reports: Reports in the order of their calls.
        cancelled: Identities of the cancelled streams.
        has_cancelled: Set once a stream is cancelled.
    """

    def __init__(self):
        self.reports = []
        self.cancelled = []
        self.has_cancelled = asyncio.Event()

    def send(self, instance, report):
        self.reports.append(report)

    def cancel_and_send(self, instance, report, target):
        self.cancelled.append(target.stream)
        self.has_cancelled.set()
        self.reports.append(report)


class FakeGrantClient:
    """Grants every request the same endpoint while it has capacity."""

    def __init__(self):
        self.address = ""
        self.has_capacity = True
        self.reporter = FakeReporter()

    async def acquire(self, grant_request, excluded, version):
        if not self.has_capacity:
            raise request_errors.make_refusal(verdicts.Reason.NO_ROOM, "full")
        grant = grant_pb2.Grant(
            grant_id=uuid.uuid4().hex,
            endpoint="endpoint-1",
            address=self.address,
            stream_id=uuid.uuid4().hex,
            epoch=1,
        )
        instance = ids.InstanceId("instance-0")
        return grants.HeldGrant(grant, instance, self.reporter)


class Entry:
    """A running entry and its fakes.

    Attributes:
        grant_client: Grants the requests.
        service: Key-value service that stores the claims.
        address: Host and port of the entry.
    """

    def __init__(self, grant_client, service, client, address):
        self.grant_client = grant_client
        self.service = service
        self.address = address
        self._client = client

    async def call(self, path=ORDERS, method="POST", key=None, **options):
        """Sends a request; returns status, headers and body."""
        headers = {"Authorization": f"Bearer {SECRETS['soaps']}"}
        if key is not None:
            headers["Idempotency-Key"] = key
        headers |= options.pop("headers", {})
        async with self._client.request(
            method,
            f"http://{self.address}{path}",
            headers=headers,
            **options,
        ) as response:
            return response.status, response.headers, await response.read()


def make_view():
    organisations = tuple(
        document.Organisation(
            name,
            (document.ApiKey("k", hashlib.sha256(s.encode()).hexdigest()),),
        )
        for name, s in SECRETS.items()
    )
    routes = (
        document.Route("/orders", ("POST", "PUT"), idempotent=False),
        document.Route("/stock", ("GET",)),
    )
    return document.View(
        1,
        document.Document(
            environment="test",
            organisations=organisations,
            models=(document.Model("writer", 8_000_000, 8_000_000),),
            services=(document.Service("shop", routes, timeout_s=5.0),),
            domains=(document.Domain("d", "r"),),
            endpoints=(),
        ),
    )


def make_key():
    return str(uuid6.uuid7())


@contextlib.asynccontextmanager
async def open_entry(
    endpoint, limit=application.MAX_BODY_BYTES, **dependencies
):
    """Yields an entry whose only endpoint is an HTTP handler.

    Args:
        endpoint: Handler of every request to the endpoint.
        limit: Maximum body size at the endpoint, in bytes.
        **dependencies: Further dependencies of the handlers.
    """
    service = KvFake()
    claims = services.ClaimService(KvFakeClient(service), "test")
    for resource in services.make_resources([ids.RegionId("r")]):
        tenure = tenures.Tenure(resource, ids.Epoch(1), lambda: True)
        await claims.begin_tenure(tenure)
    backend = web.Application(client_max_size=limit)
    backend.router.add_route("*", "/{path:.*}", endpoint)
    grant_client = FakeGrantClient()
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        server = await enter(test_utils.TestServer(backend))
        grant_client.address = f"127.0.0.1:{server.port}"
        claim_client = await enter(clients.ClaimClient(lambda shard: claims))
        entry = context.EntryContext(
            instance=ids.InstanceId("instance-0"),
            grant_client=grant_client,
            session=await enter(sessions.make_session()),
            limiter=FakeLimiter(),
            claimed_calls=await enter(claimed_calls.ClaimedCalls(claim_client)),
            read_view=make_view,
            read_unready_reason=lambda: None,
            read_refusal_reason=lambda: None,
            **dependencies,
        )
        entry_server = await enter(
            test_utils.TestServer(
                application.make_application(entry), handler_cancellation=True
            )
        )
        client = await enter(aiohttp.ClientSession(auto_decompress=False))
        address = f"127.0.0.1:{entry_server.port}"
        yield Entry(grant_client, service, client, address)


def run(main):
    """Runs the coroutine of a test with a time limit of 60 s."""

    async def run_with_limit():
        async with asyncio.timeout(60):
            return await main()

    return asyncio.run(run_with_limit())
