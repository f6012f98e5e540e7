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
_SCHEMAS = "#/components/schemas/{name}"


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One call of the API.

    Attributes:
        method: HTTP method.
        path: Path with fields in braces.
        operation: Name of the call.
        summary: What it does.
        answer: Message in the answer.
        request: Message in the body, `str` for text, or None for no body.
        query: Names of fields in the query.
        headers: Names of request headers.
        answers: Messages in answers by further status.
    """

    method: str
    path: str
    operation: str
    summary: str
    answer: type[Any] | None = None
    request: type[Any] | None = None
    query: tuple[str, ...] = ()
    headers: tuple[str, ...] = ()
    answers: tuple[tuple[int, type[Any]], ...] = ()


_ENVIRONMENT = "/v1/environments/{environment}"
_ORGANISATION = _ENVIRONMENT + "/organisations/{organisation}"
_CHANGE = (_requests.CHANGE_ID_HEADER,)
_BASED_CHANGE = (*_CHANGE, _requests.EXPECTED_VERSION_HEADER)

CALLS = (
    Call(
        "PUT",
        _ENVIRONMENT + "/document",
        "put_document",
        "Stores a new version of the document.",
        messages.AcceptedMessage,
        str,
        headers=_BASED_CHANGE,
    ),
    Call(
        "GET",
        _ENVIRONMENT + "/document",
        "get_document",
        "Returns a version of the document as written.",
        messages.DocumentMessage,
        query=("version",),
    ),
    Call(
        "POST",
        _ENVIRONMENT + "/rollbacks",
        "roll_back",
        "Makes a new version with the text of an old one.",
        messages.AcceptedMessage,
        messages.RollbackRequest,
        headers=_CHANGE,
    ),
    Call(
        "POST",
        _ENVIRONMENT + "/promotions",
        "promote",
        "Takes over the promoted parts of another environment.",
        messages.AcceptedMessage,
        messages.PromotionRequest,
        headers=_CHANGE,
    ),
    Call(
        "POST",
        _ENVIRONMENT + "/promotions/preview",
        "preview_promotion",
        "Returns what a promotion would change.",
        messages.PreviewMessage,
        messages.PromotionRequest,
    ),
    Call(
        "GET",
        _ENVIRONMENT + "/audit",
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
    Call(
        "GET",
        _ORGANISATION,
        "get_section",
        "Returns the section of an organisation as written.",
        messages.SectionMessage,
    ),
    Call(
        "PUT",
        _ORGANISATION,
        "put_section",
        "Replaces the section of an organisation.",
        messages.AcceptedMessage,
        str,
        headers=_CHANGE,
    ),
    Call(
        "POST",
        _ORGANISATION + "/keys",
        "issue_key",
        "Issues a caller key and returns its secret, once.",
        messages.KeyMessage,
        messages.KeyRequest,
        headers=_CHANGE,
    ),
    Call(
        "DELETE",
        _ORGANISATION + "/keys/{key}",
        "revoke_key",
        "Revokes a caller key.",
        messages.AcceptedMessage,
        headers=_CHANGE,
    ),
    Call(
        "PUT",
        _ENVIRONMENT + "/out/{kind}/{name}",
        "take_out",
        "Takes a domain, instance or endpoint out of service.",
        messages.AcceptedMessage,
        query=("force",),
        headers=_CHANGE,
        answers=((202, messages.HeldMessage),),
    ),
    Call(
        "DELETE",
        _ENVIRONMENT + "/out/{kind}/{name}",
        "put_in",
        "Puts a domain, instance or endpoint back into service.",
        messages.AcceptedMessage,
        headers=_CHANGE,
    ),
    Call(
        "GET",
        "/v1/status",
        "get_status",
        "Returns the state of the fleet as seen by the answering instance.",
        messages.StatusMessage,
    ),
    Call(
        "GET",
        "/v1/openapi.json",
        "get_description",
        "Returns this description.",
    ),
)


def make_description() -> dict[str, Any]:
    """Returns the description as a JSON object."""
    kinds = [messages.ErrorMessage]
    for call in CALLS:
        kinds += [
            k for k in (call.answer, call.request) if k not in (None, str)
        ]
        kinds += [kind for _, kind in call.answers]
    schemas, components = msgspec.json.schema_components(
        kinds, ref_template=_SCHEMAS
    )
    by_kind = dict(zip(kinds, schemas, strict=True))
    paths: dict[str, Any] = {}
    for call in CALLS:
        operation = _describe_call(call, by_kind)
        paths.setdefault(call.path, {})[call.method.lower()] = operation
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
    """Returns the description as indented JSON text."""
    text = json.dumps(make_description(), indent=2, sort_keys=True)
    # JSON schemas are read with ECMAScript's expressions, where "$" is the end.
    return text.replace(r"\\Z", "$") + "\n"


async def get_description(request: web.Request) -> web.Response:
    """Serves the description."""
    return web.Response(
        text=encode_description(), content_type="application/json"
    )


def _describe_call(call: Call, by_kind: dict[Any, Any]) -> dict[str, Any]:
    answer = by_kind.get(call.answer, {"type": "object"})
    described: dict[str, Any] = {
        "operationId": call.operation,
        "summary": call.summary,
        "parameters": _describe_parameters(call),
        "responses": {
            "200": _describe_body("The call succeeded.", answer),
            "default": _describe_body(
                "The call was refused.", by_kind[messages.ErrorMessage]
            ),
        },
    }
    for status, kind in call.answers:
        described["responses"][str(status)] = _describe_body(
            "In force, not yet stored.", by_kind[kind]
        )
    if call.request is str:
        content = {"text/plain": {"schema": {"type": "string"}}}
        described["requestBody"] = {"required": True, "content": content}
    elif call.request is not None:
        content = {"application/json": {"schema": by_kind[call.request]}}
        described["requestBody"] = {"required": True, "content": content}
    return described


def _describe_parameters(call: Call) -> list[dict[str, Any]]:
    places = {
        "path": _PATH_FIELD.findall(call.path),
        "query": call.query,
        "header": call.headers,
    }
    return [
        {
            "name": name,
            "in": place,
            "required": place == "path",
            "schema": {"type": "string"},
        }
        for place, names in places.items()
        for name in names
    ]


def _describe_body(description: str, schema: Any) -> dict[str, Any]:
    content = {"application/json": {"schema": schema}}
    return {"description": description, "content": content}
