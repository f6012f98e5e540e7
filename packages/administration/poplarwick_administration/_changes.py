"""Applies configuration changes of API calls and writes the audit trail."""

from __future__ import annotations

import dataclasses

import result

from poplarwick_administration import access
from poplarwick_administration import api_errors
from poplarwick_administration import messages
from poplarwick_configuration import changes
from poplarwick_configuration import difference
from poplarwick_configuration import failures
from poplarwick_configuration import offload
from poplarwick_configuration import record
from poplarwick_configuration import store
from poplarwick_core import clock
from poplarwick_core import logs
from poplarwick_platform import kv


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeHandler:
    """Applies configuration changes to any environment.

    Attributes:
        client: Client of the key-value service.
    """

    client: kv.KvClient

    def open_store(self, environment: str) -> store.DocumentStore:
        """Returns the document store of an environment."""
        return store.DocumentStore(self.client, environment)

    async def change_text(
        self,
        environment: str,
        change: changes.NewText,
        operator: access.Operator,
        change_id: str,
    ) -> messages.AcceptedMessage:
        """Stores a new version of a document.

        Args:
            environment: Name of the environment.
            change: New text with the version that it is based on.
            operator: Author of the change.
            change_id: Idempotency key of the change.

        Raises:
            api_errors.ApiError: The change was refused.
        """
        documents = self.open_store(environment)
        outcome = await documents.make_change(
            change, author=operator.name, change_id=change_id
        )
        match outcome:
            case result.Ok(accepted):
                _log(environment, change.action, operator, change_id)
                return messages.AcceptedMessage(
                    environment=environment,
                    version=accepted.version,
                    change_id=change_id,
                    was_stored_before=accepted.was_stored_before,
                )
            case result.Err(refusal):
                await self.record_refusal(
                    environment,
                    change.action,
                    operator,
                    change_id,
                    refusal,
                    change.detail,
                )
                if isinstance(refusal, changes.Superseded):
                    raise await self._make_superseded_error(documents, refusal)
                raise api_errors.make_change_error(refusal)

    async def record_refusal(
        self,
        environment: str,
        action: record.Action,
        operator: access.Operator,
        change_id: str,
        refusal: changes.Refusal,
        detail: str,
    ) -> None:
        """Logs a refused change and adds it to the audit trail.

        If the change failed because the key-value service was unreachable,
        or if the audit trail cannot be written, the refusal is only logged.
        """
        reason = api_errors.get_error_kind(refusal).value
        _log(environment, action, operator, change_id, reason)
        if isinstance(refusal, changes.NotStored | changes.Unresolved):
            return
        entry = record.RefusalRecord(
            author=operator.name,
            change_id=change_id,
            action=action.value,
            detail=detail,
            reason=reason,
            time_s=clock.wall_time_s(),
        )
        try:
            await self.open_store(environment).record_refusal(entry)
        except failures.StoreError as error:
            logs.log_event("audit_entry_lost", "WARNING", reason=error)

    async def _make_superseded_error(
        self, documents: store.DocumentStore, refusal: changes.Superseded
    ) -> api_errors.ApiError:
        """Returns the error with the changes made by the other operator."""
        differences: tuple[messages.DifferenceMessage, ...] = ()
        try:
            if refusal.head is not None and refusal.expected_version > 0:
                old = await documents.load_text(refusal.expected_version)
                new = await documents.read_text(refusal.head)
                differences = await offload.run_for_text(
                    new.text, list_differences, old.text, new.text
                )
        except failures.StoreError as error:
            logs.log_event("conflict_not_shown", "WARNING", reason=error)
        return api_errors.make_superseded_error(refusal, differences)


def list_differences(
    before: str | None, after: str
) -> tuple[messages.DifferenceMessage, ...]:
    """Returns the differences between two documents as API messages."""
    return tuple(
        messages.DifferenceMessage(path=d.path, before=d.before, after=d.after)
        for d in difference.compare_texts(before, after)
    )


def _log(
    environment: str,
    action: record.Action,
    operator: access.Operator,
    change_id: str,
    reason: str = "accepted",
) -> None:
    logs.log_event(
        "configuration_change",
        environment=environment,
        action=action.value,
        operator=operator.name,
        change=change_id,
        result=reason,
    )
