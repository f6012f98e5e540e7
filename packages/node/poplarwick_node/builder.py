"""Composition root of an instance."""

from __future__ import annotations

import contextlib
import ssl

import aiohttp
from aiohttp import web

from poplarwick_administration import access
from poplarwick_administration import api
from poplarwick_configuration import document
from poplarwick_configuration import follower
from poplarwick_core import ids
from poplarwick_core import tls
from poplarwick_dispatch import dispatcher
from poplarwick_dispatch import limits
from poplarwick_dispatch import router
from poplarwick_endpoints import engine
from poplarwick_endpoints import session
from poplarwick_entry import application
from poplarwick_entry import claimed_calls
from poplarwick_entry import context
from poplarwick_entry import grants
from poplarwick_entry import reports
from poplarwick_forwarding import graceful_stop
from poplarwick_node import _fleet
from poplarwick_node import _limits
from poplarwick_node import _owners
from poplarwick_node import _resources
from poplarwick_node import _shards
from poplarwick_node import _stopping
from poplarwick_node import _telemetry
from poplarwick_node import _web
from poplarwick_node import instance as instances
from poplarwick_node import settings
from poplarwick_outcomes.claims import client as claim_client
from poplarwick_outcomes.claims import service as claim_service
from poplarwick_ownership import confirmations
from poplarwick_ownership import leases
from poplarwick_peers import configurations
from poplarwick_peers import heartbeats
from poplarwick_peers import membership
from poplarwick_peers import transport
from poplarwick_platform import gateway
from poplarwick_platform import instances as instance_list


async def build_instance(
    instance_settings: settings.Settings, stack: contextlib.AsyncExitStack
) -> instances.Instance:
    """Starts all components of an instance; closing `stack` stops them.

    Args:
        instance_settings: Settings of the instance.
        stack: Owns the components and closes them in reverse order.

    Returns:
        The running instance.

    Raises:
        tls.TlsError: A certificate file cannot be used.
        OSError: An address cannot be listened on.
    """
    connections = await _open_connections(instance_settings, stack)
    ownership = await _make_ownership(instance_settings, connections, stack)
    limit_components = await _make_limits(connections, stack)
    await _serve_peers(
        instance_settings, connections, ownership, limit_components, stack
    )
    await stack.enter_async_context(connections.members)
    await stack.enter_async_context(connections.documents)
    await stack.enter_async_context(ownership.owner)
    callers = _web.WebServer(
        instance_settings.listen.callers, connections.caller_tls
    )
    stop = graceful_stop.GracefulStop()
    built = instances.Instance(
        instance_settings,
        connections.documents,
        connections.members,
        ownership.local,
        ownership.owner,
        callers,
        connections.fleet,
        stop,
    )
    connections.documents.add_listener(
        lambda view: _resources.apply_view(
            view, ownership.local, ownership.owner, limit_components.limiter
        )
    )
    entry = await _make_entry(
        connections,
        ownership,
        limit_components,
        built,
        callers,
        stop,
        stack,
    )
    await callers.start(_make_caller_application(entry), stack)
    administration = _web.WebServer(
        instance_settings.listen.administration, connections.operator_tls
    )
    await administration.start(
        _make_administration(instance_settings, connections, built), stack
    )
    return built


class _Connections:
    """Connections to the platform, the other instances and endpoints.

    Attributes:
        instance: Id of this instance.
        kv_client: Client of the key-value service.
        documents: Configuration in force.
        fleet: View of the fleet, with the versions in force.
        channels: Connections to other instances.
        members: Membership of the fleet.
        exchange: Exchanges configuration with other instances.
        endpoint_session: HTTP session for calls to endpoints.
        peer_server_tls: TLS for connections from other instances.
        caller_tls: TLS for connections from callers.
        operator_tls: TLS for connections from operators, who may present a
            client certificate.
    """

    instance: ids.InstanceId
    kv_client: gateway.GatewayClient
    documents: follower.Follower
    fleet: _fleet.FleetView
    channels: transport.ChannelPool
    members: heartbeats.HeartbeatMembership
    exchange: configurations.ConfigurationExchange
    endpoint_session: aiohttp.ClientSession
    peer_server_tls: ssl.SSLContext | None
    caller_tls: ssl.SSLContext | None
    operator_tls: ssl.SSLContext | None

    def read_view(self) -> document.View | None:
        """Returns the configuration in force, or None before the first one."""
        return self.documents.view

    def record_version(self, member: membership.Member, version: int) -> None:
        """Records the version in force at another instance."""
        self.fleet.record_version(member, version)
        self.documents.record_peer_version(member.instance, version)


