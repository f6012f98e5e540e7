"""Reaches endpoints directly, or through other instances while cut off.

One place beneath requests, orders and reports, so that none of them asks how
its endpoint is reached.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from typing import Any

from poplarwick_catalogue import catalogue
from poplarwick_catalogue import deployment
from poplarwick_core import clock
from poplarwick_core import connection_attempt
from poplarwick_core import logs
from poplarwick_core import time_limit
from poplarwick_reach import connector
from poplarwick_reach import frames
from poplarwick_reach import handshake
from poplarwick_reach import log_events
from poplarwick_reach import metrics
from poplarwick_reach import reachability
from poplarwick_reach import relay_choice

PROBE_PERIOD_S = 0.5
"""Shortest interval between rounds of probes, and the interval while the
instance is cut off."""

PROBE_TIMEOUT_S = 0.3
"""Time limit for the connection of a probe."""

PROBE_QUIET_S = 0.05
"""Time for which a connection must stay open to count as reached."""

PROBES = reachability.CUT_EVIDENCE - 1
"""Endpoints that are probed in a round; with the one that failed they suffice
to find that the instance is cut off."""


class _ClosingProtocol(asyncio.Protocol):
    """Closes its connection as soon as it is made."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.close()


class EndpointReach:
    """Implements `connector.Reach`.

    Args:
        deployment_: Deployment of this instance.
        catalogue_: Known instances and endpoints.
    """

    def __init__(
        self,
        deployment_: deployment.Deployment,
        catalogue_: catalogue.Catalogue,
    ) -> None:
        self._catalogue = catalogue_
        self._host, _, relay_port = deployment_.relay_address.rpartition(":")
        self._relay_port = int(relay_port)
        self._rng = random.Random()
        self._reachability = reachability.Reachability()
        self._choice = relay_choice.RelayChoice(deployment_, self._rng)
        self._wake = asyncio.Event()

    @property
    def is_cut_off(self) -> bool:
        """Whether this instance reaches no endpoint."""
        return self._reachability.is_cut_off

    def make_connector(self, **options: Any) -> connector.ReachConnector:
        """Returns a connector for an HTTP session.

        Args:
            **options: Options of `aiohttp.TCPConnector`.
        """
        return connector.ReachConnector(self, self._host, **options)

    def record_failed(self, address: str) -> None:
        """Records an endpoint that did not accept a direct connection."""
        change = self._reachability.record_failed(
            address, len(self._catalogue.endpoints), clock.now_s()
        )
        if change is not None:
            self._wake.set()
        if change is reachability.Change.CUT_OFF:
            logs.log(
                log_events.InstanceCutOff(
                    endpoints=",".join(sorted(self._reachability.failed))
                )
            )

    def record_reached(self, address: str, opened_at_s: float) -> None:
        """Records an endpoint that was reached directly.

        Args:
            address: Host and port of the endpoint.
            opened_at_s: Monotonic time at which the connection was begun.
        """
        now_s = clock.now_s()
        cut_since_s = self._reachability.changed_at_s
        change = self._reachability.record_reached(
            address, len(self._catalogue.endpoints), opened_at_s, now_s
        )
        if change is reachability.Change.HEALED:
            logs.log(
                log_events.InstanceReachesEndpoints(after_s=now_s - cut_since_s)
            )

    async def run(self) -> None:
        """Probes endpoints while there is doubt, until cancelled."""
        while True:
            if not self.is_cut_off:
                await self._wake.wait()
            self._wake.clear()
            addresses = self._choose_probed()
            await asyncio.gather(*(self._probe(a) for a in addresses))
            await asyncio.sleep(PROBE_PERIOD_S)

    async def is_reachable(self, address: str) -> bool:
        """Returns whether an endpoint accepts connections, also of relays."""
        if not self.is_cut_off:
            return await self._connect_directly(address)
        try:
            return await self.open_relayed(
                address, _ClosingProtocol(), connector.ConnectionInfo()
            )
        except OSError:
            return False

    async def refuses_connections(self, address: str) -> bool:
        """Returns whether nothing accepts connections at an address.

        A reset of an accepted connection shows a process, which may be busy.
        Relays connect to registered addresses only, so nothing is known while
        this instance is cut off.

        Args:
            address: Host and port, which need not be registered.
        """
        if self.is_cut_off:
            return False
        try:
            sock = await self._connect(address)
        except OSError:
            return True
        sock.close()
        return False

    async def open_relayed(
        self,
        address: str,
        protocol: asyncio.Protocol,
        info: connector.ConnectionInfo,
    ) -> bool:
        """Connects a protocol to an endpoint through another instance.

        Args:
            address: Host and port of the endpoint.
            protocol: Sees the connection as one to the endpoint.
            info: Label of the connection; learns which instance relays it.

        Returns:
            Whether an instance relays the connection.

        Raises:
            ConnectionRefusedError: An instance that reaches endpoints does not
                reach this one.
        """
        members = self._choice.choose(self._catalogue.members, clock.now_s())
        for member in members:
            host = member.address.rpartition(":")[0]
            try:
                sock = await handshake.request_relay(
                    (host, self._relay_port), self._host, address, info.label
                )
            except handshake.DeclinedError as error:
                if error.reply is handshake.Reply.UNREACHABLE:
                    raise ConnectionRefusedError(
                        f"{member.instance} cannot connect to {address}"
                    ) from error
                if self._choice.record_declined(member.instance, clock.now_s()):
                    logs.log(
                        log_events.RelayDeclined(
                            relay=member.instance, reason=str(error)
                        )
                    )
                continue
            self._choice.record_relayed(member.instance)
            metrics.connections_relayed.add(1, {"role": "origin"})
            info.relay = member.instance
            loop = asyncio.get_running_loop()
            await loop.create_connection(
                lambda: frames.FrameReader(protocol, info.record_relay_end),
                sock=sock,
            )
            return True
        return False

    def _choose_probed(self) -> list[str]:
        addresses = [
            tracked.endpoint.address
            for tracked in self._catalogue.endpoints.values()
        ]
        if not self.is_cut_off:
            failed = self._reachability.failed
            addresses = [a for a in addresses if a not in failed]
        return self._rng.sample(addresses, k=min(PROBES, len(addresses)))

    async def _probe(self, address: str) -> None:
        began_at_s = clock.now_s()
        if await self._connect_directly(address):
            self.record_reached(address, began_at_s)
        else:
            self.record_failed(address)

    async def _connect_directly(self, address: str) -> bool:
        """Returns whether a direct connection is made and stays open."""
        try:
            sock = await self._connect(address)
        except OSError:
            return False
        loop = asyncio.get_running_loop()
        with sock, contextlib.suppress(TimeoutError):
            async with time_limit.limit_time(PROBE_QUIET_S):
                try:
                    return bool(await loop.sock_recv(sock, 1))
                except OSError:
                    return False
        return True

    async def _connect(self, address: str) -> socket.socket:
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        await connection_attempt.connect(
            sock, self._host, (host, int(port)), PROBE_TIMEOUT_S
        )
        return sock
