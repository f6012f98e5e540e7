"""Dependencies shared by the handlers of the caller API."""

from __future__ import annotations

import contextlib
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
from poplarwick_entry import response_memory
from poplarwick_entry import retry_budget
from poplarwick_outcomes import lifecycle
from poplarwick_outcomes import verdicts

LimitAnswer = Callable[
    [Callable[[], bool]], contextlib.AbstractAsyncContextManager[None]
]
"""Ends a request with `RequestEndedError` if the instance ends before its
caller has received something; the argument returns whether the caller has."""


def _answer_without_limit(
    has_begun: Callable[[], bool],
) -> contextlib.AbstractAsyncContextManager[None]:
    return contextlib.nullcontext()


@dataclasses.dataclass(frozen=True, slots=True)
class EntryContext:
    """Dependencies of the handlers of the caller API.

    Attributes:
        instance: Id of this instance.
        grant_client: Acquires grants from the dispatchers.
        session: Session for calls to endpoints.
        limiter: Enforces this instance's shares of the organisations' limits.
        claimed_calls: Runs non-idempotent calls at most once.
        read_view: Returns the configuration in force, or None before the
            first one is loaded.
        read_unready_reason: Returns the reason why this instance is not
            ready, or None when it is ready.
        read_refusal_reason: Returns the reason why this instance may not
            admit requests, or None when it may.
        read_stop_reason: Returns the reason why this instance accepts no
            further requests, or None when it does; those that it has accepted
            go on.
        record_running: Is told of each request that has been read whole.
        limit_answer: Limits how long a caller waits for the answer.
        retry_budget: Limits the retries of this instance.
        response_memory: Bounds the memory of responses that are gathered.
    """

    instance: ids.InstanceId
    grant_client: grants.GrantClient
    session: aiohttp.ClientSession
    limiter: limits.Limiter
    claimed_calls: claimed_calls.ClaimedCalls
    read_view: Callable[[], document.View | None]
    read_unready_reason: Callable[[], str | None]
    read_refusal_reason: Callable[[], str | None]
    read_stop_reason: Callable[[], str | None] = lambda: None
    record_running: Callable[[web.Request, ids.RequestId], None] = (
        lambda request, request_id: None
    )
    limit_answer: LimitAnswer = _answer_without_limit
    retry_budget: retry_budget.RetryBudget = dataclasses.field(
        default_factory=retry_budget.RetryBudget
    )
    response_memory: response_memory.ResponseMemory = dataclasses.field(
        default_factory=response_memory.ResponseMemory
    )

    def accept_request(self) -> document.View:
        """Returns the configuration in force for a further request.

        Raises:
            request_errors.RequestEndedError: This instance accepts no further
                requests.
        """
        stop_reason = self.read_stop_reason()
        if stop_reason is not None:
            raise request_errors.make_stop_refusal(stop_reason)
        return self.require_view()

    def require_view(self) -> document.View:
        """Returns the configuration in force.

        Raises:
            request_errors.RequestEndedError: This instance may not admit
                requests.
        """
        view = self.read_view()
        refusal = self.read_refusal_reason()
        if view is None or refusal is not None:
            raise request_errors.make_refusal(
                verdicts.Reason.NOT_READY,
                refusal or "no configuration has been loaded yet",
                retry_after_s=1.0,
            )
        return view


LIFECYCLE_KEY = web.RequestKey("lifecycle", lifecycle.Lifecycle)
HAS_BEGUN_KEY = web.RequestKey("has_begun", bool)
REQUEST_ID_KEY = web.RequestKey("request_id", str)
CONTEXT_KEY = web.AppKey("entry_context", EntryContext)


def begin_lifecycle(
    request: web.Request, request_id: ids.RequestId, *, is_idempotent: bool
) -> lifecycle.Lifecycle:
    """Starts and stores the lifecycle of a validated request."""
    started = lifecycle.Lifecycle(is_idempotent=is_idempotent)
    started.admit()
    request[LIFECYCLE_KEY] = started
    request[REQUEST_ID_KEY] = request_id
    request.app[CONTEXT_KEY].record_running(request, request_id)
    return started


def find_lifecycle(request: web.Request) -> lifecycle.Lifecycle:
    """Returns the lifecycle, or a new one if the request was not validated."""
    found = request.get(LIFECYCLE_KEY)
    return found or lifecycle.Lifecycle(is_idempotent=False)
