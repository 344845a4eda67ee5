"""Positions in one stream at which its endpoints broke the connection."""

from __future__ import annotations

import time

import attrs

from basilroad.gateway.crashes.runs import Run

SIMILAR_EVENTS = 3
"""Maximum difference between similar positions, in events."""

SIMILAR_PROGRESS_RATIO = 1.5
"""Maximum ratio between similar numbers of events since the start of a run."""


@attrs.frozen(eq=False)
class LateBreak:
    """A connection that broke after the beginning of its stream.

    :param run: the run at the endpoint
    :param progress: events of this run
    :param offset: last event of the stream
    :param broken_at: monotonic seconds
    """

    run: Run
    progress: int
    offset: int
    broken_at: float = attrs.field(factory=time.monotonic)

    def is_similar(self, other: LateBreak) -> bool:
        """Check whether a request could have caused both.

        A request that crashes its endpoints does so after as many events on each, or at one
        event of its response.

        :param other: another break of the same stream
        :return: whether their positions are similar
        """
        if abs(self.offset - other.offset) <= SIMILAR_EVENTS:
            return True
        shorter, longer = sorted((self.progress, other.progress))
        return longer <= SIMILAR_PROGRESS_RATIO * shorter + SIMILAR_EVENTS


@attrs.define(eq=False)
class LateBreaks:
    """Breaks of one stream after its beginning."""

    _breaks: list[LateBreak] = attrs.field(factory=list)

    def add(self, found: LateBreak) -> list[LateBreak]:
        """Add a break.

        :param found: the break
        :return: it and the earlier ones at similar positions
        """
        self._breaks.append(found)
        return [known for known in self._breaks if known.is_similar(found)]

    def discard(self, found: LateBreak) -> None:
        """Discard a break whose endpoint did not crash.

        :param found: the break
        """
        self._breaks.remove(found)


__all__ = ["SIMILAR_EVENTS", "SIMILAR_PROGRESS_RATIO", "LateBreak", "LateBreaks"]
