"""Changes of the listing that a reader repeats to its followers."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import Generic, Protocol, TypeVar

import attrs

from basilroad.gateway.revision import Revision

REPEAT_S = 1.0
"""Time for which a change is repeated, as datagrams get lost."""

MAX_CHANGES_SENT = 10
"""Changes per update; entries take about 100 of the 1400 bytes of a datagram."""

LOG_LENGTH = 256
"""Changes that a reader keeps for repetition, more than the endpoints that change in that time."""


class Change(Protocol):
    """A change with its revision."""

    @property
    def revision(self) -> Revision:
        """:return: store revision of the change."""


_Change = TypeVar("_Change", bound=Change)


@attrs.frozen
class Part(Generic[_Change]):
    """Changes that one update carries.

    :param base: revision after which all changes are included
    :param revision: revision up to which they are complete
    :param changes: the changes in order
    """

    base: Revision
    revision: Revision
    changes: list[_Change]


@attrs.frozen
class Span:
    """Two revisions between which not all changes are known, only what differs in the end.

    Entries that came and went in between are missing. What was known at the first revision, or was
    complete at the second one, is not affected.

    :param start: the first one
    :param end: the second one
    """

    start: Revision
    end: Revision

    def is_within(self, revision: Revision) -> bool:
        """:return: whether a state of this revision may hold entries that are missing."""
        return self.start < revision < self.end


class RecentChanges(Generic[_Change]):
    """Recent changes, and the revisions between which they are complete."""

    def __init__(self) -> None:
        self._log: deque[tuple[float, _Change]] = deque(maxlen=LOG_LENGTH)
        self._base = self.revision = Revision(0, 0)
        self._unseen: Span | None = None

    @property
    def unseen(self) -> Span | None:
        """:return: the revisions, after those of the base, between which changes are missing."""
        if self._unseen is not None and self._unseen.end <= self._base:
            self._unseen = None
        return self._unseen

    def record_unseen(self, span: Span) -> None:
        """Record that the changes between two revisions are only what differs in the end.

        :param span: the revisions
        """
        known = self.unseen
        if known is not None:
            span = Span(min(known.start, span.start), max(known.end, span.end))
        self._unseen = span

    def record_listing(self, revision: Revision) -> None:
        """Record a complete listing, which earlier changes don't lead up to.

        :param revision: revision of the listing
        """
        self._log.clear()
        self._base = self.revision = revision
        self._unseen = None

    def record(self, changes: Sequence[_Change], revision: Revision, now: float) -> None:
        """Record changes.

        :param changes: the changes in order
        :param revision: revision up to which they are complete
        :param now: monotonic seconds
        """
        for change in changes:
            if len(self._log) == LOG_LENGTH:
                self._base = self._log[0][1].revision
            self._log.append((now, change))
        self.revision = max(self.revision, revision)

    def split(self, now: float) -> list[Part[_Change]]:
        """Split the changes that are still repeated into parts that fit into an update each.

        :param now: monotonic seconds
        :return: the parts in order, at least one
        """
        while self._log and now - self._log[0][0] > REPEAT_S:
            self._base = self._log.popleft()[1].revision
        parts: list[Part[_Change]] = []
        changes = [change for _, change in self._log]
        base = self._base
        while True:
            part, changes = _split_first(changes)
            revision = part[-1].revision if changes else self.revision
            parts.append(Part(base, revision, part))
            if not changes:
                return parts
            base = revision


def _split_first(changes: list[_Change]) -> tuple[list[_Change], list[_Change]]:
    end = MAX_CHANGES_SENT
    # changes of one revision stay together
    while 0 < end < len(changes) and changes[end].revision == changes[end - 1].revision:
        end += 1
    return changes[:end], changes[end:]


__all__ = ["Part", "RecentChanges", "Span"]
