"""Builds one instance from its parts and runs it until it is told to stop."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import ssl

from aiohttp import web

from poplarwick_administration import access
from poplarwick_administration import api
from poplarwick_administration import messages
from poplarwick_configuration import document
from poplarwick_configuration import follower
from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_core import tls
from poplarwick_dispatch import dispatcher
from poplarwick_dispatch import router
from poplarwick_endpoints import engine
from poplarwick_endpoints import session
from poplarwick_entry import application
from poplarwick_entry import context
from poplarwick_entry import grants
from poplarwick_entry import reports
from poplarwick_node import _fleet
from poplarwick_node import _limits
from poplarwick_node import _resources
from poplarwick_node import _telemetry
from poplarwick_node import _web
from poplarwick_node import settings
from poplarwick_ownership import leases
from poplarwick_peers import configurations
from poplarwick_peers import heartbeats
from poplarwick_peers import membership
from poplarwick_peers import transport
from poplarwick_platform import gateway
from poplarwick_platform import instances

ISOLATION_LIMIT_S = 10.0
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def run(checked: settings.Settings) -> None:
    """Runs an instance.

    The first signal to stop begins a graceful shutdown; a second one ends the
    process at once.

    Args:
        checked: Settings of the instance.
    """
    stop = _catch_signals()
    async with contextlib.AsyncExitStack() as stack:
        instance = await build_instance(checked, stack)
        logs.log_event("started", callers=checked.listen.callers)
        await stop.first.wait()
        leaving = asyncio.create_task(instance.leave())
        forced = asyncio.create_task(stop.second.wait())
        await asyncio.wait(
            (leaving, forced), return_when=asyncio.FIRST_COMPLETED
        )
        forced.cancel()
        if not leaving.done():
            logs.log_event("stop_forced", "WARNING")
            leaving.cancel()
    logs.log_event("stopped")


class Instance:
    """The running parts of one instance.

    Attributes:
        is_leaving: Whether a planned stop has begun.
    """

    def __init__(
        self,
        checked: settings.Settings,
        documents: follower.Follower,
        members: heartbeats.HeartbeatMembership,
        local: dispatcher.Dispatcher,
        owner: leases.LeaseOwnership,
        callers: _web.WebServer,
        fleet: _fleet.FleetView,
    ) -> None:
        self.is_leaving = False
        self._fleet = fleet
        self._settings = checked
        self._documents = documents
        self._members = members
        self._local = local
        self._owner = owner
        self._callers = callers

    def read_view(self) -> document.View | None:
        """Returns the configuration in force."""
        return self._documents.view

    def read_readiness(self) -> str | None:
        """Returns why this instance does not serve, or None."""
        view = self._documents.view
        if self.is_leaving:
            return "the instance is leaving"
        refusal = self.read_refusal()
        if refusal is not None:
            return refusal
        if view is not None and self._is_out(view):
            return "operators took the instance out of service"
        return None

    def read_refusal(self) -> str | None:
        """Returns why this instance admits no request, or None."""
        if self._documents.view is None:
            return "no configuration is known yet"
        if self._documents.isolated_s > ISOLATION_LIMIT_S:
            return "cut off from the key-value service and all instances"
        return None

    def _is_out(self, view: document.View) -> bool:
        return self._settings.instance in view.document.instances_out

    def read_fleet(self) -> tuple[messages.InstanceMessage, ...]:
        """Returns what is known about all instances."""
        return self._fleet.describe(self._members, self._owner)

    async def leave(self) -> None:
        """Ends all work without cutting off a request.

        Readiness goes off first; once the balancer has noticed, what the
        instance owns is handed over and requests in progress finish.
        """
        self.is_leaving = True
        logs.log_event("leaving")
        self._members.announce_leaving()
        await asyncio.sleep(self._settings.timing.balancer_delay_s)
        await self._callers.stop_listening()
        self._local.drain()
        await self._owner.release_all()
        await self._callers.wait_idle()


class _Stop:
    def __init__(self) -> None:
        self.first = asyncio.Event()
        self.second = asyncio.Event()

    def note(self) -> None:
        if self.first.is_set():
            self.second.set()
        self.first.set()


def _catch_signals() -> _Stop:
    stop = _Stop()
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stop.note)
    return stop


async def build_instance(
    checked: settings.Settings, stack: contextlib.AsyncExitStack
) -> Instance:
    """Starts all parts of an instance; leaving `stack` ends them.

    Raises:
        tls.TlsError: A certificate file is not usable.
        OSError: An address cannot be listened on.
    """
    enter = stack.enter_async_context
    peer_server_tls = await _open_tls(
        checked.peer_tls, ssl.Purpose.CLIENT_AUTH, stack
    )
    peer_client_tls = await _open_tls(
        checked.peer_tls, ssl.Purpose.SERVER_AUTH, stack
    )
    caller_tls = await _open_tls(
        checked.caller_tls, ssl.Purpose.CLIENT_AUTH, stack, require_peer=False
    )
    kv_client = await enter(
        gateway.connect(checked.key_value, instance=checked.instance)
    )
    documents = follower.Follower(kv_client, checked.environment)
    fleet = _fleet.FleetView(lambda: documents.view)
    channels = await enter(transport.ChannelPool(peer_client_tls))
    listed = await enter(instances.InstanceListClient(checked.instance_list))
    members = heartbeats.HeartbeatMembership(
        heartbeats.make_member(
            checked.instance,
            checked.listen.peers,
            checked.domain,
            checked.region,
        ),
        listed,
        checked.timing.heartbeat_s,
        channels.open,
        heartbeats.Hints(
            fleet.read_version,
            lambda member, version: _hear_version(
                member, version, fleet, documents
            ),
        ),
    )
    exchange = configurations.ConfigurationExchange(members, channels)
    documents.use_peers(exchange)
    calls = await enter(session.make_session())
    local = await enter(
        dispatcher.Dispatcher(
            ids.InstanceId(checked.instance),
            make_control=lambda address: engine.EngineClient(calls, address),
            is_live=lambda entry: members.find(entry) is not None,
        )
    )
    owner = leases.LeaseOwnership(
        kv_client, members, local, checked.timing.lease_ttl_s
    )
    routes = router.Router()
    members.add_listener(lambda change: _forget_dead(routes, fleet, change))
    reporter = await enter(
        reports.Reporter(
            ids.InstanceId(checked.instance), local, channels, members, calls
        )
    )
    broker = grants.GrantBroker(members, routes, local, channels, reporter)
    limit_peers = _limits.LimitPeers(members, channels)
    keeper = _limits.make_keeper(ids.InstanceId(checked.instance), limit_peers)
    limiter = await enter(
        _limits.make_limiter(
            ids.InstanceId(checked.instance), limit_peers, keeper
        )
    )
    await enter(
        transport.PeerServer(
            checked.listen.peers,
            (
                local,
                members.service,
                keeper,
                configurations.ConfigurationService(documents),
            ),
            peer_server_tls,
        )
    )
    await enter(members)
    await enter(documents)
    await enter(owner)
    callers = _web.WebServer(checked.listen.callers, caller_tls)
    instance = Instance(
        checked, documents, members, local, owner, callers, fleet
    )
    documents.add_listener(
        lambda view: _resources.apply_view(view, local, owner, limiter)
    )
    entry = context.EntryContext(
        instance=ids.InstanceId(checked.instance),
        broker=broker,
        session=calls,
        limiter=limiter,
        read_view=instance.read_view,
        read_readiness=instance.read_readiness,
        read_refusal=instance.read_refusal,
    )
    await callers.start(_make_caller_application(entry), stack)
    administration = _web.WebServer(checked.listen.administration, caller_tls)
    await administration.start(
        _make_administration(checked, kv_client, documents, instance, exchange),
        stack,
    )
    return instance


def _make_caller_application(entry: context.EntryContext) -> web.Application:
    caller_application = application.make_application(entry)
    _telemetry.add_metrics(caller_application)
    return caller_application


def _make_administration(
    checked: settings.Settings,
    kv_client: gateway.GatewayClient,
    documents: follower.Follower,
    instance: Instance,
    exchange: configurations.ConfigurationExchange,
) -> web.Application:
    operators = tuple(
        access.Operator(
            operator.name, access.Role(operator.role), operator.token_sha256
        )
        for operator in checked.administrators
    )
    return api.make_application(
        kv_client,
        documents,
        instance=checked.instance,
        environment=checked.environment,
        operators=operators,
        read_fleet=instance.read_fleet,
        peers=exchange,
    )


def _hear_version(
    member: membership.Member,
    version: int,
    fleet: _fleet.FleetView,
    documents: follower.Follower,
) -> None:
    fleet.hear_version(member, version)
    documents.note_peer_version(member.instance, version)


def _forget_dead(
    routes: router.Router,
    fleet: _fleet.FleetView,
    change: heartbeats.MemberChange,
) -> None:
    if change.after.state is membership.MemberState.DEAD:
        routes.forget(change.after.instance)
        fleet.forget(change.after.instance)


async def _open_tls(
    section: settings.Tls | None,
    purpose: ssl.Purpose,
    stack: contextlib.AsyncExitStack,
    *,
    require_peer: bool = True,
) -> ssl.SSLContext | None:
    if section is None:
        return None
    held = tls.TlsContext(
        settings.make_certificate_files(section),
        purpose,
        require_peer=require_peer,
    )
    await stack.enter_async_context(held)
    return held.context
