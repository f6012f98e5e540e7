"""What the handlers of the caller API share."""

from __future__ import annotations

import dataclasses
from typing import Callable

import aiohttp
from aiohttp import web

from poplarwick_configuration import document
from poplarwick_core import ids
from poplarwick_entry import grants
from poplarwick_entry import problems


@dataclasses.dataclass(frozen=True, slots=True)
class EntryContext:
    """Shared parts of the caller API.

    Attributes:
        instance: This instance.
        broker: Obtains grants.
        session: Session for calls to endpoints.
        read_view: Returns the configuration in force, or None before the
            first one is known.
        read_readiness: Returns None when this instance serves, else the
            reason why it does not.
    """

    instance: ids.InstanceId
    broker: grants.GrantBroker
    session: aiohttp.ClientSession
    read_view: Callable[[], document.View | None]
    read_readiness: Callable[[], str | None]

    def require_view(self) -> document.View:
        """Returns the configuration in force.

        Raises:
            problems.Problem: No configuration is known yet.
        """
        view = self.read_view()
        if view is None:
            raise problems.Problem(
                503,
                "not_ready",
                "this instance has no configuration yet",
                retry_after_s=1.0,
            )
        return view


CONTEXT_KEY = web.AppKey("entry_context", EntryContext)
