"""Reading of calls to the administration API."""

from __future__ import annotations

from typing import Any
from typing import TypeVar

import msgspec
import uuid6
from aiohttp import web

from poplarwick_administration import refusals
from poplarwick_configuration import document
from poplarwick_configuration import drain_marks

CHANGE_ID_HEADER = "Idempotency-Key"
EXPECTED_VERSION_HEADER = "If-Match"
MAX_MESSAGE_BYTES = 65_536

T = TypeVar("T")


def read_environment(request: web.Request) -> str:
    """Returns the environment named in the path.

    Raises:
        refusals.ApiError: The name is not valid.
    """
    return read_name(request, "environment")


def read_name(request: web.Request, field: str) -> str:
    """Returns a name in the path.

    Raises:
        refusals.ApiError: The name is not valid.
    """
    return _convert(request.match_info[field], document.Name, field)


def read_target(request: web.Request) -> drain_marks.Target:
    """Returns the target named in the path.

    Raises:
        refusals.ApiError: The kind or the name is not valid.
    """
    kind = request.match_info["kind"]
    try:
        target_kind = drain_marks.TargetKind(kind)
    except ValueError as error:
        allowed = ", ".join(k.value for k in drain_marks.TargetKind)
        raise refusals.make_bad_request(
            f"kind: found {kind!r}; one of: {allowed}"
        ) from error
    return drain_marks.Target(target_kind, read_name(request, "name"))


def read_change_id(request: web.Request) -> str:
    """Returns the change's idempotency key, a new one if none was sent.

    Raises:
        refusals.ApiError: The key is not valid.
    """
    change_id = request.headers.get(CHANGE_ID_HEADER) or str(uuid6.uuid7())
    return _convert(change_id, document.Name, CHANGE_ID_HEADER)


def read_expected_version(request: web.Request) -> int | None:
    """Returns the version that the change is based on, if one was sent.

    Raises:
        refusals.ApiError: It is not a number.
    """
    value = request.headers.get(EXPECTED_VERSION_HEADER)
    return _parse_number(value.strip('" '), value) if value else None


def read_number(request: web.Request, field: str) -> int | None:
    """Returns a number in the query, or None if it is not there.

    Raises:
        refusals.ApiError: It is not a number.
    """
    value = request.query.get(field)
    return _parse_number(value, value) if value else None


def read_flag(request: web.Request, field: str) -> bool:
    """Returns whether a flag in the query is set to `true`."""
    return request.query.get(field) == "true"


async def read_text(request: web.Request) -> str:
    """Returns the body as text.

    Raises:
        refusals.ApiError: The body is not UTF-8.
    """
    try:
        return (await request.read()).decode()
    except UnicodeDecodeError as error:
        raise refusals.make_bad_request("the body is not UTF-8") from error


async def read_message(request: web.Request, kind: type[T]) -> T:
    """Returns the body as a message.

    Raises:
        refusals.ApiError: The body is not such a message or is too long.
    """
    data = await request.read()
    if len(data) > MAX_MESSAGE_BYTES:
        raise refusals.make_bad_request(
            f"the body has {len(data)} bytes; at most {MAX_MESSAGE_BYTES}"
        )
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise refusals.make_bad_request(f"body: {error}") from error


def _convert(value: str, kind: Any, name: str) -> str:
    try:
        return str(msgspec.convert(value, kind))
    except msgspec.ValidationError as error:
        raise refusals.make_bad_request(f"{name}: {error}") from error


def _parse_number(digits: str, shown: str) -> int:
    if not (digits.isascii() and digits.isdecimal() and len(digits) < 16):
        raise refusals.make_bad_request(f"{shown!r} is not a number")
    return int(digits)
