"""OpenAPI description of the administration API."""

from __future__ import annotations

import dataclasses
import json
import re
from typing import Any

import msgspec
from aiohttp import web

from poplarwick_administration import _requests
from poplarwick_administration import messages

OPENAPI_VERSION = "3.1.0"
API_VERSION = "1"

_PATH_FIELD = re.compile(r"\{(\w+)\}")
_SCHEMA_REFERENCE = "#/components/schemas/{name}"


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """One operation of the API.

    Attributes:
        method: HTTP method.
        path: Path with fields in braces.
        operation_id: Unique id of the operation.
        summary: Short description.
        response: Message in the body of a response with status 200.
        request_body: Message in the body of the request, `str` for text, or
            None for no body.
        query: Names of query parameters.
        headers: Names of request headers.
        extra_responses: Further statuses with the messages in their bodies.
    """

    method: str
    path: str
    operation_id: str
    summary: str
    response: type[Any] | None = None
    request_body: type[Any] | None = None
    query: tuple[str, ...] = ()
    headers: tuple[str, ...] = ()
    extra_responses: tuple[tuple[int, type[Any]], ...] = ()


_ENVIRONMENT_PATH = "/v1/environments/{environment}"
_ORGANISATION_PATH = _ENVIRONMENT_PATH + "/organisations/{organisation}"
_CHANGE_HEADERS = (_requests.CHANGE_ID_HEADER,)
_VERSIONED_CHANGE_HEADERS = (
    *_CHANGE_HEADERS,
    _requests.EXPECTED_VERSION_HEADER,
)

OPERATIONS = (
    Operation(
        "PUT",
        _ENVIRONMENT_PATH + "/document",
        "put_document",
        "Stores a new version of the document.",
        messages.AcceptedMessage,
        str,
        headers=_VERSIONED_CHANGE_HEADERS,
    ),
    Operation(
        "GET",
        _ENVIRONMENT_PATH + "/document",
        "get_document",
        "Returns a version of the document with its comments.",
        messages.DocumentMessage,
        query=("version",),
    ),
    Operation(
        "POST",
        _ENVIRONMENT_PATH + "/rollbacks",
        "roll_back",
        "Creates a new version with the text of an earlier one.",
        messages.AcceptedMessage,
        messages.RollbackRequest,
        headers=_CHANGE_HEADERS,
    ),
    Operation(
        "POST",
        _ENVIRONMENT_PATH + "/promotions",
        "promote",
        "Copies the promoted sections of another environment.",
        messages.AcceptedMessage,
        messages.PromotionRequest,
        headers=_CHANGE_HEADERS,
    ),
    Operation(
        "POST",
        _ENVIRONMENT_PATH + "/promotions/preview",
        "preview_promotion",
        "Returns the changes that a promotion would make.",
        messages.PreviewMessage,
        messages.PromotionRequest,
    ),
    Operation(
        "GET",
        _ENVIRONMENT_PATH + "/audit",
        "get_audit",
        "Returns accepted and refused changes.",
        messages.AuditMessage,
        query=(
            "author",
            "action",
            "result",
            "change_id",
            "since_s",
            "until_s",
            "limit",
        ),
    ),
    Operation(
        "GET",
        _ORGANISATION_PATH,
        "get_section",
        "Returns the section of an organisation with its comments.",
        messages.SectionMessage,
    ),
    Operation(
        "PUT",
        _ORGANISATION_PATH,
        "put_section",
        "Replaces the section of an organisation.",
        messages.AcceptedMessage,
        str,
        headers=_CHANGE_HEADERS,
    ),
    Operation(
        "POST",
        _ORGANISATION_PATH + "/keys",
        "issue_key",
        "Issues a caller key and returns its secret, which is shown only once.",
        messages.KeyMessage,
        messages.KeyRequest,
        headers=_CHANGE_HEADERS,
    ),
    Operation(
        "DELETE",
        _ORGANISATION_PATH + "/keys/{key}",
        "revoke_key",
        "Revokes a caller key.",
        messages.AcceptedMessage,
        headers=_CHANGE_HEADERS,
    ),
    Operation(
        "PUT",
        _ENVIRONMENT_PATH + "/out/{kind}/{name}",
        "take_out",
        "Takes a domain, instance or endpoint out of service.",
        messages.AcceptedMessage,
        query=("force",),
        headers=_CHANGE_HEADERS,
        extra_responses=((202, messages.HeldMessage),),
    ),
    Operation(
        "DELETE",
        _ENVIRONMENT_PATH + "/out/{kind}/{name}",
        "put_in",
        "Puts a domain, instance or endpoint back into service.",
        messages.AcceptedMessage,
        headers=_CHANGE_HEADERS,
    ),
    Operation(
        "GET",
        "/v1/status",
        "get_status",
        "Returns the state of the fleet as seen by the responding instance.",
        messages.StatusMessage,
    ),
    Operation(
        "GET",
        "/v1/openapi.json",
        "get_description",
        "Returns this description.",
    ),
)


