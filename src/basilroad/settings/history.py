"""Versions of one setting that a process has received."""

from __future__ import annotations

from bisect import insort

import attrs

from basilroad.coordination.table import Row
from basilroad.settings.authority import BEFORE_ALL, OWNERS_ROOT, Authority, Position, Version

VERSIONS_KEPT = 4
"""Versions kept of a setting, in case a change of its owners arrives late."""

OWNERS_VERSIONS_KEPT = 64
"""Versions kept of the owners of a prefix, to judge rows that arrive late."""


@attrs.frozen
class _Malformed:
    """Row that does not conform to the schema.

    :param row: the row
    :param era: era in which its revision was given
    :param reason: why it does not
    """

    row: Row
    era: int
    reason: str

    @property
    def position(self) -> Position:
        """:return: place of the write among all writes."""
        return Position(self.era, self.row.revision)


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
        self._malformed: _Malformed | None = None
        self._forbidden: Version | None = None

    @property
    def newest(self) -> Position:
        """:return: newest position received; ``BEFORE_ALL`` for none."""
        newest = self.versions[-1].position if self.versions else BEFORE_ALL
        return max(newest, self._malformed.position if self._malformed else BEFORE_ALL)

    @property
    def is_deleted(self) -> bool:
        """:return: whether the newest version is a deletion, and in force."""
        version = self.in_force
        return version is not None and version.setting is None and version.position == self.newest

    @property
    def refusal(self) -> RejectedSetting | None:
        """:return: the newest refusal, if it is newer than the version in force."""
        malformed = self._malformed
        forbidden = self._forbidden
        if forbidden and (malformed is None or forbidden.position > malformed.position):
            row = forbidden.row
            reason = f"{row.author or 'an unknown author'} does not own this path"
        elif malformed and (self.in_force is None or malformed.position > self.in_force.position):
            row, reason = malformed.row, malformed.reason
        else:
            return None
        return RejectedSetting(self.path, row.revision, row.author, reason)

    def covers(self, row: Row, era: int) -> bool:
        """Check whether a row is of no use.

        :param row: the row
        :param era: era of the table in which it was received
        :return: whether it is known, or is older than all versions of a full history
        """
        position = Position(era, row.revision)
        known = self._list_known()
        # A peer may still send a row from before the table was restored.
        if any(each.position == position or each.row == row for each in known):
            return True
        full = len(self.versions) >= self._kept
        return full and position < self.versions[0].position

    def contains(self, row: Row, era: int) -> bool:
        """Check whether a row was received, not only its revision.

        :param row: a row as the table has it now
        :param era: era of the table until now
        :return: whether it was, or was too old to be kept
        """
        if any(each.row == row for each in self._list_known()):
            return True
        full = len(self.versions) >= self._kept
        return full and Position(era, row.revision) < self.versions[0].position

    def discard_from_earlier(self, row: Row, era: int) -> None:
        """Forget a row of earlier eras, so that it can be added in this one.

        :param row: the row
        :param era: this era
        """
        self.versions = [each for each in self.versions if each.era == era or each.row != row]
        malformed = self._malformed
        if malformed and malformed.era < era and malformed.row == row:
            self._malformed = None

    def _list_known(self) -> list[Version | _Malformed]:
        return [*self.versions, *([self._malformed] if self._malformed else [])]

    def add(self, version: Version) -> bool:
        """Add a version; the oldest ones beyond the limit are removed, except the one in force.

        :return: whether it was kept
        """
        insort(self.versions, version, key=lambda each: each.position)
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

    def refuse(self, row: Row, era: int, reason: str) -> bool:
        """Record a row that does not conform to the schema.

        :return: whether it is the newest such row
        """
        malformed = _Malformed(row, era, reason)
        if self._malformed and self._malformed.position > malformed.position:
            return False
        self._malformed = malformed
        return True

    def settle(self, authority: Authority) -> bool:
        """Choose the version in force.

        :param authority: history of the owners
        :return: whether the object in force has changed
        """
        before = self.in_force
        allowed = [version for version in self.versions if authority.allows(version)]
        self.in_force = allowed[-1] if allowed else None
        newest = self.versions[-1] if self.versions else None
        self._forbidden = newest if newest is not self.in_force else None
        old = before.setting if before else None
        new = self.in_force.setting if self.in_force else None
        return old != new

    def list_rows(self) -> list[Row]:
        """:return: the rows that a peer needs to reach the same settings."""
        first = BEFORE_ALL
        if self.in_force and not self.path.startswith(OWNERS_ROOT):
            first = self.in_force.position
        rows = [version.row for version in self.versions if version.position >= first]
        if self._malformed and self._malformed.position > first:
            rows.append(self._malformed.row)
        return rows


__all__ = ["OWNERS_VERSIONS_KEPT", "VERSIONS_KEPT", "History", "RejectedSetting"]
