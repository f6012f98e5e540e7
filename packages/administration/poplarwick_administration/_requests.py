"""Parsing of requests to the administration API."""

from __future__ import annotations

from typing import Any
from typing import TypeVar

import msgspec
import uuid6
from aiohttp import web

from poplarwick_administration import api_errors
from poplarwick_configuration import document
from poplarwick_configuration import drain_marks

CHANGE_ID_HEADER = "Idempotency-Key"
EXPECTED_VERSION_HEADER = "If-Match"
MAX_MESSAGE_BYTES = 65_536

T = TypeVar("T")


def read_environment(request: web.Request) -> str:
    """Returns the environment in the path.

    Raises:
        api_errors.ApiError: The name is not valid.
    """
    return read_name(request, "environment")


def read_name(request: web.Request, field: str) -> str:
    """Returns a field of the path that must be a valid name.

    Raises:
        api_errors.ApiError: The name is not valid.
    """
    return _convert(request.match_info[field], document.Name, field)


def read_target(request: web.Request) -> drain_marks.Target:
    """Returns the target in the path.

    Raises:
        api_errors.ApiError: The kind or the name is not valid.
    """
    kind = request.match_info["kind"]
    try:
        target_kind = drain_marks.TargetKind(kind)
    except ValueError as error:
        allowed = ", ".join(k.value for k in drain_marks.TargetKind)
        raise api_errors.make_bad_request_error(
            f"kind: unknown value {kind!r}; must be one of: {allowed}"
        ) from error
    return drain_marks.Target(target_kind, read_name(request, "name"))


def read_change_id(request: web.Request) -> str:
    """Returns the idempotency key of the change, or a new one.

    Raises:
        api_errors.ApiError: The key is not valid.
    """
    change_id = request.headers.get(CHANGE_ID_HEADER) or str(uuid6.uuid7())
    return _convert(change_id, document.Name, CHANGE_ID_HEADER)


def read_expected_version(request: web.Request) -> int | None:
    """Returns the version that the change is based on, or None.

    Raises:
        api_errors.ApiError: The value is not a number.
    """
    value = request.headers.get(EXPECTED_VERSION_HEADER)
    return _parse_number(value.strip('" '), value) if value else None


def read_number(request: web.Request, field: str) -> int | None:
    """Returns a number in the query, or None if it is missing.

    Raises:
        api_errors.ApiError: The value is not a number.
    """
    value = request.query.get(field)
    return _parse_number(value, value) if value else None


def read_flag(request: web.Request, field: str) -> bool:
    """Returns whether a flag in the query is `true`."""
    return request.query.get(field) == "true"


async def read_text(request: web.Request) -> str:
    """Returns the body as text.

    Raises:
        api_errors.ApiError: The body is not UTF-8.
    """
    try:
        return (await request.read()).decode()
    except UnicodeDecodeError as error:
        raise api_errors.make_bad_request_error(
            "the body is not UTF-8"
        ) from error


async def read_message(request: web.Request, message_type: type[T]) -> T:
    """Returns the body decoded as a JSON message.

    Raises:
        api_errors.ApiError: The body is malformed or too long.
    """
    data = await request.read()
    if len(data) > MAX_MESSAGE_BYTES:
        raise api_errors.make_bad_request_error(
            f"the body has {len(data)} bytes; the limit is {MAX_MESSAGE_BYTES}"
        )
    try:
        return msgspec.json.decode(data, type=message_type)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise api_errors.make_bad_request_error(f"body: {error}") from error


def _convert(value: str, target_type: Any, name: str) -> str:
    try:
        return str(msgspec.convert(value, target_type))
    except msgspec.ValidationError as error:
        raise api_errors.make_bad_request_error(f"{name}: {error}") from error


def _parse_number(digits: str, shown: str) -> int:
    if not (digits.isascii() and digits.isdecimal() and len(digits) < 16):
        raise api_errors.make_bad_request_error(f"{shown!r} is not a number")
    return int(digits)