async def _open_connections(
    instance_settings: settings.Settings, stack: contextlib.AsyncExitStack
) -> _Connections:
    enter = stack.enter_async_context
    connections = _Connections()
    connections.instance = ids.InstanceId(instance_settings.instance)
    connections.peer_server_tls = await _open_tls(
        instance_settings.peer_tls, ssl.Purpose.CLIENT_AUTH, stack
    )
    peer_client_tls = await _open_tls(
        instance_settings.peer_tls, ssl.Purpose.SERVER_AUTH, stack
    )
    connections.caller_tls = await _open_tls(
        instance_settings.caller_tls,
        ssl.Purpose.CLIENT_AUTH,
        stack,
        require_peer=False,
    )
    connections.operator_tls = await _open_tls(
        instance_settings.caller_tls,
        ssl.Purpose.CLIENT_AUTH,
        stack,
        require_peer=False,
        accept_peer=True,
    )
    connections.kv_client = await enter(
        gateway.connect(
            instance_settings.key_value, instance=instance_settings.instance
        )
    )
    connections.documents = follower.Follower(
        connections.kv_client, instance_settings.environment
    )
    connections.fleet = _fleet.FleetView(connections.read_view)
    connections.channels = await enter(transport.ChannelPool(peer_client_tls))
    connections.endpoint_session = await enter(session.make_session())
    connections.members = await _make_members(
        instance_settings, connections, stack
    )
    connections.exchange = configurations.ConfigurationExchange(
        connections.members, connections.channels
    )
    connections.documents.use_peers(connections.exchange)
    return connections


async def _make_members(
    instance_settings: settings.Settings,
    connections: _Connections,
    stack: contextlib.AsyncExitStack,
) -> heartbeats.HeartbeatMembership:
    listed_instances = await stack.enter_async_context(
        instance_list.InstanceListClient(instance_settings.instance_list)
    )
    local_member = heartbeats.make_member(
        instance_settings.instance,
        instance_settings.listen.peers,
        instance_settings.domain,
        instance_settings.region,
    )
    return heartbeats.HeartbeatMembership(
        local_member,
        listed_instances,
        instance_settings.timing.heartbeat_s,
        connections.channels.open,
        heartbeats.VersionCallbacks(
            connections.fleet.read_version, connections.record_version
        ),
    )


class _Ownership:
    """The components that own resources.

    Attributes:
        local: Dispatcher of the endpoints owned by this instance.
        shards: Service for the claim shards owned by this instance.
        owner: Acquires and releases the tenures of resources.
    """

    local: dispatcher.Dispatcher
    shards: claim_service.ClaimService
    owner: leases.LeaseOwnership


async def _make_ownership(
    instance_settings: settings.Settings,
    connections: _Connections,
    stack: contextlib.AsyncExitStack,
) -> _Ownership:
    ownership = _Ownership()
    endpoint_session, members = (
        connections.endpoint_session,
        connections.members,
    )
    ownership.local = await stack.enter_async_context(
        dispatcher.Dispatcher(
            connections.instance,
            make_control=lambda address: engine.EngineClient(
                endpoint_session, address
            ),
            is_live=lambda entry_instance: (
                members.find(entry_instance) is not None
            ),
        )
    )
    ownership.shards = claim_service.ClaimService(
        connections.kv_client, instance_settings.environment
    )
    ownership.owner = leases.LeaseOwnership(
        connections.kv_client,
        members,
        _shards.TenureRouter(ownership.local, ownership.shards),
        instance_settings.timing.lease_ttl_s,
        peers=confirmations.GrpcOwnershipClient(
            connections.instance, connections.channels.get
        ),
    )
    return ownership


class _Limits:
    """The components that enforce organisations' fleet-wide limits.

    Attributes:
        manager: Manages the limits that this instance accounts for.
        limiter: Applies the limits to this instance's callers.
    """

    manager: limits.LimitManager
    limiter: limits.Limiter


