"""Admission control by the limits of the organisations."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

import result

from poplarwick_configuration import document
from poplarwick_core import ids
from poplarwick_dispatch import limits
from poplarwick_entry import request_errors
from poplarwick_outcomes import verdicts


@contextlib.asynccontextmanager
async def admit(
    limiter: limits.Limiter,
    organisation: document.Organisation,
    tokens: int,
) -> AsyncIterator[None]:
    """Admits a request within the limits of its organisation.

    The request counts as concurrent until the context is left.

    Args:
        limiter: Enforces this instance's shares of the fleet-wide limits.
        organisation: Organisation of the caller.
        tokens: Prompt and output tokens of the request.

    Raises:
        request_errors.RequestEndedError: A limit is reached; the request was
            not run.
    """
    match await limiter.admit(ids.OrganisationId(organisation.id), tokens):
        case result.Ok(permit):
            with permit:
                yield
        case result.Err(exceeded):
            raise request_errors.make_refusal(
                verdicts.Reason.LIMIT,
                f"the organisation has reached its limit {exceeded.limit}",
                retry_after_s=exceeded.retry_after_s,
            )
