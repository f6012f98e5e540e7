"""Builds one instance from its parts."""

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
from poplarwick_node import _fleet
from poplarwick_node import _limits
from poplarwick_node import _owners
from poplarwick_node import _resources
from poplarwick_node import _shards
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
    checked: settings.Settings, stack: contextlib.AsyncExitStack
) -> instances.Instance:
    """Starts all parts of an instance; leaving `stack` ends them.

    Args:
        checked: Settings of the instance.
        stack: Owns the parts; they end in the opposite order.

    Raises:
        tls.TlsError: A certificate file is not usable.
        OSError: An address cannot be listened on.
    """
    links = await _open_links(checked, stack)
    owning = await _make_owning(checked, links, stack)
    limiting = await _make_limiting(links, stack)
    await _serve_peers(checked, links, owning, limiting, stack)
    await stack.enter_async_context(links.members)
    await stack.enter_async_context(links.documents)
    await stack.enter_async_context(owning.owner)
    callers = _web.WebServer(checked.listen.callers, links.caller_tls)
    built = instances.Instance(
        checked,
        links.documents,
        links.members,
        owning.local,
        owning.owner,
        callers,
        links.fleet,
    )
    links.documents.add_listener(
        lambda view: _resources.apply_view(
            view, owning.local, owning.owner, limiting.limiter
        )
    )
    entry = await _make_entry(links, owning, limiting, built, stack)
    await callers.start(_make_caller_application(entry), stack)
    administration = _web.WebServer(
        checked.listen.administration, links.operator_tls
    )
    await administration.start(
        _make_administration(checked, links, built), stack
    )
    return built


class _Links:
    """Connections to the platform, the other instances and endpoints.

    Attributes:
        instance: This instance.
        kv_client: Client of the key-value service.
        documents: Configuration in force.
        fleet: Versions in force at the other instances.
        channels: Connections to other instances.
        members: View of the other instances.
        exchange: Passes configuration between instances.
        calls: Session for calls to endpoints.
        peer_server_tls: TLS towards instances that connect to this one.
        caller_tls: TLS towards callers.
        operator_tls: TLS towards operators, who may show a certificate.
    """

    instance: ids.InstanceId
    kv_client: gateway.GatewayClient
    documents: follower.Follower
    fleet: _fleet.FleetView
    channels: transport.ChannelPool
    members: heartbeats.HeartbeatMembership
    exchange: configurations.ConfigurationExchange
    calls: aiohttp.ClientSession
    peer_server_tls: ssl.SSLContext | None
    caller_tls: ssl.SSLContext | None
    operator_tls: ssl.SSLContext | None

    def read_view(self) -> document.View | None:
        """Returns the configuration in force."""
        return self.documents.view

    def hear_version(self, member: membership.Member, version: int) -> None:
        """Notes the version in force at another instance."""
        self.fleet.hear_version(member, version)
        self.documents.record_peer_version(member.instance, version)


async def _open_links(
    checked: settings.Settings, stack: contextlib.AsyncExitStack
) -> _Links:
    enter = stack.enter_async_context
    links = _Links()
    links.instance = ids.InstanceId(checked.instance)
    links.peer_server_tls = await _open_tls(
        checked.peer_tls, ssl.Purpose.CLIENT_AUTH, stack
    )
    peer_client_tls = await _open_tls(
        checked.peer_tls, ssl.Purpose.SERVER_AUTH, stack
    )
    links.caller_tls = await _open_tls(
        checked.caller_tls, ssl.Purpose.CLIENT_AUTH, stack, require_peer=False
    )
    links.operator_tls = await _open_tls(
        checked.caller_tls,
        ssl.Purpose.CLIENT_AUTH,
        stack,
        require_peer=False,
        accept_peer=True,
    )
    links.kv_client = await enter(
        gateway.connect(checked.key_value, instance=checked.instance)
    )
    links.documents = follower.Follower(links.kv_client, checked.environment)
    links.fleet = _fleet.FleetView(links.read_view)
    links.channels = await enter(transport.ChannelPool(peer_client_tls))
    links.calls = await enter(session.make_session())
    links.members = await _make_members(checked, links, stack)
    links.exchange = configurations.ConfigurationExchange(
        links.members, links.channels
    )
    links.documents.use_peers(links.exchange)
    return links


async def _make_members(
    checked: settings.Settings,
    links: _Links,
    stack: contextlib.AsyncExitStack,
) -> heartbeats.HeartbeatMembership:
    listed = await stack.enter_async_context(
        instance_list.InstanceListClient(checked.instance_list)
    )
    own = heartbeats.make_member(
        checked.instance,
        checked.listen.peers,
        checked.domain,
        checked.region,
    )
    return heartbeats.HeartbeatMembership(
        own,
        listed,
        checked.timing.heartbeat_s,
        links.channels.open,
        heartbeats.VersionCallbacks(
            links.fleet.read_version, links.hear_version
        ),
    )


