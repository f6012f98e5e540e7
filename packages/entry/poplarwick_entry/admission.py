"""Holds requests to the limits of their organisations."""

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
    """Holds a place within the organisation's limits.

    Args:
        limiter: Shares of the fleet-wide limits.
        organisation: Organisation that the caller belongs to.
        tokens: Prompt and output tokens of the request.

    Raises:
        request_errors.RequestEndedError: A limit is reached; nothing ran.
    """
    match await limiter.admit(ids.OrganisationId(organisation.id), tokens):
        case result.Ok(permit):
            with permit:
                yield
        case result.Err(exceeded):
            raise request_errors.make_refusal(
                verdicts.Reason.LIMIT,
                f"the organisation's limit {exceeded.limit} is reached",
                retry_after_s=exceeded.retry_after_s,
            )
