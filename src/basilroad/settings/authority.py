"""Write permission by path, from the owners in force when a row was written."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator
from operator import attrgetter

import attrs

from basilroad.coordination.table import Row
from basilroad.settings.objects import Owners
from basilroad.settings.schema import ROOT, Setting

OWNERS_ROOT = ROOT + "owners/"
"""Prefix of the rows that assign owners to prefixes."""

_get_position = attrgetter("position")


@attrs.frozen(order=True)
class Position:
    """Place of a write among all writes, as this process has seen them.

    A table that is restored from an older copy gives its revisions out again, so revisions are
    compared within one era only.

    :param era: number of restores of the table that this process had seen
    :param revision: revision of the write
    """

    era: int
    revision: int


BEFORE_ALL = Position(0, 0)
"""Position before any write."""

AFTER_ALL = Position(2**63, 0)
"""Position after any write, so that all owners set so far apply."""


@attrs.frozen
class Version:
    """One version of a setting that conforms to the schema.

    :param row: the row that holds it
    :param setting: the object; ``None`` when deleted
    :param era: era in which the revision of the row was given
    """

    row: Row
    setting: Setting | None
    era: int = 0

    @property
    def revision(self) -> int:
        """:return: revision of the row."""
        return self.row.revision

    @property
    def position(self) -> Position:
        """:return: place of the write among all writes."""
        return Position(self.era, self.row.revision)


@attrs.frozen
class _Grant:
    """Owners of a prefix from a write on; ``None`` for no owners."""

    position: Position
    authors: frozenset[str] | None


class Authority:
    """History of the owners of all prefixes.

    A row is checked against the owners in force before its own position. Every process that has
    the same rows gets the same result, in whatever order it received them.

    :param versions: every known version of every row below ``OWNERS_ROOT``
    """

    def __init__(self, versions: Iterable[Version] = ()) -> None:
        self._grants: dict[str, list[_Grant]] = {}
        for version in sorted(versions, key=_get_position):
            if self.allows(version):
                self._grant(version)

    def _grant(self, version: Version) -> None:
        prefix = version.row.key.removeprefix(OWNERS_ROOT)
        owners = version.setting
        authors = frozenset(owners.authors) if isinstance(owners, Owners) else None
        insort(
            self._grants.setdefault(prefix, []),
            _Grant(version.position, authors),
            key=_get_position,
        )

    def allows(self, version: Version) -> bool:
        """:return: whether the author of a version was allowed to write it."""
        owners = self.find_owners(version.row.key, version.position)
        return owners is None or version.row.author in owners

    def find_owners(self, path: str, position: Position) -> frozenset[str] | None:
        """Find who may write a path.

        :param path: path of a row
        :param position: position of the write; owners set at or after it are ignored
        :return: the authors of the longest prefix that had owners; ``None`` if anyone may write
        """
        relative = path.removeprefix(ROOT)
        found = self._find_longest(relative, position)
        if found is None and path.startswith(OWNERS_ROOT):
            # An owners row has no owners of its own: the owner of the subtree may transfer it.
            found = self._find_longest(path.removeprefix(OWNERS_ROOT), position)
        return found

    def _find_longest(self, relative: str, position: Position) -> frozenset[str] | None:
        for prefix in _list_prefixes(relative):
            grants = self._grants.get(prefix, [])
            before = bisect_left(grants, position, key=_get_position)
            if before and grants[before - 1].authors is not None:
                return grants[before - 1].authors
        return None


def _list_prefixes(relative: str) -> Iterator[str]:
    parts = relative.split("/")
    for end in range(len(parts), 0, -1):
        yield "/".join(parts[:end])


__all__ = ["AFTER_ALL", "BEFORE_ALL", "OWNERS_ROOT", "Authority", "Position", "Version"]
