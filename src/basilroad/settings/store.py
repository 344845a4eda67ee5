"""In-memory store of the settings of one process."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from functools import cached_property

import attrs
import xxhash

from basilroad.coordination.table import Row
from basilroad.settings.authority import OWNERS_ROOT, Authority, Version
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
        self._view = SettingsView()

    @property
    def view(self) -> SettingsView:
        """:return: the settings in force."""
        return self._view

    @property
    def revision(self) -> int:
        """:return: newest revision of a setting in this process; 0 for none."""
        return self._view.revision

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
        new_rows = [row for row in sorted(changes, key=_get_order) if self._admit(row)]
        self._complete_revision = max(self._complete_revision, through)
        if not new_rows:
            return ApplyResult()
        changed = self._update_in_force({row.key for row in new_rows})
        self.__dict__.pop("_digest", None)
        self._drop_tombstones()
        self._publish(new_rows, changed)
        new_versions = {(row.key, row.revision) for row in new_rows}
        refused = tuple(
            each for each in self.refusals if (each.path, each.revision) in new_versions
        )
        for refusal in refused:
            logger.warning("setting refused: %s", refusal)
        return ApplyResult(tuple(new_rows), changed, refused)

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
        if history.covers(row):
            return False
        try:
            setting = None if row.value is None else parse_setting(row.key, row.value)
        except SettingsError as error:
            return history.refuse(row, "; ".join(_explain(error)))
        return history.add(Version(row, setting))

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
            if history.newest <= self._complete_revision and not history.path.startswith(
                OWNERS_ROOT
            ):
                del self._histories[history.path]

    def _publish(self, new_rows: list[Row], changed: tuple[str, ...]) -> None:
        newest = max(self.revision, new_rows[-1].revision)
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


def _explain(error: SettingsError) -> Iterable[str]:
    for problem in error.problems:
        yield f"{problem.path}: {problem.cause}" if problem.path else problem.cause


__all__ = ["TOMBSTONES_KEPT", "ApplyResult", "RejectedSetting", "SettingsStore"]
