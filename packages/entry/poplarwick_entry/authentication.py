"""Authentication of callers by API key."""

from __future__ import annotations

import hashlib

from aiohttp import web

from poplarwick_configuration import document
from poplarwick_entry import headers
from poplarwick_entry import request_errors
from poplarwick_outcomes import verdicts

_SCHEME = "bearer"
MAX_KEY_BYTES = 512


def authenticate(
    request: web.BaseRequest, view: document.View
) -> document.Organisation:
    """Returns the organisation that owns the API key of the request.

    Raises:
        request_errors.RequestEndedError: The key is missing, malformed or
            unknown.
    """
    value = request.headers.get(headers.AUTHORIZATION, "")
    scheme, _, key = value.partition(" ")
    key = key.strip()
    if scheme.lower() != _SCHEME or not key or len(key) > MAX_KEY_BYTES:
        raise request_errors.make_refusal(
            verdicts.Reason.UNAUTHENTICATED,
            "the Authorization header must be 'Bearer KEY'",
        )
    digest = hashlib.sha256(key.encode("utf-8", "surrogateescape"))
    organisation = view.find_key_owner(digest.hexdigest())
    if organisation is None:
        raise request_errors.make_refusal(
            verdicts.Reason.UNAUTHENTICATED, "the API key is not valid"
        )
    return organisation
