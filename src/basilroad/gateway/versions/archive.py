"""Rows in which gateways keep the versions of streams, by service, and their conditional writes."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Protocol

import attrs


class ArchiveUnavailableError(Exception):
    """The rows can't be read now.

    :param detail: cause
    """


@attrs.frozen
class ArchiveRow:
    """A row as it is stored.

    :param value: its value
    :param revision: revision of its last change
    """

    value: bytes
    revision: int


@attrs.frozen
class RowChange:
    """A change of one row.

    :param key: its key
    :param value: its new value; ``None`` removes it
    :param expected: revision that it must have, 0 if it must not exist; ``None`` for any
    """

    key: str
    value: bytes | None
    expected: int | None = None


@attrs.frozen
class Committed:
    """All changes were applied.

    :param revision: revision of the changed rows
    """

    revision: int


@attrs.frozen
class Conflict:
    """No change was applied, as rows don't have the expected revisions.

    :param rows: the rows with expected revisions, as they are, by key; those that exist
    """

    rows: Mapping[str, ArchiveRow]


@attrs.frozen
class NotCommitted:
    """No change was or will be applied.

    :param detail: cause
    """

    detail: str


@attrs.frozen
class MayCommit:
    """The changes may have been applied, or may be later while their conditions hold.

    :param detail: cause
    """

    detail: str


Outcome = Committed | Conflict | NotCommitted | MayCommit


class VersionArchive(Protocol):
    """Reads and writes the rows of a service."""

    @property
    def epoch(self) -> int:
        """:return: number that rises with each restore of the store from a copy."""

    @property
    def was_restored(self) -> bool:
        """:return: whether the store was ever restored from a copy."""

    @property
    def store_s(self) -> float | None:
        """:return: the store's clock in seconds; ``None`` if not known."""

    async def read(self, service: str, key: str) -> ArchiveRow | None:
        """Read a row.

        :param service: its service
        :param key: its key
        :return: the row; ``None`` if it doesn't exist
        :raises ArchiveUnavailableError: there was no valid response
        """

    async def list_rows(self, service: str, start: str, end: str) -> list[tuple[str, ArchiveRow]]:
        """Read the first rows of a range.

        :param service: their service
        :param start: first key
        :param end: key before which the range ends
        :return: rows in the order of their keys; none at the end of the range
        :raises ArchiveUnavailableError: there was no valid response
        """

    async def write(self, service: str, changes: Sequence[RowChange]) -> Outcome:
        """Apply changes, all or none of them.

        :param service: service of the rows
        :param changes: the changes
        :return: their outcome
        """


__all__ = [
    "ArchiveRow",
    "ArchiveUnavailableError",
    "Committed",
    "Conflict",
    "MayCommit",
    "NotCommitted",
    "Outcome",
    "RowChange",
    "VersionArchive",
]
