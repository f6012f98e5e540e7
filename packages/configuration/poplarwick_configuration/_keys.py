"""Keys under which one environment's document is stored."""

from __future__ import annotations

import dataclasses

VERSION_DIGITS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Keys:
    """Names of the keys of one environment.

    Attributes:
        environment: Name of the environment.
    """

    environment: str

    @property
    def state(self) -> str:
        """Prefix of the keys that each change is conditioned on."""
        return f"configuration/{self.environment}/state/"

    @property
    def head(self) -> str:
        """Record of the newest version."""
        return self.state + "head"

    @property
    def compaction(self) -> str:
        """Written whenever unused sections are removed."""
        return self.state + "compaction"

    @property
    def versions(self) -> str:
        """Prefix of the records of all kept versions."""
        return f"configuration/{self.environment}/versions/"

    @property
    def changes(self) -> str:
        """Prefix of the version numbers by change id."""
        return f"configuration/{self.environment}/changes/"

    @property
    def sections(self) -> str:
        """Prefix of the sections by digest."""
        return f"configuration/{self.environment}/sections/"

    @property
    def refusals(self) -> str:
        """Prefix of the records of refused changes."""
        return f"configuration/{self.environment}/refusals/"

    def archive(self, first: int) -> str:
        """Block with the records of old versions from `first` on."""
        number = f"{first:0{VERSION_DIGITS}d}"
        return f"configuration/{self.environment}/archive/{number}"

    def confirmation(self, version: int) -> str:
        """Written once a version has been in force at all instances."""
        number = f"{version:0{VERSION_DIGITS}d}"
        return f"configuration/{self.environment}/confirmed/{number}"

    def version(self, version: int) -> str:
        """Record of one version."""
        return f"{self.versions}{version:0{VERSION_DIGITS}d}"

    def change(self, change_id: str) -> str:
        """Version number that a change made."""
        return self.changes + change_id

    def section(self, digest: str) -> str:
        """Content of one section."""
        return self.sections + digest
