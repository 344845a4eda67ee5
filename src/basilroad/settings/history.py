"""Versions of one setting that a process has received."""

from __future__ import annotations

from bisect import insort

import attrs

from basilroad.coordination.table import Row
from basilroad.settings.authority import OWNERS_ROOT, Authority, Version

VERSIONS_KEPT = 4
"""Versions kept of a setting, in case a change of its owners arrives late."""

OWNERS_VERSIONS_KEPT = 64
"""Versions kept of the owners of a prefix, to judge rows that arrive late."""


@attrs.frozen
class RejectedSetting:
    """Version of a setting that was refused.

    :param path: path of the setting
    :param revision: revision of the version
    :param author: who wrote it
    :param reason: why it was refused
    """

    path: str
    revision: int
    author: str
    reason: str


class History:
    """Versions of one setting, and which of them is in force.

    :param path: path of the setting
    """

    def __init__(self, path: str) -> None:
        self.path = path
        self.versions: list[Version] = []
        self.in_force: Version | None = None
        self._kept = OWNERS_VERSIONS_KEPT if path.startswith(OWNERS_ROOT) else VERSIONS_KEPT
        self._malformed: tuple[Row, str] | None = None
        self._forbidden: Version | None = None

    @property
    def newest(self) -> int:
        """:return: newest revision received; 0 for none."""
        versions = self.versions[-1].revision if self.versions else 0
        return max(versions, self._malformed[0].revision if self._malformed else 0)

    @property
    def is_deleted(self) -> bool:
        """:return: whether the newest version is a deletion, and in force."""
        version = self.in_force
        return version is not None and version.setting is None and version.revision == self.newest

    @property
    def refusal(self) -> RejectedSetting | None:
        """:return: the newest refusal, if it is newer than the version in force."""
        malformed = self._malformed
        forbidden = self._forbidden
        if forbidden and (malformed is None or forbidden.revision > malformed[0].revision):
            row = forbidden.row
            reason = f"{row.author or 'nobody'} does not own this path"
        elif malformed and (
            self.in_force is None or malformed[0].revision > self.in_force.revision
        ):
            row, reason = malformed
        else:
            return None
        return RejectedSetting(self.path, row.revision, row.author, reason)

    def covers(self, row: Row) -> bool:
        """:return: whether this row is known, or is older than all versions of a full history."""
        if any(version.revision == row.revision for version in self.versions):
            return True
        if self._malformed and self._malformed[0].revision == row.revision:
            return True
        full = len(self.versions) >= self._kept
        return full and row.revision < self.versions[0].revision

    def add(self, version: Version) -> bool:
        """Add a version; the oldest ones beyond the limit are removed, except the one in force.

        :return: whether it was kept
        """
        insort(self.versions, version, key=lambda each: each.revision)
        self._trim()
        return version in self.versions

    def _trim(self) -> None:
        excess = len(self.versions) - self._kept
        for version in self.versions[:-1]:
            if excess <= 0:
                return
            if version is not self.in_force:
                self.versions.remove(version)
                excess -= 1

    def refuse(self, row: Row, reason: str) -> bool:
        """Record a row that does not conform to the schema.

        :return: whether it is the newest such row
        """
        if self._malformed and self._malformed[0].revision > row.revision:
            return False
        self._malformed = (row, reason)
        return True

    def settle(self, authority: Authority) -> bool:
        """Choose the version in force.

        :param authority: history of the owners
        :return: whether the object in force has changed
        """
        before = self.in_force
        allowed = [version for version in self.versions if authority.allows(version.row)]
        self.in_force = allowed[-1] if allowed else None
        newest = self.versions[-1] if self.versions else None
        self._forbidden = newest if newest is not self.in_force else None
        old = before.setting if before else None
        new = self.in_force.setting if self.in_force else None
        return old != new

    def list_rows(self) -> list[Row]:
        """:return: the rows that a peer needs to reach the same settings."""
        first = 0
        if self.in_force and not self.path.startswith(OWNERS_ROOT):
            first = self.in_force.revision
        rows = [version.row for version in self.versions if version.revision >= first]
        if self._malformed and self._malformed[0].revision > first:
            rows.append(self._malformed[0])
        return rows


__all__ = ["OWNERS_VERSIONS_KEPT", "VERSIONS_KEPT", "History", "RejectedSetting"]
