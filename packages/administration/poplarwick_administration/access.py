"""Who may use the administration API, and for what."""

from __future__ import annotations

import dataclasses
import enum
import hashlib

BEARER_PREFIX = "Bearer "


class Role(enum.Enum):
    """What a caller of the administration API may do.

    Attributes:
        VIEWER: Read everything; documents hold digests, never secrets.
        OPERATOR: Read and change everything.
    """

    VIEWER = "viewer"
    OPERATOR = "operator"


@dataclasses.dataclass(frozen=True, slots=True)
class Operator:
    """A person or program that may use the administration API.

    Attributes:
        name: Name shown in the audit trail.
        role: What the operator may do.
        token_sha256: Hexadecimal SHA-256 digest of the bearer token.
    """

    name: str
    role: Role
    token_sha256: str


def find_operator(
    operators: tuple[Operator, ...], authorization: str
) -> Operator | None:
    """Returns the operator whose token an `Authorization` header carries."""
    if not authorization.startswith(BEARER_PREFIX):
        return None
    token = authorization.removeprefix(BEARER_PREFIX).strip()
    digest = digest_token(token)
    # Digests of random tokens are compared, so the time taken tells nothing.
    return next((o for o in operators if o.token_sha256 == digest), None)


def digest_token(token: str) -> str:
    """Returns the hexadecimal SHA-256 digest that a token is known by."""
    return hashlib.sha256(token.encode()).hexdigest()
