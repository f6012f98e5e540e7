"""Idempotency keys.

A key is a version 7 UUID (RFC 9562), which contains its creation time. This
bounds storage: a key older than the retention period is refused, so its record
can be deleted without the risk that the call runs again.
"""

from __future__ import annotations

import dataclasses
import hashlib
import re
import uuid

import result

from poplarwick_core import ids
from poplarwick_outcomes import verdicts

HEADER = "Idempotency-Key"
SHARD_COUNT = 16
DIGEST_BYTES = 16
MAX_FUTURE_MS = 300_000

_UUID7 = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}",
    re.IGNORECASE,
)
_TIME_SHIFT_BITS = 80


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimKey:
    """Idempotency key of an organisation.

    Attributes:
        digest: Digest of the organisation and the key.
        time_ms: Creation time in the key, in milliseconds since the Unix
            epoch.
    """

    digest: bytes
    time_ms: int

    @property
    def shard(self) -> int:
        """Number of the shard that stores the key."""
        return find_shard(self.digest)


def find_shard(digest: bytes) -> int:
    """Returns the number of the shard that stores a key with this digest."""
    return int.from_bytes(digest[:8]) % SHARD_COUNT


def parse_key(
    value: str | None, organisation: ids.OrganisationId, now_ms: int
) -> result.Result[ClaimKey, verdicts.Refused]:
    """Parses the value of the `Idempotency-Key` header.

    Args:
        value: Value of the header, or None if it is missing.
        organisation: Organisation of the caller; equal keys of different
            organisations are distinct.
        now_ms: Current time in milliseconds since the Unix epoch.

    Returns:
        The key, or the refusal to report to the caller.
    """
    if value is None:
        return result.Err(
            verdicts.Refused(
                verdicts.Reason.KEY_REQUIRED,
                f"this call is not idempotent: send the header {HEADER} with "
                "a version 7 UUID and use the same value in every retry",
                param=HEADER,
            )
        )
    text = value.strip().removeprefix('"').removesuffix('"')
    if _UUID7.fullmatch(text) is None:
        return _refuse_key(f"{HEADER} must be a version 7 UUID")
    key = uuid.UUID(text)
    time_ms = key.int >> _TIME_SHIFT_BITS
    if time_ms > now_ms + MAX_FUTURE_MS:
        return _refuse_key(f"the timestamp in {HEADER} is in the future")
    digest = _hash(organisation.encode(), key.bytes)
    return result.Ok(ClaimKey(digest, time_ms))


def digest_content(*parts: bytes) -> bytes:
    """Returns the digest of a call's content that is stored with its key."""
    return _hash(*parts)


def _refuse_key(
    detail: str,
) -> result.Result[ClaimKey, verdicts.Refused]:
    return result.Err(
        verdicts.Refused(verdicts.Reason.KEY_INVALID, detail, param=HEADER)
    )


def _hash(*parts: bytes) -> bytes:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.digest()
