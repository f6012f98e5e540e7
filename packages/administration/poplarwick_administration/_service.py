"""HTTP handlers for targets out of service and the state of the fleet."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import result
from aiohttp import web

from poplarwick_administration import _changes
from poplarwick_administration import _guard
from poplarwick_administration import _requests
from poplarwick_administration import api_errors
from poplarwick_administration import messages
from poplarwick_configuration import changes
from poplarwick_configuration import drain_controller
from poplarwick_configuration import follower
from poplarwick_configuration import record

FleetReader = Callable[[], tuple[messages.InstanceMessage, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceHandlers:
    """HTTP handlers for drain marks and the state of the fleet.

    Attributes:
        change_handler: Records refused changes.
        controller: Takes targets of `environment` out of service and puts them
            back.
        documents: Follower of the configuration of `environment`.
        instance: Id of this instance.
        environment: Environment that this instance follows.
        read_fleet: Returns the state of all known instances.
    """

    change_handler: _changes.ChangeHandler
    controller: drain_controller.DrainController
    documents: follower.Follower
    instance: str
    environment: str
    read_fleet: FleetReader

    async def take_out(self, request: web.Request) -> web.Response:
        """Takes a target out of service."""
        operator = _guard.require_operator(request)
        self._require_local_environment(request)
        change_id = _requests.read_change_id(request)
        target = _requests.read_target(request)
        outcome = await self.controller.take_out(
            target,
            author=operator.name,
            change_id=change_id,
            is_forced=_requests.read_flag(request, "force"),
        )
        match outcome:
            case result.Ok(changes.Accepted() as accepted):
                return self._respond_accepted(accepted, change_id)
            case result.Ok(drain_controller.Held() as held):
                return _guard.respond(self._make_held_message(held), status=202)
            case result.Err(refusal):
                await self.change_handler.record_refusal(
                    self.environment,
                    record.Action.OUT,
                    operator,
                    change_id,
                    refusal,
                    str(target),
                )
                raise api_errors.make_change_error(refusal)
        raise AssertionError

    async def put_in(self, request: web.Request) -> web.Response:
        """Puts a target back into service."""
        operator = _guard.require_operator(request)
        self._require_local_environment(request)
        change_id = _requests.read_change_id(request)
        target = _requests.read_target(request)
        outcome = await self.controller.put_in(
            target, author=operator.name, change_id=change_id
        )
        match outcome:
            case result.Ok(accepted):
                return self._respond_accepted(accepted, change_id)
            case result.Err(refusal):
                await self.change_handler.record_refusal(
                    self.environment,
                    record.Action.IN,
                    operator,
                    change_id,
                    refusal,
                    str(target),
                )
                raise api_errors.make_change_error(refusal)

    async def get_status(self, request: web.Request) -> web.Response:
        """Returns the state of the fleet as seen by this instance."""
        _guard.require_viewer(request)
        await self.documents.probe()
        stored = self.documents.stored
        out = stored.record.out if stored is not None else ()
        return _guard.respond(
            messages.StatusMessage(
                instance=self.instance,
                environment=self.environment,
                version=self.documents.version,
                is_connected=self.documents.is_connected,
                out=tuple(str(mark.target) for mark in out),
                held=tuple(str(m.target) for m in self.documents.held),
                instances=self.read_fleet(),
            )
        )

    def _require_local_environment(self, request: web.Request) -> None:
        environment = _requests.read_environment(request)
        if environment != self.environment:
            raise api_errors.make_error(
                messages.ErrorKind.NOT_FOUND,
                f"this instance follows environment {self.environment}; call "
                f"an instance of {environment}",
            )

    def _respond_accepted(
        self, accepted: changes.Accepted, change_id: str
    ) -> web.Response:
        return _guard.respond(
            messages.AcceptedMessage(
                environment=self.environment,
                version=accepted.version,
                change_id=change_id,
                was_stored_before=accepted.was_stored_before,
            )
        )

    def _make_held_message(
        self, held: drain_controller.Held
    ) -> messages.HeldMessage:
        return messages.HeldMessage(
            environment=self.environment,
            change_id=held.mark.change_id,
            held_by=held.held_by or (self.instance,),
            missing=held.missing,
            message=f"{held.mark.target} is out: in force, not yet stored",
        )