def make_description() -> dict[str, Any]:
    """Returns the OpenAPI description as a JSON object."""
    types = [messages.ErrorMessage]
    for operation in OPERATIONS:
        types += [
            t
            for t in (operation.response, operation.request_body)
            if t not in (None, str)
        ]
        types += [message_type for _, message_type in operation.extra_responses]
    schemas, components = msgspec.json.schema_components(
        types, ref_template=_SCHEMA_REFERENCE
    )
    schema_by_type = dict(zip(types, schemas, strict=True))
    paths: dict[str, Any] = {}
    for operation in OPERATIONS:
        described = _describe_operation(operation, schema_by_type)
        paths.setdefault(operation.path, {})[operation.method.lower()] = (
            described
        )
    return {
        "openapi": OPENAPI_VERSION,
        "info": {
            "title": "Poplarwick administration API",
            "version": API_VERSION,
        },
        "security": [{"token": []}],
        "paths": paths,
        "components": {
            "schemas": components,
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
        },
    }


def encode_description() -> str:
    """Returns the OpenAPI description as indented JSON text."""
    text = json.dumps(make_description(), indent=2, sort_keys=True)
    # JSON schemas use ECMAScript regular expressions, which have no "\Z" and
    # in which "$" matches only at the end.
    return text.replace(r"\\Z", "$") + "\n"


async def get_description(request: web.Request) -> web.Response:
    """Responds with the OpenAPI description."""
    return web.Response(
        text=encode_description(), content_type="application/json"
    )


def _describe_operation(
    operation: Operation, schema_by_type: dict[Any, Any]
) -> dict[str, Any]:
    response_schema = schema_by_type.get(operation.response, {"type": "object"})
    described: dict[str, Any] = {
        "operationId": operation.operation_id,
        "summary": operation.summary,
        "parameters": _describe_parameters(operation),
        "responses": {
            "200": _describe_body("The call succeeded.", response_schema),
            "default": _describe_body(
                "The call was refused.", schema_by_type[messages.ErrorMessage]
            ),
        },
    }
    for status, message_type in operation.extra_responses:
        described["responses"][str(status)] = _describe_body(
            "In force, not yet stored.", schema_by_type[message_type]
        )
    if operation.request_body is str:
        content = {"text/plain": {"schema": {"type": "string"}}}
        described["requestBody"] = {"required": True, "content": content}
    elif operation.request_body is not None:
        content = {
            "application/json": {
                "schema": schema_by_type[operation.request_body]
            }
        }
        described["requestBody"] = {"required": True, "content": content}
    return described


def _describe_parameters(operation: Operation) -> list[dict[str, Any]]:
    names_by_location = {
        "path": _PATH_FIELD.findall(operation.path),
        "query": operation.query,
        "header": operation.headers,
    }
    return [
        {
            "name": name,
            "in": location,
            "required": location == "path",
            "schema": {"type": "string"},
        }
        for location, names in names_by_location.items()
        for name in names
    ]


def _describe_body(description: str, schema: Any) -> dict[str, Any]:
    content = {"application/json": {"schema": schema}}
    return {"description": description, "content": content}
