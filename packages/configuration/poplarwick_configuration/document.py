"""Data model of the document that configures one environment."""

from __future__ import annotations

from typing import Annotated

import msgspec

from poplarwick_core import clock
from poplarwick_core import ids

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}\Z")]
Positive = Annotated[int, msgspec.Meta(gt=0, le=1_000_000_000_000)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86_400)]
Share = Annotated[float, msgspec.Meta(gt=0, le=1)]


class _Section(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, gc=False
):
    """Base class of the document and its sections.

    Documents contain no reference cycles, so their objects are not tracked by
    the garbage collector.
    """


class Limits(_Section, frozen=True):
    """Limits of one organisation across the whole fleet.

    Attributes:
        max_concurrent: Maximum number of concurrent requests.
        requests_per_s: Maximum sustained request rate.
        tokens_per_s: Maximum sustained rate of prompt and output tokens.
    """

    max_concurrent: Positive = 1_000
    requests_per_s: Positive = 1_000
    tokens_per_s: Positive = 10_000_000


class ApiKey(_Section, frozen=True):
    """API key of a caller or token of an administrator.

    Only the digest of the secret is stored.

    Attributes:
        id: Name of the key in logs and audit entries.
        sha256: Hexadecimal SHA-256 digest of the secret.
        revoked: Whether the key has been revoked and is rejected.
        expires_s: Expiry time in seconds since the Unix epoch; None if the
            key does not expire.
    """

    id: Name
    sha256: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}\Z")]
    revoked: bool = False
    expires_s: Annotated[float, msgspec.Meta(gt=0, le=1e12)] | None = None


class Organisation(_Section, frozen=True):
    """A customer of the platform.

    Attributes:
        id: Unique id.
        keys: API keys of callers.
        weight: Weight in fair sharing of the fleet between organisations.
        limits: Limits across the whole fleet.
        administrators: Tokens of the administrators of the organisation.
    """

    id: Name
    keys: tuple[ApiKey, ...]
    weight: Positive = 1
    limits: Limits = Limits()
    administrators: tuple[ApiKey, ...] = ()


class ColdStart(_Section, frozen=True):
    """Reduced capacity of an endpoint during a cold start.

    Attributes:
        concurrent: Maximum number of concurrent requests while cold.
        tokens: Maximum number of prompt tokens in progress while cold.
    """

    concurrent: Positive = 2
    tokens: Positive = 16_384


class Model(_Section, frozen=True):
    """A model that callers can request.

    Attributes:
        id: Unique id.
        context_tokens: Maximum length of prompt plus output.
        memory_tokens: KV-cache capacity of one engine, in tokens.
        prefill_tokens_per_s: Prefill rate of one warm engine.
        decode_tokens_per_s: Decode rate per stream.
        max_batch: Maximum batch size of one warm engine, in streams.
        cold_start: Capacity of a cold engine.
        timeout_s: Default request timeout.
        max_timeout_s: Maximum timeout that a caller may set.
        spreads_prompts: Whether one prompt may be split across several engines.
    """

    id: Name
    context_tokens: Positive
    memory_tokens: Positive
    prefill_tokens_per_s: Positive = 20_000
    decode_tokens_per_s: Positive = 50
    max_batch: Positive = 64
    cold_start: ColdStart = ColdStart()
    timeout_s: Seconds = 120.0
    max_timeout_s: Seconds = 3_600.0
    spreads_prompts: bool = False


class Route(_Section, frozen=True):
    """A group of paths of a plain service.

    Attributes:
        path: Path prefix, relative to the base path of the service.
        methods: Allowed HTTP methods.
        idempotent: Whether a call can be retried safely.
    """

    path: Annotated[str, msgspec.Meta(pattern=r"^/[^?#\s]*\Z")]
    methods: tuple[str, ...] = ("GET",)
    idempotent: bool = True


class Service(_Section, frozen=True):
    """A plain service routed under `/services/<id>`.

    Attributes:
        id: Unique id.
        routes: Allowed paths; the longest matching prefix applies.
        max_concurrent: Maximum number of concurrent requests per warm
            endpoint.
        cold_start: Capacity of a cold endpoint.
        timeout_s: Request timeout.
    """

    id: Name
    routes: tuple[Route, ...]
    max_concurrent: Positive = 32
    cold_start: ColdStart = ColdStart()
    timeout_s: Seconds = 30.0


