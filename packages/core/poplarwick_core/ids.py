"""Identifier types shared by every package."""

from __future__ import annotations

import secrets
from typing import NewType

InstanceId = NewType("InstanceId", str)
"""A running instance of the serving layer."""

EndpointId = NewType("EndpointId", str)
"""A replica of a model engine or of a plain service."""

OrganisationId = NewType("OrganisationId", str)
"""A customer of the shared platform."""

DomainId = NewType("DomainId", str)
"""A failure domain."""

RegionId = NewType("RegionId", str)
"""A geographic region with one or more failure domains."""

ModelId = NewType("ModelId", str)
"""A model that callers name in their requests."""

ServiceId = NewType("ServiceId", str)
"""A plain HTTP service routed alongside the model engines."""

RequestId = NewType("RequestId", str)
"""A caller's request, as shown in headers and logs."""

PromptPartId = NewType("PromptPartId", str)
"""Id of a part of a prompt; prompts that begin alike share parts."""

RequestFingerprint = NewType("RequestFingerprint", str)
"""Digest that is the same for all copies of one request."""

StreamId = NewType("StreamId", str)
"""A generation stream at an engine."""

GrantId = NewType("GrantId", str)
"""Permission to send one request to one endpoint."""

Epoch = NewType("Epoch", int)
"""Fencing token of a tenure; later tenures have higher numbers."""

ID_BYTES = 12


def make_request_id() -> RequestId:
    """Returns a new random request id."""
    return RequestId("req-" + secrets.token_hex(ID_BYTES))


def make_stream_id() -> StreamId:
    """Returns a new random stream id."""
    return StreamId("str-" + secrets.token_hex(ID_BYTES))


def make_grant_id() -> GrantId:
    """Returns a new random grant id."""
    return GrantId("gr-" + secrets.token_hex(ID_BYTES))
