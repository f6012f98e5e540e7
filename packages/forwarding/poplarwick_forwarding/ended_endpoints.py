"""Finds out that the endpoint of a running request has ended.

Load pattern: a failure domain loses its power and its links at once. No
connection is closed then, so that a request at an endpoint there looks like one
at a busy endpoint, and holds the memory of other engines until its caller's
deadline.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from poplarwick_catalogue import catalogue
from poplarwick_catalogue import deployment
from poplarwick_core import clock
from poplarwick_placement import messages

CHECK_PERIOD_S = 0.5
"""Interval between checks."""

SILENCE_SHARE = 0.5
"""Silence from which an endpoint may have ended, as a fraction of the time
within which unused memory must be free; the checks take most of the rest."""

FAILED_CONNECTIONS = 2
"""Connections in a row that have to be refused or to hang at the address of an
endpoint whose entry is gone; links also lose packets."""


class EndedEndpoints:
    """Decides whether endpoints that are silent have ended.

    Silence alone says nothing: a busy endpoint pauses, and one whose entry was
    withdrawn may still complete its requests.

    Args:
        catalogue_: Known endpoints.
        refuses_connections: Returns whether nothing accepts connections at an
            address; not if that is unknown.
        read_bounds: Returns the bounds in force.
    """

    def __init__(
        self,
        catalogue_: catalogue.Catalogue,
        refuses_connections: Callable[[str], Awaitable[bool]],
        read_bounds: Callable[[], deployment.Bounds],
    ) -> None:
        self._catalogue = catalogue_
        self._refuses_connections = refuses_connections
        self._read_bounds = read_bounds

    async def wait_until_ended(
        self,
        placement: messages.Placement,
        read_active_at_s: Callable[[], float],
    ) -> None:
        """Returns once the start of an endpoint that had a request has ended.

        It has if it is silent for long enough, its entry is gone or describes a
        later start, and its address belongs to another endpoint or accepts no
        connections. A busy endpoint that resets what it has accepted has not
        ended. While the store is out of reach, entries are kept, and
        nothing counts as ended.

        Args:
            placement: Where the request was sent.
            read_active_at_s: Returns the monotonic time at which the endpoint
                last sent something or could not, because of its caller.
        """
        start = self._catalogue.find_start(placement.endpoint)
        failures = 0
        while failures < FAILED_CONNECTIONS:
            await asyncio.sleep(CHECK_PERIOD_S)
            known = self._catalogue.find_start(placement.endpoint)
            start = start or known
            silent_s = clock.now_s() - read_active_at_s()
            limit_s = SILENCE_SHARE * self._read_bounds().free_s
            if start == known or silent_s < limit_s:
                failures = 0
            elif self._has_endpoint_at(placement.address):
                return
            elif await self._refuses_connections(placement.address):
                failures += 1
            else:
                failures = 0

    def _has_endpoint_at(self, address: str) -> bool:
        return any(
            tracked.endpoint.address == address
            for tracked in self._catalogue.endpoints.values()
        )
