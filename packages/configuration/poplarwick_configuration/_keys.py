"""Layout of one environment's document in the key-value store."""

from __future__ import annotations

import dataclasses

VERSION_DIGITS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Keys:
    """Builds the keys of one environment.

    Attributes:
        environment: Name of the environment.
    """

    environment: str

    @property
    def state(self) -> str:
        """Prefix of the keys in the compare conditions of each change."""
        return f"configuration/{self.environment}/state/"

    @property
    def head(self) -> str:
        """Key of the newest version's record."""
        return self.state + "head"

    @property
    def compaction(self) -> str:
        """Key of the compaction state.

        It is written whenever unused sections are removed.
        """
        return self.state + "compaction"

    @property
    def versions(self) -> str:
        """Prefix of the records of all retained versions."""
        return f"configuration/{self.environment}/versions/"

    @property
    def changes(self) -> str:
        """Prefix of the map from change id to version number."""
        return f"configuration/{self.environment}/changes/"

    @property
    def sections(self) -> str:
        """Prefix of the sections, which are keyed by digest."""
        return f"configuration/{self.environment}/sections/"

    @property
    def refusals(self) -> str:
        """Prefix of the records of refused changes."""
        return f"configuration/{self.environment}/refusals/"

    def archive(self, first: int) -> str:
        """Returns the key of an archived block of version records.

        Args:
            first: First version of the block.
        """
        number = f"{first:0{VERSION_DIGITS}d}"
        return f"configuration/{self.environment}/archive/{number}"

    def confirmation(self, version: int) -> str:
        """Returns the key that confirms a version.

        It is written once the version is in force at all instances.
        """
        number = f"{version:0{VERSION_DIGITS}d}"
        return f"configuration/{self.environment}/confirmed/{number}"

    def version(self, version: int) -> str:
        """Returns the key of a version's record."""
        return f"{self.versions}{version:0{VERSION_DIGITS}d}"

    def change(self, change_id: str) -> str:
        """Returns the key of the version number that a change created."""
        return self.changes + change_id

    def section(self, digest: str) -> str:
        """Returns the key of a section's content."""
        return self.sections + digest
