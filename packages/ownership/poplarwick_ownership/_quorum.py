"""Quorum of a region: confirms holders and acknowledges claims."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_ownership import _held_tenure
from poplarwick_ownership import _voters
from poplarwick_ownership import confirmations
from poplarwick_ownership import tenure
from poplarwick_peers import membership
from poplarwick_platform import kv

CONFIRMATION_VALIDITY_S = 1.0
ANNOUNCEMENT_RETRY_S = 0.5


class Quorum:
    """Calls the voters of the local region.

    Args:
        members: The membership of this instance.
        voters: The instances to call.
        peers: Client for the calls.
        read_clock: Returns monotonic seconds.

    Attributes:
        valid_until_s: Monotonic time until which a majority has confirmed
            that tenures may continue.
        is_service_reachable: Whether a voter could reach the key-value
            service in the last round.
    """

    def __init__(
        self,
        members: membership.Membership,
        voters: _voters.Voters,
        peers: confirmations.OwnershipClient,
        read_clock: Callable[[], float],
    ) -> None:
        self.valid_until_s = 0.0
        self.is_service_reachable = False
        self._members = members
        self._voters = voters
        self._peers = peers
        self._read_clock = read_clock

    @property
    def is_confirmed(self) -> bool:
        """Whether the last confirmation by a majority is still valid."""
        return self._read_clock() < self.valid_until_s

    async def confirm(
        self,
        lease: kv.LeaseId,
        tenures: tuple[tenure.Tenure, ...],
        clock_rate_margin: float,
    ) -> None:
        """Requests confirmation from all other voters.

        Args:
            lease: The lease that cannot be renewed.
            tenures: Tenures that should continue.
            clock_rate_margin: Maximum relative difference of clock rates.
        """
        sent_s = self._read_clock()
        votes = await asyncio.gather(
            *(
                self._peers.confirm(member, lease, tenures)
                for member in self._list_others()
            )
        )
        received = [vote for vote in votes if vote is not None]
        votes_in_favor = 1 + sum(
            vote.is_service_unavailable and not vote.is_superseded
            for vote in received
        )
        self.is_service_reachable = any(
            not vote.is_service_unavailable for vote in received
        )
        if any(vote.is_superseded for vote in received):
            logs.log_event("outage_tenures_superseded")
            self.valid_until_s = 0.0
        elif votes_in_favor >= self._voters.majority:
            self.valid_until_s = sent_s + CONFIRMATION_VALIDITY_S * (
                1 - clock_rate_margin
            )

    async def announce(
        self, resources: dict[tenure.Resource, ids.Epoch]
    ) -> bool:
        """Announces claims to all other voters.

        Returns:
            Whether so many voters, including this one, have acknowledged that
            no majority can exist without one of them.
        """
        acknowledged = await asyncio.gather(
            *(
                self._peers.announce(member, resources)
                for member in self._list_others()
            )
        )
        return 1 + sum(acknowledged) >= self._voters.blocking_minority

    def _list_others(self) -> list[membership.Member]:
        own = self._members.own.instance
        return [
            member
            for member in self._members.members
            if member.instance in self._voters.instances
            and member.instance != own
        ]


class ClaimAnnouncer:
    """Announces claims that follow unplanned ends, in batches.

    Args:
        quorum: The voters to notify; None disables announcements.
    """

    def __init__(self, quorum: Quorum | None) -> None:
        self._quorum = quorum
        self._unacknowledged: list[_held_tenure.HeldTenure] = []
        self._changed = asyncio.Event()

    async def wait_for_acknowledgement(
        self, held_tenure: _held_tenure.HeldTenure
    ) -> float:
        """Waits until the previous holder can no longer obtain a majority.

        Returns:
            Time in seconds for which a confirmation that the previous holder
            obtained before may still be valid.
        """
        if self._quorum is None:
            return 0.0
        self._unacknowledged.append(held_tenure)
        self._changed.set()
        await held_tenure.acknowledged.wait()
        return CONFIRMATION_VALIDITY_S

    async def run(self) -> None:
        """Announces claims until cancelled."""
        while self._quorum is not None:
            await self._changed.wait()
            self._changed.clear()
            pending = [h for h in self._unacknowledged if not h.has_ended]
            claims = {h.tenure.resource: h.tenure.epoch for h in pending}
            if pending and await self._quorum.announce(claims):
                for held_tenure in pending:
                    held_tenure.acknowledged.set()
            self._unacknowledged = [
                h for h in self._unacknowledged if not h.acknowledged.is_set()
            ]
            if self._unacknowledged:
                self._changed.set()
                await asyncio.sleep(ANNOUNCEMENT_RETRY_S)
