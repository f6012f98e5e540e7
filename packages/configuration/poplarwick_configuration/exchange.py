"""Interface to the other instances of the same environment."""

from __future__ import annotations

from typing import Protocol

from poplarwick_core import ids


class Exchange(Protocol):
    """Transfers versions and held drain marks between instances.

    Calls raise a subclass of `errors.PoplarwickError` if the other instance
    does not respond.
    """

    @property
    def own(self) -> ids.InstanceId:
        """Id of this instance."""
        ...

    def list_peers(self) -> tuple[ids.InstanceId, ...]:
        """Returns the other instances that are considered alive."""
        ...

    async def fetch_snapshot(
        self,
        peer: ids.InstanceId,
        *,
        newer_than: int,
        known_sections: tuple[str, ...],
        wait_s: float,
    ) -> bytes:
        """Fetches the encoded snapshot of another instance.

        Args:
            peer: The other instance.
            newer_than: Version in force at this instance.
            known_sections: Digests of sections to leave out of the response.
            wait_s: Maximum time that the other instance waits for a newer
                version, in seconds.
        """
        ...

    async def send_marks(self, peer: ids.InstanceId, marks: bytes) -> None:
        """Sends encoded drain marks that are not stored yet."""
        ...
