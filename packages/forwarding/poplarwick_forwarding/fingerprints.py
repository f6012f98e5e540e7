"""Recognises a request that callers send again.

Path, caller and body make the request; its id and its other headers differ each
time that it is sent.
"""

from __future__ import annotations

import hashlib
from typing import Self

from poplarwick_core import ids

DIGEST_BYTES = 12
"""Length of a fingerprint; a collision is out of reach for callers."""

_SEPARATOR = b"\0"
"""Occurs neither in a host nor in a path."""


class BodyDigest:
    """Digest of a body, calculated as it arrives."""

    def __init__(self) -> None:
        self._hash = hashlib.blake2b()

    def add(self, chunk: bytes) -> Self:
        """Adds the next bytes of the body."""
        self._hash.update(chunk)
        return self

    def make_fingerprint(
        self,
        organisation: ids.OrganisationId | None,
        host: str,
        method: str,
        target: str,
    ) -> ids.RequestFingerprint:
        """Returns the fingerprint of the request with this body.

        The organisation is the key, so that no other organisation can make a
        request with the same fingerprint.

        Args:
            organisation: Organisation of the caller; None if there is none.
            host: Host that the caller named.
            method: HTTP method.
            target: Path and query as received.
        """
        key = hashlib.blake2b((organisation or "").encode()).digest()
        text = _SEPARATOR.join(
            part.encode() for part in (host.lower(), method, target)
        )
        digest = hashlib.blake2b(
            text + _SEPARATOR + self._hash.digest(),
            digest_size=DIGEST_BYTES,
            key=key,
        )
        return ids.RequestFingerprint(digest.hexdigest())
