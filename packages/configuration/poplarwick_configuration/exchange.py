"""Interface towards the other instances of the same environment."""

from __future__ import annotations

from typing import Protocol

from poplarwick_core import ids


class Exchange(Protocol):
    """Passes versions and held marks between instances.

    Calls raise an error of `poplarwick_core.errors` when the other instance
    does not answer.
    """

    @property
    def own(self) -> ids.InstanceId:
        """This instance."""
        ...

    def list_peers(self) -> tuple[ids.InstanceId, ...]:
        """Returns the other instances that are believed to live."""
        ...

    async def fetch_snapshot(
        self,
        peer: ids.InstanceId,
        *,
        newer_than: int,
        known_sections: tuple[str, ...],
        wait_s: float,
    ) -> bytes:
        """Asks another instance for its state.

        Args:
            peer: The other instance.
            newer_than: Version that this instance has.
            known_sections: Sections that need not travel.
            wait_s: How long the other may wait for a newer version.
        """
        ...

    async def send_marks(self, peer: ids.InstanceId, marks: bytes) -> None:
        """Has another instance hold marks that are not stored yet."""
        ...
