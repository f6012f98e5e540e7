"""HTTP handlers for the section of an organisation and its keys."""

from __future__ import annotations

import dataclasses
import secrets
from collections.abc import Callable
from typing import Concatenate
from typing import ParamSpec

import msgspec
from aiohttp import web

from poplarwick_administration import _changes
from poplarwick_administration import _guard
from poplarwick_administration import _requests
from poplarwick_administration import access
from poplarwick_administration import api_errors
from poplarwick_administration import messages
from poplarwick_configuration import changes
from poplarwick_configuration import document
from poplarwick_configuration import edit
from poplarwick_configuration import offload
from poplarwick_configuration import record
from poplarwick_configuration import store
from poplarwick_core import clock
from poplarwick_core import errors
from poplarwick_core import jsonc

SECRET_BYTES = 32
SECRET_PREFIX = "pw-"
OPERATOR_ONLY_FIELDS = ("id", "weight", "limits")

P = ParamSpec("P")


@dataclasses.dataclass(frozen=True, slots=True)
class OrganisationHandlers:
    """HTTP handlers for one organisation.

    Attributes:
        change_handler: Applies the changes.
    """

    change_handler: _changes.ChangeHandler

    async def get_section(self, request: web.Request) -> web.Response:
        """Returns the section of an organisation with its comments."""
        name = _requests.read_name(request, "organisation")
        if not access.may_view(_guard.get_operator(request)):
            _guard.require_manager(request, name)
        stored = await self._load(request)
        text = await _apply_edit(edit.extract_organisation, stored.text, name)
        return _guard.respond(
            messages.SectionMessage(version=stored.record.version, text=text)
        )

    async def put_section(self, request: web.Request) -> web.Response:
        """Replaces the section of an organisation."""
        name = _requests.read_name(request, "organisation")
        operator = _guard.require_manager(request, name)
        section = await _requests.read_text(request)
        stored = await self._load(request)
        await _check_section(operator, stored.text, name, section)
        text = await _apply_edit(
            edit.replace_organisation, stored.text, name, section
        )
        return _guard.respond(
            await self._store_change(
                request, stored, text, f"section of {name}"
            )
        )

    async def issue_key(self, request: web.Request) -> web.Response:
        """Issues a caller key that may replace another one."""
        name = _requests.read_name(request, "organisation")
        _guard.require_manager(request, name)
        key_request = await _requests.read_message(request, messages.KeyRequest)
        stored = await self._load(request)
        secret = SECRET_PREFIX + secrets.token_urlsafe(SECRET_BYTES)
        key = document.ApiKey(key_request.id, access.digest_token(secret))
        text = await _apply_edit(edit.add_key, stored.text, name, key)
        detail = f"key {key_request.id} of {name} issued"
        if key_request.replaces is not None:
            old = _find_key(stored.text, name, key_request.replaces)
            expires_s = clock.wall_time_s() + key_request.overlap_s
            old = msgspec.structs.replace(old, expires_s=expires_s)
            text = await _apply_edit(edit.replace_key, text, name, old)
            detail += f" in place of {key_request.replaces}"
        accepted = await self._store_change(request, stored, text, detail)
        if accepted.was_stored_before:
            raise api_errors.make_error(
                messages.ErrorKind.SUPERSEDED,
                f"key {key_request.id} was issued by an earlier call, and only "
                "its response contained the secret; revoke the key and issue "
                "another",
            )
        return _guard.respond(
            messages.KeyMessage(
                organisation=name,
                id=key_request.id,
                secret=secret,
                version=accepted.version,
            )
        )

    async def revoke_key(self, request: web.Request) -> web.Response:
        """Revokes a caller key."""
        name = _requests.read_name(request, "organisation")
        _guard.require_manager(request, name)
        key_id = _requests.read_name(request, "key")
        stored = await self._load(request)
        key = _find_key(stored.text, name, key_id)
        key = msgspec.structs.replace(key, revoked=True)
        text = await _apply_edit(edit.replace_key, stored.text, name, key)
        return _guard.respond(
            await self._store_change(
                request, stored, text, f"key {key_id} of {name} revoked"
            )
        )

    async def _load(self, request: web.Request) -> store.StoredText:
        environment = _requests.read_environment(request)
        return await self.change_handler.open_store(environment).load_text()

    async def _store_change(
        self,
        request: web.Request,
        stored: store.StoredText,
        text: str,
        detail: str,
    ) -> messages.AcceptedMessage:
        change = changes.NewText(
            text, stored.record.version, record.Action.EDIT, detail
        )
        return await self.change_handler.change_text(
            _requests.read_environment(request),
            change,
            _guard.get_operator(request),
            _requests.read_change_id(request),
        )


async def _apply_edit(
    function: Callable[Concatenate[str, P], str],
    text: str,
    *arguments: P.args,
    **options: P.kwargs,
) -> str:
    try:
        return await offload.run_for_text(
            text, function, text, *arguments, **options
        )
    except edit.EditError as error:
        raise api_errors.make_error(
            messages.ErrorKind.NOT_FOUND, str(error)
        ) from error


def _find_key(text: str, organisation: str, key_id: str) -> document.ApiKey:
    parsed = jsonc.decode_checked(text, document.Document, "document")
    for section in parsed.organisations:
        for key in section.keys:
            if (section.id, key.id) == (organisation, key_id):
                return key
    raise api_errors.make_error(
        messages.ErrorKind.NOT_FOUND, f"{organisation} has no key {key_id}"
    )


async def _check_section(
    operator: access.Operator, text: str, name: str, section: str
) -> None:
    """Checks that a section is valid and that the operator may store it.

    Raises:
        api_errors.ApiError: The section is invalid, or it changes a field
            that the role of the operator does not allow to change.
    """
    try:
        new = jsonc.decode(section, document.Organisation, f"section {name}")
    except errors.DocumentError as error:
        raise api_errors.make_bad_request_error(str(error)) from error
    old_text = await _apply_edit(edit.extract_organisation, text, name)
    old = jsonc.decode(old_text, document.Organisation, f"section {name}")
    fields = ("id",) if access.may_change(operator) else OPERATOR_ONLY_FIELDS
    for field in fields:
        if getattr(new, field) != getattr(old, field):
            raise api_errors.make_error(
                messages.ErrorKind.FORBIDDEN,
                f"{operator.name} may not change the field {field}",
            )
