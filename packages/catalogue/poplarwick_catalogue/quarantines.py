"""Requests and parts of prompts that no endpoint of a service is sent any more.

A quarantine is never deleted, only lifted: its later generation replaces the
earlier one in whichever order they arrive.
"""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Callable
from collections.abc import Collection
from typing import NewType

from poplarwick_catalogue import log_events
from poplarwick_core import ids
from poplarwick_core import logs

QuarantineId = NewType("QuarantineId", str)
"""Identifies a quarantine by its service and what it refuses."""

MAX_QUARANTINES = 256
"""Quarantines that are kept; beyond that the oldest are forgotten."""

ID_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantine:
    """A request, or parts of a prompt together, that crash endpoints.

    Attributes:
        service: The service.
        parts: The parts; a request is refused if its prompt has all of them.
            Empty if the quarantine is of one request.
        generation: Number that rises with each change.
        is_lifted: Whether requests with the parts are served again.
        software_version: Version of the endpoints that crashed.
        endpoints: Endpoints that crashed, or none if operators imposed it.
        imposed_by: Instance or operator that made the last change.
        fingerprint: The request whose copies are refused; None if the
            quarantine is of parts.
    """

    service: ids.ServiceId
    parts: frozenset[ids.PromptPartId]
    generation: int = 1
    is_lifted: bool = False
    software_version: str = ""
    endpoints: tuple[ids.EndpointId, ...] = ()
    imposed_by: str = ""
    fingerprint: ids.RequestFingerprint | None = None

    def __post_init__(self) -> None:
        if bool(self.parts) == bool(self.fingerprint):
            raise ValueError(
                f"quarantine of {self.service}: either parts or a request"
            )

    @property
    def id(self) -> QuarantineId:
        """Id that all instances derive alike."""
        subject: list[str] = [*sorted(self.parts)]
        if self.fingerprint is not None:
            subject = ["request", self.fingerprint]
        text = ",".join((self.service, *subject))
        digest = hashlib.blake2b(text.encode(), digest_size=ID_BYTES)
        return QuarantineId(digest.hexdigest())

    def covers(
        self,
        shared_parts: Collection[ids.PromptPartId],
        fingerprint: ids.RequestFingerprint | None = None,
    ) -> bool:
        """Returns whether a request with these properties is refused."""
        if self.is_lifted:
            return False
        if self.fingerprint is not None:
            return self.fingerprint == fingerprint
        return self.parts.issubset(shared_parts)

    def lift(self, lifted_by: str) -> Quarantine:
        """Returns the generation that serves the requests again."""
        return dataclasses.replace(
            self,
            generation=self.generation + 1,
            is_lifted=True,
            imposed_by=lifted_by,
        )


class Quarantines:
    """Keeps the newest generation of each quarantine."""

    def __init__(self) -> None:
        self._known: dict[QuarantineId, Quarantine] = {}
        self._in_force: dict[ids.ServiceId, tuple[Quarantine, ...]] = {}
        self._listeners: list[Callable[[Quarantine], None]] = []

    @property
    def known(self) -> tuple[Quarantine, ...]:
        """All quarantines, lifted ones too, the oldest first."""
        return tuple(self._known.values())

    @property
    def in_force_count(self) -> int:
        """Number of quarantines that are not lifted."""
        return sum(len(group) for group in self._in_force.values())

    def add_listener(self, listener: Callable[[Quarantine], None]) -> None:
        """Calls `listener` with each new generation."""
        self._listeners.append(listener)

    def remove_listener(self, listener: Callable[[Quarantine], None]) -> None:
        """Removes a listener added by `add_listener`."""
        self._listeners.remove(listener)

    def find(
        self,
        service: ids.ServiceId,
        shared_parts: Collection[ids.PromptPartId],
        fingerprint: ids.RequestFingerprint | None = None,
    ) -> Quarantine | None:
        """Returns a quarantine that refuses a request, None if there is none.

        Args:
            service: Service that is to run the request.
            shared_parts: Parts of its prompt that other requests may share.
            fingerprint: What all copies of the request have in common.
        """
        for quarantine in self._in_force.get(service, ()):
            if quarantine.covers(shared_parts, fingerprint):
                return quarantine
        return None

    def impose(self, wanted: Quarantine) -> bool:
        """Imposes a quarantine; returns whether it was not yet in force."""
        known = self._known.get(wanted.id)
        if known is None:
            return self.merge(wanted)
        return known.is_lifted and self.merge(
            dataclasses.replace(wanted, generation=known.generation + 1)
        )

    def merge(self, quarantine: Quarantine) -> bool:
        """Takes over a quarantine; returns whether it is newer than known."""
        known = self._known.pop(quarantine.id, None)
        if known is not None and known.generation >= quarantine.generation:
            self._known[known.id] = known
            return False
        self._known[quarantine.id] = quarantine
        while len(self._known) > MAX_QUARANTINES:
            del self._known[next(iter(self._known))]
        self._index()
        self._log(quarantine)
        for listener in tuple(self._listeners):
            listener(quarantine)
        return True

    def _index(self) -> None:
        self._in_force = {}
        for quarantine in self._known.values():
            if not quarantine.is_lifted:
                others = self._in_force.get(quarantine.service, ())
                self._in_force[quarantine.service] = (*others, quarantine)

    def _log(self, quarantine: Quarantine) -> None:
        parts = ",".join(sorted(quarantine.parts)) or None
        if quarantine.is_lifted:
            logs.log(
                log_events.QuarantineLifted(
                    quarantine=quarantine.id,
                    service=quarantine.service,
                    parts=parts,
                    fingerprint=quarantine.fingerprint,
                    lifted_by=quarantine.imposed_by,
                )
            )
            return
        logs.log(
            log_events.QuarantineImposed(
                quarantine=quarantine.id,
                service=quarantine.service,
                parts=parts,
                fingerprint=quarantine.fingerprint,
                endpoints=",".join(quarantine.endpoints) or None,
                imposed_by=quarantine.imposed_by,
            )
        )