async def _make_limits(
    connections: _Connections, stack: contextlib.AsyncExitStack
) -> _Limits:
    limit_components = _Limits()
    limit_client = _limits.LimitClient(
        connections.members, connections.channels
    )
    limit_components.manager = _limits.make_limit_manager(
        connections.instance, limit_client
    )
    limit_components.limiter = await stack.enter_async_context(
        _limits.make_limiter(
            connections.instance, limit_client, limit_components.manager
        )
    )
    return limit_components


async def _serve_peers(
    instance_settings: settings.Settings,
    connections: _Connections,
    ownership: _Ownership,
    limit_components: _Limits,
    stack: contextlib.AsyncExitStack,
) -> None:
    services = (
        connections.members.service,
        configurations.ConfigurationService(connections.documents),
        ownership.local,
        ownership.shards,
        ownership.owner.service,
        limit_components.manager,
    )
    await stack.enter_async_context(
        transport.PeerServer(
            instance_settings.listen.peers,
            services,
            connections.peer_server_tls,
        )
    )


async def _make_entry(
    connections: _Connections,
    ownership: _Ownership,
    limit_components: _Limits,
    built: instances.Instance,
    callers: _web.WebServer,
    stop: graceful_stop.GracefulStop,
    stack: contextlib.AsyncExitStack,
) -> context.EntryContext:
    claims = await stack.enter_async_context(
        claim_client.ClaimClient(
            _shards.make_owner_finder(
                connections.read_view,
                ownership.owner,
                connections.members,
                connections.channels,
                ownership.shards,
            )
        )
    )
    return context.EntryContext(
        instance=connections.instance,
        grant_client=await _make_grant_client(
            connections,
            ownership,
            _stopping.WaitLimit(stop, connections.read_view),
            stack,
        ),
        session=connections.endpoint_session,
        limiter=limit_components.limiter,
        claimed_calls=await stack.enter_async_context(
            claimed_calls.ClaimedCalls(claims)
        ),
        read_view=built.read_view,
        read_unready_reason=built.read_unready_reason,
        read_refusal_reason=built.read_refusal_reason,
        read_stop_reason=built.read_stop_reason,
        record_running=callers.record_running,
        limit_answer=_stopping.AnswerLimit(stop).limit,
    )


async def _make_grant_client(
    connections: _Connections,
    ownership: _Ownership,
    wait_limit: _stopping.WaitLimit,
    stack: contextlib.AsyncExitStack,
) -> grants.GrantClient:
    routes = router.Router()

    def drop_dead_instance(change: heartbeats.MemberChange) -> None:
        if change.after.state is membership.MemberState.DEAD:
            routes.forget(change.after.instance)
            connections.fleet.remove_instance(change.after.instance)

    connections.members.add_listener(drop_dead_instance)
    reporter = await stack.enter_async_context(
        reports.Reporter(
            connections.instance,
            ownership.local,
            connections.channels,
            connections.members,
            connections.endpoint_session,
        )
    )
    return grants.GrantClient(
        connections.members,
        routes,
        ownership.local,
        connections.channels,
        reporter,
        _owners.OwnerIndex(connections.read_view, ownership.owner).find,
        wait_limit.limit,
    )


def _make_caller_application(entry: context.EntryContext) -> web.Application:
    caller_application = application.make_application(entry)
    _telemetry.add_metrics(caller_application)
    return caller_application


def _make_administration(
    instance_settings: settings.Settings,
    connections: _Connections,
    built: instances.Instance,
) -> web.Application:
    operators = tuple(
        access.Operator(
            operator.name,
            access.Role(operator.role),
            operator.token_sha256,
            certificate_sha256=operator.certificate_sha256,
        )
        for operator in instance_settings.administrators
    )
    return api.make_application(
        connections.kv_client,
        connections.documents,
        instance=instance_settings.instance,
        environment=instance_settings.environment,
        operators=operators,
        read_fleet=built.read_fleet,
        peers=connections.exchange,
    )


async def _open_tls(
    section: settings.Tls | None,
    purpose: ssl.Purpose,
    stack: contextlib.AsyncExitStack,
    *,
    require_peer: bool = True,
    accept_peer: bool = False,
) -> ssl.SSLContext | None:
    if section is None:
        return None
    tls_context = tls.TlsContext(
        settings.make_certificate_files(section),
        purpose,
        require_peer=require_peer,
        accept_peer=accept_peer,
    )
    await stack.enter_async_context(tls_context)
    return tls_context.context
