"""Who may use the administration API, and for what."""

from __future__ import annotations

import dataclasses
import enum
import hashlib

from poplarwick_configuration import document

BEARER_PREFIX = "Bearer "


class Role(enum.Enum):
    """What a caller of the administration API may do.

    Attributes:
        VIEWER: Read everything; documents hold digests, never secrets.
        OPERATOR: Read and change everything.
        ORGANISATION_ADMINISTRATOR: Read and change the section of one
            organisation, but not its weight and limits.
    """

    VIEWER = "viewer"
    OPERATOR = "operator"
    ORGANISATION_ADMINISTRATOR = "organisation_administrator"


@dataclasses.dataclass(frozen=True, slots=True)
class Operator:
    """A person or program that may use the administration API.

    Attributes:
        name: Name shown in the audit trail.
        role: What the operator may do.
        token_sha256: Hexadecimal SHA-256 digest of the bearer token.
        organisation: The organisation of an organisation administrator.
        certificate_sha256: Hexadecimal SHA-256 digest of the certificate in
            DER form that stands for the token.
    """

    name: str
    role: Role
    token_sha256: str | None = None
    organisation: str | None = None
    certificate_sha256: str | None = None


def find_operator(
    operators: tuple[Operator, ...],
    view: document.View | None,
    authorization: str,
    certificate: bytes | None = None,
) -> Operator | None:
    """Returns whose token an `Authorization` header carries.

    Without the header the certificate decides.

    Args:
        operators: Operators named in the instance's settings.
        view: Document with the organisations' administrators.
        authorization: Value of the header.
        certificate: Certificate in DER form that the caller proved to hold.
    """
    if not authorization and certificate is not None:
        return _find_holder(operators, certificate)
    if not authorization.startswith(BEARER_PREFIX):
        return None
    token = authorization.removeprefix(BEARER_PREFIX).strip()
    digest = digest_token(token)
    # Digests of random tokens are compared, so the time taken tells nothing.
    for operator in operators:
        if operator.token_sha256 == digest:
            return operator
    found = view.find_administrator(digest) if view is not None else None
    if found is None:
        return None
    key, organisation = found
    return Operator(
        f"{organisation.id}/{key.id}",
        Role.ORGANISATION_ADMINISTRATOR,
        digest,
        organisation.id,
    )


def _find_holder(
    operators: tuple[Operator, ...], certificate: bytes
) -> Operator | None:
    digest = hashlib.sha256(certificate).hexdigest()
    for operator in operators:
        if operator.certificate_sha256 == digest:
            return operator
    return None


def may_view(operator: Operator) -> bool:
    """Returns whether an operator may read everything."""
    return operator.role in (Role.VIEWER, Role.OPERATOR)


def may_change(operator: Operator) -> bool:
    """Returns whether an operator may change everything."""
    return operator.role is Role.OPERATOR


def may_manage(operator: Operator, organisation: str) -> bool:
    """Returns whether an operator may change an organisation's section."""
    return may_change(operator) or operator.organisation == organisation


def digest_token(token: str) -> str:
    """Returns the hexadecimal SHA-256 digest that a token is known by."""
    return hashlib.sha256(token.encode()).hexdigest()
