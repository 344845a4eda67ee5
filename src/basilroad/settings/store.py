"""In-memory store of the settings of one process."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from functools import cached_property

import attrs
import xxhash

from basilroad.coordination.table import Changes, Row
from basilroad.settings.authority import BEFORE_ALL, OWNERS_ROOT, Authority, Position, Version
from basilroad.settings.history import History, RejectedSetting
from basilroad.settings.problem import SettingsError
from basilroad.settings.schema import Setting, parse_path, parse_setting
from basilroad.settings.view import SettingsView

logger = logging.getLogger(__name__)

TOMBSTONES_KEPT = 1000
"""Deletions that are kept to be passed on to peers."""

ViewCallback = Callable[[SettingsView], None]


@attrs.frozen
class ApplyResult:
    """Result of applying a batch of rows.

    :param rows: rows that were new to this process, by revision; pass them on to peers
    :param changed: paths whose object in force has changed
    :param refused: refusals among the new rows
    """

    rows: tuple[Row, ...] = ()
    changed: tuple[str, ...] = ()
    refused: tuple[RejectedSetting, ...] = ()


class SettingsStore:
    """Settings of one process.

    At each path the newest version that conforms to the schema and was written by a permitted
    author is in force. A newer one that is refused is recorded and leaves the old one in force.
    Rows may arrive in any order, repeatedly, and from peers with outdated settings.
    """

    def __init__(self) -> None:
        self._histories: dict[str, History] = {}
        self._objects: dict[str, dict[str, Setting]] = {}
        self._authority = Authority()
        self._callbacks: list[ViewCallback] = []
        self._complete_revision = 0
        self._era = 0
        self._newest = BEFORE_ALL
        self._forgotten_revision = 0
        self._unconfirmed: dict[tuple[str, int], bool] = {}
        self._outdated: set[Row] = set()
        self._view = SettingsView()

    @property
    def view(self) -> SettingsView:
        """:return: the settings in force."""
        return self._view

    @property
    def revision(self) -> int:
        """:return: revision of the newest setting in this process; 0 for none."""
        return self._view.revision

    @property
    def era(self) -> int:
        """:return: number of times that this process saw the table restored from a copy."""
        return self._era

    @property
    def unconfirmed(self) -> frozenset[tuple[str, int]]:
        """:return: paths and revisions received from peers and not confirmed by the table."""
        return frozenset(self._unconfirmed)

    @cached_property
    def _digest(self) -> int:
        digest = 0
        for path, history in self._histories.items():
            version = history.in_force
            if version is not None and version.setting is not None:
                digest ^= xxhash.xxh64_intdigest(f"{version.revision} {path}".encode())
        return digest

    @property
    def digest(self) -> int:
        """:return: hash of the settings in force, equal in processes with equal settings."""
        return self._digest

    @property
    def complete_revision(self) -> int:
        """:return: revision up to which no setting is missing; the next read starts there."""
        return self._complete_revision

    @property
    def refusals(self) -> tuple[RejectedSetting, ...]:
        """:return: the newest refusal of each path that is newer than what is in force there."""
        found = (history.refusal for history in self._histories.values())
        return tuple(sorted((each for each in found if each), key=lambda each: each.path))

    def apply(self, changes: Iterable[Row], through: int = 0) -> ApplyResult:
        """Apply rows of the table, read from it or received from a peer.

        :param changes: rows below ``settings/``; known and outdated rows are ignored
        :param through: revision up to which a read of the table, from ``complete_revision`` on,
            included all rows; 0 for rows from a peer
        :return: what was new
        """
        rows = sorted(changes, key=_get_order)
        if through:
            # A peer may have passed these on before this process saw the restore.
            self._move_to_this_era(row for row in rows if _get_version(row) in self._unconfirmed)
        new_rows = [row for row in rows if self._admit(row)]
        self._complete_revision = max(self._complete_revision, through)
        for row in new_rows:
            is_late = self._histories[row.key].newest > Position(self._era, row.revision)
            if is_late or not through:
                self._unconfirmed[_get_version(row)] = is_late
        if not new_rows:
            return ApplyResult()
        changed = self._update_in_force({row.key for row in new_rows})
        self.__dict__.pop("_digest", None)
        self._drop_tombstones()
        self._publish(changed)
        new_versions = {(row.key, row.revision) for row in new_rows}
        refused = tuple(
            each for each in self.refusals if (each.path, each.revision) in new_versions
        )
        for refusal in refused:
            logger.warning("setting refused: %s", refusal)
        return ApplyResult(tuple(new_rows), changed, refused)

    def confirm(self, versions: Iterable[tuple[str, int]], through: int) -> None:
        """Count rows of peers as known to the table.

        :param versions: ``unconfirmed`` before the table was read
        :param through: revision of the table at that read
        """
        for version in versions:
            path, revision = version
            history = self._histories.get(path)
            if self._unconfirmed.get(version) and history is not None:
                # Not before the newer one that came first is confirmed.
                revision = history.newest.revision
            if revision <= through:
                self._unconfirmed.pop(version, None)

    def contradicts(self, changes: Changes, since: int) -> bool:
        """Check whether a read shows that the table was restored from an older copy.

        Within one era this never holds, not even for a read from a replica that is behind: such a
        read misses no row up to its own revision, and brings none that a newer one did not.

        :param changes: the rows written after ``since``
        :param since: revision from which was read
        :return: whether a row is missing that was written up to the revision of the read, another
            has its revision, or one is there that a read beyond its revision did not bring
        """
        return self._misses_row(changes, since) or any(map(self._is_impossible, changes.rows))

    def select_new(self, changes: Changes) -> tuple[Row, ...]:
        """Find the rows of a restored table that were written since the restore.

        :param changes: all rows of the table
        :return: those that were not read before, and are newer than all that were
        """
        known = (row for row in changes.rows if _get_version(row) not in self._unconfirmed)
        kept = max((row.revision for row in known if self.was_read(row)), default=0)
        return tuple(
            row
            for row in changes.rows
            if (row.revision > kept or self._unconfirmed.get(_get_version(row)))
            and not self.was_read(row)
        )

    def was_read(self, row: Row) -> bool:
        """Check whether a row was known before the table was restored.

        :param row: a row as the table has it now
        :return: whether it was; not if it came after a newer version that is not confirmed
        """
        if row in self._outdated:
            return True
        history = self._histories.get(row.key)
        if history is None:
            return row.value is None or row.revision <= self._forgotten_revision
        return history.contains(row, self._era) and not self._unconfirmed.get(_get_version(row))

    def restart(self, changes: Changes, earlier: Iterable[Row] = ()) -> ApplyResult:
        """Begin another era, after the table was restored from an older copy.

        Settings that the table lost stay in force until they are written again. A row that was
        not known before the restore is newer than all that were.

        :param changes: all rows of the table
        :param earlier: earlier versions of the new ones, written since the restore
        :return: what was new
        """
        latest = self.select_new(changes)
        new_rows = [*(row for row in earlier if not self.was_read(row)), *latest]
        self._outdated = {row for row in changes.rows if not self.was_read(row)}.difference(latest)
        logger.warning(
            "table was restored from an older copy, settings in force stay: "
            "known=%d revision=%d new=%d",
            self._complete_revision,
            changes.revision,
            len(new_rows),
        )
        self._era += 1
        self._complete_revision = 0
        self._move_to_this_era(new_rows)
        for row in changes.rows:
            self._unconfirmed.pop(_get_version(row), None)
        return self.apply(new_rows, through=changes.revision)

    def _move_to_this_era(self, rows: Iterable[Row]) -> None:
        for row in rows:
            if row.key in self._histories:
                self._histories[row.key].discard_from_earlier(row, self._era)

    def _misses_row(self, changes: Changes, since: int) -> bool:
        if self._newest <= Position(self._era, since):
            return False
        found = {row.key: row for row in changes.rows}
        for path, history in self._histories.items():
            newest = history.newest
            if newest.era < self._era or not since < newest.revision <= changes.revision:
                continue
            row = found.get(path)
            if row is None or row.revision < newest.revision:
                return True
            if row.revision == newest.revision and not history.contains(row, self._era):
                return True
        return False

    def _is_impossible(self, row: Row) -> bool:
        if row.revision > self._complete_revision or row in self._outdated:
            return False
        history = self._histories.get(row.key)
        if history is None:
            # A forgotten deletion shows its old row only to a read that is behind.
            return row.value is not None and row.revision > self._forgotten_revision
        if history.contains(row, self._era):
            return False
        newest = history.newest
        return newest.era < self._era or newest.revision <= row.revision

    def rows(self) -> tuple[Row, ...]:
        """:return: all rows that a peer needs to reach the same settings, by revision."""
        return self.rows_since(0)

    def rows_since(self, revision: int) -> tuple[Row, ...]:
        """:return: those of ``rows()`` that are newer than a revision."""
        found = (row for each in self._histories.values() for row in each.list_rows())
        return tuple(sorted((row for row in found if row.revision > revision), key=_get_order))

    def subscribe(self, callback: ViewCallback) -> Callable[[], None]:
        """Subscribe to new snapshots.

        :param callback: called with each snapshot in which an object in force has changed;
            exceptions are logged
        :return: function that ends the subscription
        """
        self._callbacks.append(callback)
        return lambda: self._callbacks.remove(callback)

    def _admit(self, row: Row) -> bool:
        history = self._histories.get(row.key)
        if history is None:
            if row.revision <= self._complete_revision:
                # All rows up to there were received: this one was deleted and then dropped.
                return False
            history = self._histories[row.key] = History(row.key)
        if history.covers(row, self._era):
            return False
        try:
            setting = None if row.value is None else parse_setting(row.key, row.value)
        except SettingsError as error:
            return history.refuse(row, self._era, "; ".join(_explain(error)))
        return history.add(Version(row, setting, self._era))

    def _update_in_force(self, paths: set[str]) -> tuple[str, ...]:
        if any(path.startswith(OWNERS_ROOT) for path in paths):
            versions = [
                version
                for path, history in self._histories.items()
                if path.startswith(OWNERS_ROOT)
                for version in history.versions
            ]
            self._authority = Authority(versions)
            paths = set(self._histories)
        return tuple(path for path in sorted(paths) if self._update_path(path))

    def _update_path(self, path: str) -> bool:
        history = self._histories[path]
        if not history.settle(self._authority):
            return False
        parsed = parse_path(path)
        version = history.in_force
        kind = dict(self._objects.get(parsed.kind, {}))
        if version is None or version.setting is None:
            kind.pop(parsed.name, None)
        else:
            kind[parsed.name] = version.setting
        # Snapshots share these mappings, so a change makes a new one.
        self._objects[parsed.kind] = kind
        if not kind:
            del self._objects[parsed.kind]
        return True

    def _drop_tombstones(self) -> None:
        deleted = [each for each in self._histories.values() if each.is_deleted]
        excess = len(deleted) - TOMBSTONES_KEPT
        if excess <= 0:
            return
        deleted.sort(key=lambda each: each.newest)
        for history in deleted[:excess]:
            newest = history.newest.revision
            if newest <= self._complete_revision and not history.path.startswith(OWNERS_ROOT):
                del self._histories[history.path]
                self._forgotten_revision = max(self._forgotten_revision, newest)

    def _publish(self, changed: tuple[str, ...]) -> None:
        self._newest = max((each.newest for each in self._histories.values()), default=BEFORE_ALL)
        newest = self._newest.revision
        self._view = SettingsView(newest, dict(self._objects))
        if not changed:
            return
        logger.info("settings in force: revision=%d changed=%s", newest, ",".join(changed))
        for callback in tuple(self._callbacks):
            try:
                callback(self._view)
            except Exception:
                logger.exception("settings subscriber raised an exception")


def _get_order(row: Row) -> tuple[int, str]:
    return row.revision, row.key


def _get_version(row: Row) -> tuple[str, int]:
    return row.key, row.revision


def _explain(error: SettingsError) -> Iterable[str]:
    for problem in error.problems:
        yield f"{problem.path}: {problem.cause}" if problem.path else problem.cause


__all__ = ["TOMBSTONES_KEPT", "ApplyResult", "RejectedSetting", "SettingsStore"]