class _Owning:
    """What this instance owns.

    Attributes:
        local: Dispatcher of the owned endpoints.
        shards: Owned shards of claims.
        owner: Holds the resources.
    """

    local: dispatcher.Dispatcher
    shards: claim_service.ClaimService
    owner: leases.LeaseOwnership


async def _make_owning(
    checked: settings.Settings,
    links: _Links,
    stack: contextlib.AsyncExitStack,
) -> _Owning:
    owning = _Owning()
    calls, members = links.calls, links.members
    owning.local = await stack.enter_async_context(
        dispatcher.Dispatcher(
            links.instance,
            make_control=lambda address: engine.EngineClient(calls, address),
            is_live=lambda entry: members.find(entry) is not None,
        )
    )
    owning.shards = claim_service.ClaimService(
        links.kv_client, checked.environment
    )
    owning.owner = leases.LeaseOwnership(
        links.kv_client,
        members,
        _shards.TenureRouter(owning.local, owning.shards),
        checked.timing.lease_ttl_s,
        peers=confirmations.GrpcOwnershipClient(
            links.instance, links.channels.get
        ),
    )
    return owning


class _Limiting:
    """The organisations' limits over the fleet.

    Attributes:
        keeper: Accounts that this instance keeps for the others.
        limiter: Admits this instance's callers.
    """

    keeper: limits.LimitManager
    limiter: limits.Limiter


async def _make_limiting(
    links: _Links, stack: contextlib.AsyncExitStack
) -> _Limiting:
    limiting = _Limiting()
    peers = _limits.LimitPeers(links.members, links.channels)
    limiting.keeper = _limits.make_keeper(links.instance, peers)
    limiting.limiter = await stack.enter_async_context(
        _limits.make_limiter(links.instance, peers, limiting.keeper)
    )
    return limiting


async def _serve_peers(
    checked: settings.Settings,
    links: _Links,
    owning: _Owning,
    limiting: _Limiting,
    stack: contextlib.AsyncExitStack,
) -> None:
    services = (
        links.members.service,
        configurations.ConfigurationService(links.documents),
        owning.local,
        owning.shards,
        owning.owner.service,
        limiting.keeper,
    )
    await stack.enter_async_context(
        transport.PeerServer(
            checked.listen.peers, services, links.peer_server_tls
        )
    )


async def _make_entry(
    links: _Links,
    owning: _Owning,
    limiting: _Limiting,
    built: instances.Instance,
    stack: contextlib.AsyncExitStack,
) -> context.EntryContext:
    claims = await stack.enter_async_context(
        claim_client.ClaimClient(
            _shards.make_owner_finder(
                links.read_view,
                owning.owner,
                links.members,
                links.channels,
                owning.shards,
            )
        )
    )
    return context.EntryContext(
        instance=links.instance,
        grant_client=await _make_grant_client(links, owning, stack),
        session=links.calls,
        limiter=limiting.limiter,
        claimed_calls=await stack.enter_async_context(
            claimed_calls.ClaimedCalls(claims)
        ),
        read_view=built.read_view,
        read_unready_reason=built.read_readiness,
        read_refusal_reason=built.read_refusal,
    )


async def _make_grant_client(
    links: _Links, owning: _Owning, stack: contextlib.AsyncExitStack
) -> grants.GrantClient:
    routes = router.Router()

    def forget_dead(change: heartbeats.MemberChange) -> None:
        if change.after.state is membership.MemberState.DEAD:
            routes.forget(change.after.instance)
            links.fleet.forget(change.after.instance)

    links.members.add_listener(forget_dead)
    reporter = await stack.enter_async_context(
        reports.Reporter(
            links.instance,
            owning.local,
            links.channels,
            links.members,
            links.calls,
        )
    )
    return grants.GrantClient(
        links.members,
        routes,
        owning.local,
        links.channels,
        reporter,
        _owners.OwnerIndex(links.read_view, owning.owner).find,
    )


def _make_caller_application(entry: context.EntryContext) -> web.Application:
    caller_application = application.make_application(entry)
    _telemetry.add_metrics(caller_application)
    return caller_application


def _make_administration(
    checked: settings.Settings, links: _Links, built: instances.Instance
) -> web.Application:
    operators = tuple(
        access.Operator(
            operator.name,
            access.Role(operator.role),
            operator.token_sha256,
            certificate_sha256=operator.certificate_sha256,
        )
        for operator in checked.administrators
    )
    return api.make_application(
        links.kv_client,
        links.documents,
        instance=checked.instance,
        environment=checked.environment,
        operators=operators,
        read_fleet=built.read_fleet,
        peers=links.exchange,
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
    held = tls.TlsContext(
        settings.make_certificate_files(section),
        purpose,
        require_peer=require_peer,
        accept_peer=accept_peer,
    )
    await stack.enter_async_context(held)
    return held.context
