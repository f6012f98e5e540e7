"""What the handlers of the caller API share."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import aiohttp
from aiohttp import web

from poplarwick_configuration import document
from poplarwick_core import ids
from poplarwick_dispatch import limits
from poplarwick_entry import claimed_calls
from poplarwick_entry import grants
from poplarwick_entry import request_errors
from poplarwick_entry import retry_budget
from poplarwick_outcomes import lifecycle
from poplarwick_outcomes import verdicts


@dataclasses.dataclass(frozen=True, slots=True)
class EntryContext:
    """Shared parts of the caller API.

    Attributes:
        instance: This instance.
        broker: Obtains grants.
        session: Session for calls to endpoints.
        limiter: Shares of the organisations' fleet-wide limits.
        claimed: Runs calls that may not be repeated.
        retries: Budget of retries of this instance.
        read_view: Returns the configuration in force, or None before the
            first one is known.
        read_readiness: Returns None when this instance serves, else the
            reason why it does not.
        read_refusal: Returns None when this instance may admit requests,
            else the reason why it may not.
    """

    instance: ids.InstanceId
    grant_client: grants.GrantClient
    session: aiohttp.ClientSession
    limiter: limits.Limiter
    claimed_calls: claimed_calls.ClaimedCalls
    read_view: Callable[[], document.View | None]
    read_unready_reason: Callable[[], str | None]
    read_refusal_reason: Callable[[], str | None]
    retry_budget: retry_budget.RetryBudget = dataclasses.field(
        default_factory=retry_budget.RetryBudget
    )

    def require_view(self) -> document.View:
        """Returns the configuration in force.

        Raises:
            request_errors.RequestEndedError: No request is admitted.
        """
        view = self.read_view()
        refusal = self.read_refusal_reason()
        if view is None or refusal is not None:
            raise request_errors.make_refusal(
                verdicts.Reason.NOT_READY,
                refusal or "no configuration is known yet",
                retry_after_s=1.0,
            )
        return view


LIFECYCLE_KEY = web.RequestKey("lifecycle", lifecycle.Lifecycle)
CONTEXT_KEY = web.AppKey("entry_context", EntryContext)


def begin_lifecycle(
    request: web.Request, *, is_idempotent: bool
) -> lifecycle.Lifecycle:
    """Starts the lifecycle of a request that was read and checked."""
    begun = lifecycle.Lifecycle(is_idempotent=is_idempotent)
    begun.admit()
    request[LIFECYCLE_KEY] = begun
    return begun


def find_lifecycle(request: web.Request) -> lifecycle.Lifecycle:
    """Returns the lifecycle, a new one for a request not yet checked."""
    found = request.get(LIFECYCLE_KEY)
    return found or lifecycle.Lifecycle(is_idempotent=False)
