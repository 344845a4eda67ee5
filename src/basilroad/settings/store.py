"""Settings of one process, in memory."""

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
"""Deleted settings that are remembered to be passed on to peers."""

ViewCallback = Callable[[SettingsView], None]


@attrs.frozen
class ApplyResult:
    """What came of a batch of rows.

    :param rows: rows that were news to this process, by revision; pass them on to peers
    :param changed: paths at which another object is in force now
    :param refused: refusals among the news
    """

    rows: tuple[Row, ...] = ()
    changed: tuple[str, ...] = ()
    refused: tuple[RejectedSetting, ...] = ()


class SettingsStore:
    """Settings of one process.

    At each path the newest version that follows the schema, written by an author who was allowed
    to, is in force. A newer one that is refused is recorded and leaves the old one in force.
    Rows may come in any order, twice, and from peers that are behind.
    """

    def __init__(self) -> None:
        self._histories: dict[str, History] = {}
        self._objects: dict[str, dict[str, Setting]] = {}
        self._authority = Authority()
        self._callbacks: list[ViewCallback] = []
        self._complete = 0
        self._view = SettingsView()

    @property
    def view(self) -> SettingsView:
        """:return: what is in force now."""
        return self._view

    @property
    def revision(self) -> int:
        """:return: newest revision of a setting that this process knows; 0 for none."""
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
        """:return: the same for two processes that have the same settings in force."""
        return self._digest

    @property
    def complete(self) -> int:
        """:return: revision up to which no setting is missing here; read the table from here."""
        return self._complete

    @property
    def refusals(self) -> tuple[RejectedSetting, ...]:
        """:return: the newest refusal of each path that is newer than what is in force there."""
        found = (history.refusal for history in self._histories.values())
        return tuple(sorted((each for each in found if each), key=lambda each: each.path))

    def apply(self, changes: Iterable[Row], through: int = 0) -> ApplyResult:
        """Take rows of the table, whoever they came from.

        :param changes: rows below ``settings/``; older ones than known are ignored
        :param through: revision up to which a read of the table, from ``complete`` on, saw all;
            0 for rows that came from a peer
        :return: what was new
        """
        news = [row for row in sorted(changes, key=_get_order) if self._admit(row)]
        self._complete = max(self._complete, through)
        if not news:
            return ApplyResult()
        changed = self._settle({row.key for row in news})
        self.__dict__.pop("_digest", None)
        self._drop_tombstones()
        self._publish(news, changed)
        fresh = {(row.key, row.revision) for row in news}
        refused = tuple(each for each in self.refusals if (each.path, each.revision) in fresh)
        for refusal in refused:
            logger.warning("setting refused: %s", refusal)
        return ApplyResult(tuple(news), changed, refused)

    def rows(self) -> tuple[Row, ...]:
        """:return: all rows that a peer needs to come to the same settings, by revision."""
        return self.rows_since(0)

    def rows_since(self, revision: int) -> tuple[Row, ...]:
        """:return: those of ``rows()`` that are newer than a revision."""
        found = (row for each in self._histories.values() for row in each.list_rows())
        return tuple(sorted((row for row in found if row.revision > revision), key=_get_order))

    def subscribe(self, callback: ViewCallback) -> Callable[[], None]:
        """Be told of each new snapshot.

        :param callback: called with the snapshot; what it raises is logged
        :return: ends the subscription
        """
        self._callbacks.append(callback)
        return lambda: self._callbacks.remove(callback)

    def _admit(self, row: Row) -> bool:
        history = self._histories.get(row.key)
        if history is None:
            if row.revision <= self._complete:
                # All rows up to there are known, so this one was deleted and forgotten since.
                return False
            history = self._histories[row.key] = History(row.key)
        if history.knows(row):
            return False
        try:
            setting = None if row.value is None else parse_setting(row.key, row.value)
        except SettingsError as error:
            return history.refuse(row, "; ".join(_explain(error)))
        return history.add(Version(row, setting))

    def _settle(self, paths: set[str]) -> tuple[str, ...]:
        if any(path.startswith(OWNERS_ROOT) for path in paths):
            versions = [
                version
                for path, history in self._histories.items()
                if path.startswith(OWNERS_ROOT)
                for version in history.versions
            ]
            self._authority = Authority(versions)
            paths = set(self._histories)
        return tuple(path for path in sorted(paths) if self._settle_path(path))

    def _settle_path(self, path: str) -> bool:
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
            if history.newest <= self._complete and not history.path.startswith(OWNERS_ROOT):
                del self._histories[history.path]

    def _publish(self, news: list[Row], changed: tuple[str, ...]) -> None:
        newest = max(self.revision, news[-1].revision)
        self._view = SettingsView(newest, dict(self._objects))
        if not changed:
            return
        logger.info("settings in force: revision=%d changed=%s", newest, ",".join(changed))
        for callback in tuple(self._callbacks):
            try:
                callback(self._view)
            except Exception:
                logger.exception("subscriber of the settings failed")


def _get_order(row: Row) -> tuple[int, str]:
    return row.revision, row.key


def _explain(error: SettingsError) -> Iterable[str]:
    for problem in error.problems:
        yield f"{problem.path}: {problem.cause}" if problem.path else problem.cause


__all__ = ["TOMBSTONES_KEPT", "ApplyResult", "RejectedSetting", "SettingsStore"]