class Domain(_Section, frozen=True):
    """A failure domain.

    Attributes:
        id: Unique id.
        region: Region that contains the domain.
        in_service: Whether its endpoints receive new requests.
    """

    id: Name
    region: Name
    in_service: bool = True


class Endpoint(_Section, frozen=True):
    """One replica of a model engine or a plain service.

    Attributes:
        id: Unique id.
        address: Host and port.
        domain: Failure domain that contains the endpoint.
        model: Model served, for engines.
        service: Service served, for plain services.
        checks_epochs: Whether it rejects commands with an outdated fencing
            token.
        in_service: Whether the endpoint receives new requests.
    """

    id: Name
    address: Annotated[str, msgspec.Meta(pattern=r"^[^/@?#\s]+:\d{1,5}\Z")]
    domain: Name
    model: Name | None = None
    service: Name | None = None
    checks_epochs: bool = False
    in_service: bool = True


def is_current(key: ApiKey) -> bool:
    """Returns whether a key is neither revoked nor expired."""
    if key.revoked:
        return False
    return key.expires_s is None or clock.wall_time_s() < key.expires_s


class Document(_Section, frozen=True, kw_only=True):
    """The complete configuration of one environment.

    Attributes:
        environment: Name of the environment, for example `production`.
        organisations: Customers.
        models: Models.
        services: Plain services.
        domains: Failure domains.
        endpoints: Replicas of engines and plain services.
        instances_out: Instances that operators have taken out of service.
    """

    environment: Name
    organisations: tuple[Organisation, ...]
    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()
    domains: tuple[Domain, ...]
    endpoints: tuple[Endpoint, ...]
    instances_out: tuple[str, ...] = ()


def encode_schema() -> str:
    """Returns the JSON schema of `Document` as indented text."""
    schema = msgspec.json.encode(msgspec.json.schema(Document))
    # JSON schemas use ECMAScript regular expressions, which have no "\Z" and
    # in which "$" matches only at the end.
    schema = schema.replace(rb"\\Z", b"$")
    return msgspec.json.format(schema).decode()


class View:
    """Read-only, indexed view of one version of a document.

    Attributes:
        version: Version number; increases with each accepted change.
        document: The document.
    """

    def __init__(self, version: int, document: Document) -> None:
        self.version = version
        self.document = document
        self._organisations = {o.id: o for o in document.organisations}
        self._models = {m.id: m for m in document.models}
        self._services = {s.id: s for s in document.services}
        self._domains = {d.id: d for d in document.domains}
        self._endpoints = {e.id: e for e in document.endpoints}
        self._keys = {
            key.sha256: (key, organisation)
            for organisation in document.organisations
            for key in organisation.keys
            if not key.revoked
        }
        self._administrators = {
            key.sha256: (key, organisation)
            for organisation in document.organisations
            for key in organisation.administrators
            if not key.revoked
        }

    def find_organisation(
        self, organisation: ids.OrganisationId
    ) -> Organisation | None:
        """Returns the organisation, or None if it is unknown."""
        return self._organisations.get(organisation)

    def find_key_owner(self, sha256: str) -> Organisation | None:
        """Returns the organisation of a valid key, or None.

        Args:
            sha256: Hexadecimal SHA-256 digest of the key.
        """
        found = self._keys.get(sha256)
        return found[1] if found and is_current(found[0]) else None

    def find_administrator(
        self, sha256: str
    ) -> tuple[ApiKey, Organisation] | None:
        """Returns the token and organisation of an administrator, or None.

        Args:
            sha256: Hexadecimal SHA-256 digest of the token.
        """
        found = self._administrators.get(sha256)
        return found if found and is_current(found[0]) else None

    def find_model(self, model: ids.ModelId) -> Model | None:
        """Returns the model, or None if it is unknown."""
        return self._models.get(model)

    def find_service(self, service: ids.ServiceId) -> Service | None:
        """Returns the plain service, or None if it is unknown."""
        return self._services.get(service)

    def find_domain(self, domain: ids.DomainId) -> Domain | None:
        """Returns the failure domain, or None if it is unknown."""
        return self._domains.get(domain)

    def find_endpoint(self, endpoint: ids.EndpointId) -> Endpoint | None:
        """Returns the endpoint, or None if it is unknown."""
        return self._endpoints.get(endpoint)

    def is_in_service(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint and its domain are in service."""
        domain = self._domains.get(endpoint.domain)
        return endpoint.in_service and domain is not None and domain.in_service
