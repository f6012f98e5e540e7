"""Roles and authentication of callers of the administration API."""

from __future__ import annotations

import dataclasses
import enum
import hashlib

from poplarwick_configuration import document

BEARER_PREFIX = "Bearer "


class Role(enum.Enum):
    """Role of a caller of the administration API.

    Attributes:
        VIEWER: May read everything. Documents contain digests, never secrets.
        OPERATOR: May read and change everything.
        ORGANISATION_ADMINISTRATOR: May read and change the section of one
            organisation, except its weight and limits.
    """

    VIEWER = "viewer"
    OPERATOR = "operator"
    ORGANISATION_ADMINISTRATOR = "organisation_administrator"


@dataclasses.dataclass(frozen=True, slots=True)
class Operator:
    """A person or program that may use the administration API.

    Attributes:
        name: Name shown in the audit trail.
        role: Role that decides which calls are allowed.
        token_sha256: Hexadecimal SHA-256 digest of the bearer token.
        organisation: Id of the organisation of an organisation administrator.
        certificate_sha256: Hexadecimal SHA-256 digest of the client
            certificate in DER form that is accepted in place of a token.
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
    """Returns the operator that a caller authenticates as, or None.

    The client certificate is used only if there is no `Authorization` header.

    Args:
        operators: Operators in the settings of the instance.
        view: Configuration with the administrators of organisations.
        authorization: Value of the `Authorization` header, or empty.
        certificate: Client certificate in DER form, verified by TLS.
    """
    if not authorization and certificate is not None:
        return _find_by_certificate(operators, certificate)
    if not authorization.startswith(BEARER_PREFIX):
        return None
    token = authorization.removeprefix(BEARER_PREFIX).strip()
    digest = digest_token(token)
    # Comparing digests of random tokens leaks nothing through timing.
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


def _find_by_certificate(
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
    """Returns whether an operator may change the section of an organisation."""
    return may_change(operator) or operator.organisation == organisation


def digest_token(token: str) -> str:
    """Returns the hexadecimal SHA-256 digest of a token."""
    return hashlib.sha256(token.encode()).hexdigest()
