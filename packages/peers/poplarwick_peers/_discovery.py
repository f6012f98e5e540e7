"""Discovery of instances through the platform's instance list.

The list may lag behind the actual set of instances.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol

from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_peers import _member_table
from poplarwick_peers import membership
from poplarwick_platform import instances

DISCOVERY_PERIOD_S = 2.0
DISCOVERY_INSTANCES_PER_S = 16
RECONNECT_PERIOD_S = 1.0
DEAD_RETENTION_S = 600.0
_State = membership.MemberState


class InstanceSource(Protocol):
    """Source of the instance list."""

    async def read(self) -> tuple[instances.ListedInstance, ...]:
        """Returns the listed instances."""
        ...


class Discovery:
    """Adds listed instances to the member table and reconnects dead ones.

    Args:
        source: Source of the instance list.
        member_table: Member table of this instance.
        ping: Pings an instance and merges its reply.
    """

    def __init__(
        self,
        source: InstanceSource,
        member_table: _member_table.MemberTable,
        ping: Callable[[membership.Member], Awaitable[bool]],
    ) -> None:
        self._source = source
        self._member_table = member_table
        self._ping = ping
        self._listed: frozenset[ids.InstanceId] = frozenset()
        self._died_s: dict[ids.InstanceId, float] = {}

    def record_change(self, member: membership.Member) -> None:
        """Records when an instance was declared dead."""
        if member.state is _State.DEAD:
            self._died_s[member.instance] = clock.now_s()
        else:
            self._died_s.pop(member.instance, None)

    async def poll_list(self) -> None:
        """Polls the list until cancelled.

        The period grows with the length of the list.
        """
        while True:
            with contextlib.suppress(instances.InstanceListError):
                self._merge_list(await self._source.read())
            period_s = max(
                DISCOVERY_PERIOD_S,
                len(self._listed) / DISCOVERY_INSTANCES_PER_S,
            )
            await asyncio.sleep(period_s * random.uniform(0.75, 1.25))

    def _merge_list(self, listed: tuple[instances.ListedInstance, ...]) -> None:
        self._listed = frozenset(entry.instance for entry in listed)
        for entry in listed:
            if self._member_table.find(entry.instance) is None:
                self._member_table.merge(_make_listed_member(entry))
        now_s = clock.now_s()
        for instance, died_s in list(self._died_s.items()):
            is_listed = instance in self._listed
            if not is_listed and now_s - died_s > DEAD_RETENTION_S:
                self._member_table.forget(instance)
                del self._died_s[instance]

    async def reconnect_dead(self) -> None:
        """Pings dead instances that are still listed, one per period."""
        while True:
            await asyncio.sleep(RECONNECT_PERIOD_S * random.uniform(0.5, 1.5))
            dead = [
                member
                for member in self._member_table.list_dead()
                if member.instance in self._listed
            ]
            if dead:
                await self._ping(random.choice(dead))


def _make_listed_member(
    entry: instances.ListedInstance,
) -> membership.Member:
    is_leaving = entry.state is instances.ListedState.LEAVING
    return membership.Member(
        instance=entry.instance,
        address=entry.address,
        domain=entry.domain,
        region=entry.region,
        incarnation=0,
        state=_State.LEAVING if is_leaving else _State.ALIVE,
    )
