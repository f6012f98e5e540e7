"""Majorities of a region, asked by holders and told by claimants."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_ownership import _holding
from poplarwick_ownership import _roster
from poplarwick_ownership import confirmations
from poplarwick_ownership import tenure
from poplarwick_peers import membership
from poplarwick_platform import kv

CONFIRMATION_S = 1.0
RETRY_S = 0.5


class Electorate:
    """Asks and tells the instances of the roster.

    Args:
        view: The membership of this instance.
        roster: The instances to ask.
        peers: Calls to them.
        read_clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        view: membership.Membership,
        roster: _roster.Roster,
        peers: confirmations.OwnershipClient,
        read_clock: Callable[[], float],
    ) -> None:
        self.valid_until_s = 0.0
        self.is_service_seen = False
        self._membership = view
        self._roster = roster
        self._peers = peers
        self._read_clock = read_clock

    @property
    def is_confirmed(self) -> bool:
        """Whether a majority confirmed within the last second."""
        return self._read_clock() < self.valid_until_s

    async def confirm(
        self,
        lease: kv.LeaseId,
        tenures: tuple[tenure.Tenure, ...],
        clock_rate_margin: float,
    ) -> None:
        """Asks all others whether this instance may go on."""
        sent_s = self._read_clock()
        votes = await asyncio.gather(
            *(
                self._peers.confirm(member, lease, tenures)
                for member in self._list_others()
            )
        )
        given = [vote for vote in votes if vote is not None]
        in_favour = 1 + sum(
            vote.is_service_unavailable and not vote.is_superseded
            for vote in given
        )
        self.is_service_seen = any(
            not vote.is_service_unavailable for vote in given
        )
        if any(vote.is_superseded for vote in given):
            logs.log_event("outage_tenures_superseded")
            self.valid_until_s = 0.0
        elif in_favour >= self._roster.majority:
            self.valid_until_s = sent_s + CONFIRMATION_S * (
                1 - clock_rate_margin
            )

    async def announce(
        self, resources: dict[tenure.Resource, ids.Epoch]
    ) -> bool:
        """Tells all others; returns whether enough of them have heard."""
        heard = await asyncio.gather(
            *(
                self._peers.announce(member, resources)
                for member in self._list_others()
            )
        )
        return 1 + sum(heard) >= self._roster.blocking

    def _list_others(self) -> list[membership.Member]:
        own = self._membership.own.instance
        return [
            member
            for member in self._membership.members
            if member.instance in self._roster.instances
            and member.instance != own
        ]


class Announcer:
    """Tells the others about claims after unplanned ends, in batches.

    Args:
        electorate: The instances to tell; None tells no one.
    """

    def __init__(self, electorate: Electorate | None) -> None:
        self._electorate = electorate
        self._unheard: list[_holding.Holding] = []
        self._changed = asyncio.Event()

    async def ensure_heard(self, holding: _holding.Holding) -> float:
        """Waits until the earlier holder can find no majority any more.

        Returns:
            Time in seconds to wait from now on.
        """
        if self._electorate is None:
            return 0.0
        self._unheard.append(holding)
        self._changed.set()
        await holding.heard.wait()
        return CONFIRMATION_S

    async def run(self) -> None:
        """Announces claims until cancelled."""
        while self._electorate is not None:
            await self._changed.wait()
            self._changed.clear()
            told = [h for h in self._unheard if not h.has_ended]
            claimed = {h.tenure.resource: h.tenure.epoch for h in told}
            if told and await self._electorate.announce(claimed):
                for holding in told:
                    holding.heard.set()
            self._unheard = [h for h in self._unheard if not h.heard.is_set()]
            if self._unheard:
                self._changed.set()
                await asyncio.sleep(RETRY_S)
