"""Allocations of endpoint resources to requests."""

from __future__ import annotations

import dataclasses
import enum

from poplarwick_core import ids
from poplarwick_dispatch import capacity


class AllocationState(enum.Enum):
    """Progress of a request that holds an allocation.

    Attributes:
        GRANTED: The entry may send the request; no report has arrived yet.
        RUNNING: The first token has arrived.
        CLOSING: The request has ended, but the endpoint has not confirmed it.
    """

    GRANTED = "granted"
    RUNNING = "running"
    CLOSING = "closing"


@dataclasses.dataclass(slots=True)
class Allocation:
    """Resources of one endpoint that are allocated to one request.

    All times are on the monotonic clock.

    Attributes:
        grant: Grant id.
        stream: Stream id at the endpoint.
        endpoint: Endpoint that the resources belong to.
        organisation: Organisation of the request.
        entry: Instance that relays the response.
        cost: Estimated cost, all of which is allocated.
        granted_at_s: Time of the grant.
        expires_at_s: Time after which the monitor checks the stream at the
            endpoint.
        cancel_at_s: Time after which the monitor cancels the request.
        prefill_ahead_s: Prefill time that was pending ahead of the request
            when it was granted.
        state: Progress of the request.
    """

    grant: ids.GrantId
    stream: ids.StreamId
    endpoint: ids.EndpointId
    organisation: ids.OrganisationId
    entry: ids.InstanceId
    cost: capacity.Cost
    granted_at_s: float
    expires_at_s: float
    cancel_at_s: float
    prefill_ahead_s: float = 0.0
    state: AllocationState = AllocationState.GRANTED


def make_stream_id(grant: ids.GrantId, entry: ids.InstanceId) -> ids.StreamId:
    """Returns the stream id of a grant.

    The id contains the grant and the entry instance, so that a later owner of
    the endpoint can recover both from the streams that the endpoint lists.
    """
    return ids.StreamId(f"{grant}.{entry}")


def parse_stream_id(
    stream: str,
) -> tuple[ids.GrantId, ids.InstanceId] | None:
    """Returns grant and entry, or None for a stream of another client."""
    grant, dot, entry = stream.partition(".")
    if not dot or not grant.startswith("gr-"):
        return None
    return ids.GrantId(grant), ids.InstanceId(entry)
