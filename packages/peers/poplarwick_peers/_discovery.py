"""Discovery of instances through the platform's lagging list."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol

from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_peers import _roster
from poplarwick_peers import membership
from poplarwick_platform import instances

DISCOVERY_PERIOD_S = 2.0
DISCOVERY_INSTANCES_PER_S = 16
RECONNECT_PERIOD_S = 1.0
FORGET_DEAD_S = 600.0
_State = membership.MemberState


class InstanceSource(Protocol):
    """Where instances are discovered."""

    async def read(self) -> tuple[instances.ListedInstance, ...]:
        """Returns the listed instances."""
        ...


class Discovery:
    """Adds listed instances to a roster and finds dead ones again.

    Args:
        source: The list of instances.
        roster: What this instance believes about the others.
        greet: Pings an instance and takes over what it replies.
    """

    def __init__(
        self,
        source: InstanceSource,
        roster: _roster.Roster,
        greet: Callable[[membership.Member], Awaitable[bool]],
    ) -> None:
        self._source = source
        self._roster = roster
        self._greet = greet
        self._listed: frozenset[ids.InstanceId] = frozenset()
        self._died_s: dict[ids.InstanceId, float] = {}

    def note(self, member: membership.Member) -> None:
        """Remembers when an instance was found dead."""
        if member.state is _State.DEAD:
            self._died_s[member.instance] = clock.now_s()
        else:
            self._died_s.pop(member.instance, None)

    async def follow_list(self) -> None:
        """Reads the list until cancelled, less often as it grows."""
        while True:
            with contextlib.suppress(instances.InstanceListError):
                self._take_list(await self._source.read())
            period_s = max(
                DISCOVERY_PERIOD_S,
                len(self._listed) / DISCOVERY_INSTANCES_PER_S,
            )
            await asyncio.sleep(period_s * random.uniform(0.75, 1.25))

    def _take_list(self, listed: tuple[instances.ListedInstance, ...]) -> None:
        self._listed = frozenset(entry.instance for entry in listed)
        for entry in listed:
            if self._roster.find(entry.instance) is None:
                self._roster.merge(_make_listed_member(entry))
        now_s = clock.now_s()
        for instance, died_s in list(self._died_s.items()):
            is_listed = instance in self._listed
            if not is_listed and now_s - died_s > FORGET_DEAD_S:
                self._roster.forget(instance)
                del self._died_s[instance]

    async def reconnect(self) -> None:
        """Pings dead instances that are still listed, one at a time."""
        while True:
            await asyncio.sleep(RECONNECT_PERIOD_S * random.uniform(0.5, 1.5))
            dead = [
                member
                for member in self._roster.list_dead()
                if member.instance in self._listed
            ]
            if dead:
                await self._greet(random.choice(dead))


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
