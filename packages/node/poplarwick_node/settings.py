"""Settings of one instance."""

from __future__ import annotations

import pathlib
from typing import Annotated

import msgspec

from poplarwick_core import jsonc
from poplarwick_core import tls

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}\Z")]
Address = Annotated[str, msgspec.Meta(pattern=r"^[^/@?#\s]+:\d{1,5}\Z")]
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}\Z")]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=3_600)]


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of all sections of the settings."""


class Listen(_Section, frozen=True):
    """Listen addresses, each a host and port.

    Attributes:
        callers: HTTP for callers.
        peers: gRPC for other instances.
        administration: HTTP for operators.
    """

    callers: Address
    peers: Address
    administration: Address


class Tls(_Section, frozen=True):
    """Certificate files, reloaded when they change.

    Attributes:
        certificate: Certificate chain in PEM form.
        key: Private key in PEM form.
        authority: Trusted CA certificates for peers, in PEM form.
    """

    certificate: str
    key: str
    authority: str


class Administrator(_Section, frozen=True):
    """An operator who may use the administration API.

    Attributes:
        name: Name shown in the audit trail.
        role: Permissions of the operator: `viewer` or `operator`.
        token_sha256: Hexadecimal SHA-256 digest of the operator's token.
        certificate_sha256: Hexadecimal SHA-256 digest of the operator's
            certificate in DER form. At least one of the two digests is set.
    """

    name: Name
    role: Annotated[str, msgspec.Meta(pattern=r"^(viewer|operator)\Z")]
    token_sha256: Digest | None = None
    certificate_sha256: Digest | None = None

    def __post_init__(self) -> None:
        """Checks that the operator can be authenticated.

        Raises:
            ValueError: Neither digest is set.
        """
        if self.token_sha256 is None and self.certificate_sha256 is None:
            raise ValueError(
                "found neither token_sha256 nor certificate_sha256; at least "
                "one of them is required"
            )


class Timing(_Section, frozen=True):
    """Periods of the control protocols.

    Attributes:
        lease_ttl_s: Time to live of the instance's lease.
        heartbeat_s: Period of heartbeats between instances.
        balancer_delay_s: Time from turning readiness off until the load
            balancer has stopped sending new requests.
        grace_s: Time from the stop signal until the platform kills the
            process; None if it waits until all requests have ended.
    """

    lease_ttl_s: Annotated[int, msgspec.Meta(ge=2, le=60)] = 10
    heartbeat_s: Seconds = 0.5
    balancer_delay_s: Annotated[float, msgspec.Meta(ge=0, le=300)] = 2.0
    grace_s: Annotated[float, msgspec.Meta(ge=1, le=3_600)] | None = None


class Log(_Section, frozen=True):
    """Settings of the log.

    Attributes:
        level: Minimum severity of the events that are written.
    """

    level: Annotated[
        str, msgspec.Meta(pattern=r"^(DEBUG|INFO|WARNING|ERROR)\Z")
    ] = "INFO"


class Settings(_Section, frozen=True, kw_only=True):
    """All settings of one instance.

    Attributes:
        instance: Unique id of the instance.
        environment: Environment whose configuration the instance uses.
        domain: Failure domain of the instance.
        region: Region of the instance.
        listen: Addresses that the instance listens on.
        key_value: Addresses of the platform's key-value service.
        instance_list: Address of the platform's list of instances.
        weight_store: Address of the platform's weight store.
        caller_tls: Certificate files for callers; None means plain HTTP.
        peer_tls: Certificate files for other instances; None means no TLS.
        administrators: Operators who may use the administration API.
        timing: Periods of the control protocols.
        log: Logging.
    """

    instance: Name
    environment: Name
    domain: Name
    region: Name
    listen: Listen
    key_value: Annotated[tuple[Address, ...], msgspec.Meta(min_length=1)]
    instance_list: Address
    weight_store: Address | None = None
    caller_tls: Tls | None = None
    peer_tls: Tls | None = None
    administrators: tuple[Administrator, ...] = ()
    timing: Timing = Timing()
    log: Log = Log()


def make_certificate_files(section: Tls) -> tls.CertificateFiles:
    """Returns the certificate paths of a TLS section."""
    return tls.CertificateFiles(
        certificate=pathlib.Path(section.certificate),
        key=pathlib.Path(section.key),
        authority=pathlib.Path(section.authority),
    )


def read_settings(path: pathlib.Path) -> Settings:
    """Reads and validates a settings file.

    Raises:
        errors.DocumentError: The file cannot be read or is not valid.
    """
    return jsonc.read_file(path, Settings)
