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

_get_revision = attrgetter("revision")


@attrs.frozen
class Version:
    """One version of a setting that conforms to the schema.

    :param row: the row that holds it
    :param setting: the object; ``None`` when deleted
    """

    row: Row
    setting: Setting | None

    @property
    def revision(self) -> int:
        """:return: revision of the row."""
        return self.row.revision


@attrs.frozen
class _Grant:
    """Owners of a prefix from a revision on; ``None`` for no owners."""

    revision: int
    authors: frozenset[str] | None


class Authority:
    """History of the owners of all prefixes.

    A row is checked against the owners in force before its own revision. Every process that has
    the same rows gets the same result, in whatever order it received them.

    :param versions: every known version of every row below ``OWNERS_ROOT``
    """

    def __init__(self, versions: Iterable[Version] = ()) -> None:
        self._grants: dict[str, list[_Grant]] = {}
        for version in sorted(versions, key=_get_revision):
            if self.allows(version.row):
                self._grant(version)

    def _grant(self, version: Version) -> None:
        prefix = version.row.key.removeprefix(OWNERS_ROOT)
        owners = version.setting
        authors = frozenset(owners.authors) if isinstance(owners, Owners) else None
        insort(
            self._grants.setdefault(prefix, []),
            _Grant(version.revision, authors),
            key=_get_revision,
        )

    def allows(self, row: Row) -> bool:
        """:return: whether the author of a row was allowed to write it."""
        owners = self.find_owners(row.key, row.revision)
        return owners is None or row.author in owners

    def find_owners(self, path: str, revision: int) -> frozenset[str] | None:
        """Find who may write a path.

        :param path: path of a row
        :param revision: revision of the write; owners set at or after it are ignored
        :return: the authors of the longest prefix that had owners; ``None`` if anyone may write
        """
        relative = path.removeprefix(ROOT)
        found = self._find_longest(relative, revision)
        if found is None and path.startswith(OWNERS_ROOT):
            # An owners row has no owners of its own: the owner of the subtree may transfer it.
            found = self._find_longest(path.removeprefix(OWNERS_ROOT), revision)
        return found

    def _find_longest(self, relative: str, revision: int) -> frozenset[str] | None:
        for prefix in _list_prefixes(relative):
            grants = self._grants.get(prefix, [])
            before = bisect_left(grants, revision, key=_get_revision)
            if before and grants[before - 1].authors is not None:
                return grants[before - 1].authors
        return None


def _list_prefixes(relative: str) -> Iterator[str]:
    parts = relative.split("/")
    for end in range(len(parts), 0, -1):
        yield "/".join(parts[:end])


__all__ = ["OWNERS_ROOT", "Authority", "Version"]
