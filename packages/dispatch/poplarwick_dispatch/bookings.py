"""Requests that hold a place at an endpoint."""

from __future__ import annotations

import dataclasses
import enum

from poplarwick_core import ids
from poplarwick_dispatch import capacity


class BookingState(enum.Enum):
    """How far a booked request has come.

    Attributes:
        GRANTED: The entry may send it; nothing was reported yet.
        RUNNING: Its first token came.
        CLOSING: It ended, but the endpoint has not confirmed that.
    """

    GRANTED = "granted"
    RUNNING = "running"
    CLOSING = "closing"


@dataclasses.dataclass(slots=True)
class Booking:
    """One place at one endpoint.

    Attributes:
        grant: Identity of the grant.
        stream: Identity of the stream at the endpoint.
        endpoint: Endpoint that holds the place.
        organisation: Organisation that asked.
        entry: Instance that relays the answer.
        cost: Estimated need, all of which is booked.
        granted_at_s: Time of the grant.
        expires_at_s: Time after which the endpoint is asked about it.
        ends_at_s: Time after which the request is cancelled.
        wait_s: Prefill time booked ahead of it when it was granted.
        state: How far it has come.
    """

    grant: ids.GrantId
    stream: ids.StreamId
    endpoint: ids.EndpointId
    organisation: ids.OrganisationId
    entry: ids.InstanceId
    cost: capacity.Cost
    granted_at_s: float
    expires_at_s: float
    ends_at_s: float
    wait_s: float = 0.0
    state: BookingState = BookingState.GRANTED


def make_stream(grant: ids.GrantId, entry: ids.InstanceId) -> ids.StreamId:
    """Returns the stream identity of a grant.

    It names the grant and the entry, so that a later owner of the endpoint
    learns both from the streams that the endpoint lists.
    """
    return ids.StreamId(f"{grant}.{entry}")


def parse_stream(
    stream: str,
) -> tuple[ids.GrantId, ids.InstanceId] | None:
    """Returns grant and entry of a stream, or None for a foreign one."""
    grant, dot, entry = stream.partition(".")
    if not dot or not grant.startswith("gr-"):
        return None
    return ids.GrantId(grant), ids.InstanceId(entry)
