"""Administration API over HTTP."""

from __future__ import annotations

import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable

import msgspec
import result
import uuid6
from aiohttp import web

from poplarwick_administration import access
from poplarwick_administration import messages
from poplarwick_configuration import document
from poplarwick_configuration import follower
from poplarwick_configuration import record
from poplarwick_configuration import store
from poplarwick_core import logs
from poplarwick_platform import kv

MAX_BODY_BYTES = 4_000_000
CHANGE_ID_HEADER = "Idempotency-Key"
EXPECTED_VERSION_HEADER = "If-Match"
JSON = "application/json"

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
FleetReader = Callable[[], tuple[messages.InstanceMessage, ...]]

_OPERATOR = web.RequestKey("operator", access.Operator)


class ApiError(Exception):
    """A call is refused.

    Attributes:
        status: HTTP status.
        body: Body of the refusal.
    """

    def __init__(self, status: int, body: messages.ErrorMessage) -> None:
        super().__init__(body.message)
        self.status = status
        self.body = body


@dataclasses.dataclass(frozen=True, slots=True)
class _Api:
    client: kv.KvClient
    follower: follower.Follower
    instance: str
    environment: str
    operators: tuple[access.Operator, ...]
    read_fleet: FleetReader

    async def put_document(self, request: web.Request) -> web.Response:
        operator = _require(request, access.Role.OPERATOR)
        environment = _read_environment(request)
        change_id = _read_change_id(request)
        try:
            text = (await request.read()).decode()
        except UnicodeDecodeError as error:
            raise _make_bad_request("the body is not UTF-8") from error
        pushed = await store.DocumentStore(self.client, environment).push(
            text,
            author=operator.name,
            change_id=change_id,
            expected_version=_read_expected_version(request),
        )
        logs.log_event(
            "configuration_push",
            environment=environment,
            operator=operator.name,
            change=change_id,
            outcome=_name_outcome(pushed),
        )
        match pushed:
            case result.Ok(accepted):
                return _respond(
                    messages.AcceptedMessage(
                        environment=environment,
                        version=accepted.version,
                        change_id=change_id,
                        was_stored_before=accepted.was_stored_before,
                    )
                )
            case result.Err(refusal):
                raise _make_refusal(refusal)

    async def get_document(self, request: web.Request) -> web.Response:
        _require(request, access.Role.VIEWER)
        environment = _read_environment(request)
        documents = store.DocumentStore(self.client, environment)
        try:
            stored = await documents.load_text(_read_version(request))
        except store.MissingError as error:
            raise _make_error(
                404, messages.ErrorKind.NOT_FOUND, str(error)
            ) from error
        except (store.UnavailableError, record.RecordError) as error:
            raise _make_error(
                503, messages.ErrorKind.NOT_STORED, str(error)
            ) from error
        head = make_version_message(stored.record)
        return _respond(messages.DocumentMessage(head=head, text=stored.text))

    async def get_status(self, request: web.Request) -> web.Response:
        _require(request, access.Role.VIEWER)
        return _respond(
            messages.StatusMessage(
                instance=self.instance,
                environment=self.environment,
                version=self.follower.version,
                instances=self.read_fleet(),
            )
        )

    @web.middleware
    async def authenticate(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        authorization = request.headers.get("Authorization", "")
        operator = access.find_operator(self.operators, authorization)
        if operator is None:
            raise _make_error(
                401,
                messages.ErrorKind.UNAUTHENTICATED,
                "a valid bearer token is needed",
            )
        request[_OPERATOR] = operator
        return await handler(request)


def make_application(
    client: kv.KvClient,
    documents: follower.Follower,
    *,
    instance: str,
    environment: str,
    operators: tuple[access.Operator, ...],
    read_fleet: FleetReader,
) -> web.Application:
    """Returns the administration API of one instance.

    Args:
        client: Client of the key-value service.
        documents: Follower of the instance's own environment.
        instance: Id of the instance.
        environment: Environment that the instance follows.
        operators: Who may use the API.
        read_fleet: Returns what is known about all instances.
    """
    api = _Api(client, documents, instance, environment, operators, read_fleet)
    application = web.Application(
        client_max_size=MAX_BODY_BYTES,
        middlewares=[_turn_errors, api.authenticate],
    )
    path = "/v1/environments/{environment}/document"
    application.router.add_put(path, api.put_document)
    application.router.add_get(path, api.get_document)
    application.router.add_get("/v1/status", api.get_status)
    return application


def make_version_message(
    version_record: record.VersionRecord,
) -> messages.VersionMessage:
    """Returns the API's form of a version's record."""
    return messages.VersionMessage(
        version=version_record.version,
        author=version_record.author,
        change_id=version_record.change_id,
        action=version_record.action.value,
        detail=version_record.detail,
        time_s=version_record.time_s,
        digest=version_record.digest,
    )


@web.middleware
async def _turn_errors(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    try:
        return await handler(request)
    except ApiError as error:
        return _respond(error.body, error.status)


def _respond(body: msgspec.Struct, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body), status=status, content_type=JSON
    )


def _require(request: web.Request, role: access.Role) -> access.Operator:
    operator = request[_OPERATOR]
    if role is access.Role.OPERATOR and operator.role is not role:
        raise _make_error(
            403,
            messages.ErrorKind.FORBIDDEN,
            f"{operator.name} is a {operator.role.value}; "
            f"the call needs the role {role.value}",
        )
    return operator


def _read_environment(request: web.Request) -> str:
    name = request.match_info["environment"]
    return _convert(name, document.Name, "environment")


def _read_change_id(request: web.Request) -> str:
    change_id = request.headers.get(CHANGE_ID_HEADER) or str(uuid6.uuid7())
    return _convert(change_id, document.Name, CHANGE_ID_HEADER)


def _convert(value: str, kind: object, name: str) -> str:
    try:
        return str(msgspec.convert(value, kind))
    except msgspec.ValidationError as error:
        raise _make_bad_request(f"{name}: {error}") from error


def _read_expected_version(request: web.Request) -> int | None:
    value = request.headers.get(EXPECTED_VERSION_HEADER)
    return _parse_version(value.strip('" '), value) if value else None


def _read_version(request: web.Request) -> int | None:
    value = request.query.get("version")
    return _parse_version(value, value) if value else None


def _parse_version(digits: str, shown: str) -> int:
    if not digits.isdecimal() or not digits.isascii():
        raise _make_bad_request(f"version {shown!r} is not a number")
    return int(digits)


def _name_outcome(pushed: store.PushResult) -> str:
    match pushed:
        case result.Ok(accepted):
            return type(accepted).__name__
        case result.Err(refusal):
            return type(refusal).__name__


def _make_bad_request(message: str) -> ApiError:
    return _make_error(400, messages.ErrorKind.BAD_REQUEST, message)


def _make_error(
    status: int, kind: messages.ErrorKind, message: str
) -> ApiError:
    return ApiError(status, messages.ErrorMessage(kind=kind, message=message))


def _make_refusal(refusal: store.Refusal) -> ApiError:
    match refusal:
        case store.Invalid(problems):
            return ApiError(
                422,
                messages.ErrorMessage(
                    kind=messages.ErrorKind.INVALID,
                    message=f"the document has {len(problems)} problem(s)",
                    problems=tuple(
                        messages.ProblemMessage(
                            line=p.line, path=p.path, message=p.message
                        )
                        for p in problems
                    ),
                ),
            )
        case store.Superseded(expected_version, head):
            return ApiError(
                409,
                messages.ErrorMessage(
                    kind=messages.ErrorKind.SUPERSEDED,
                    message=f"version {expected_version} is not the newest",
                    head=make_version_message(head) if head else None,
                ),
            )
        case store.NotStored(reason):
            return _make_error(
                503, messages.ErrorKind.NOT_STORED, f"not stored: {reason}"
            )
        case store.Unresolved(change_id, reason):
            return _make_error(
                503,
                messages.ErrorKind.UNRESOLVED,
                f"change {change_id} may have been stored; "
                f"repeat it under the same id: {reason}",
            )
