"""Generations that an agent runs or keeps."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from basilroad.agent.link import EntryLink
    from basilroad.agent.run import Run


class RunStore:
    """Running and lately ended generations, by identifier.

    :param keep_s: seconds that an ended one is kept
    """

    def __init__(self, keep_s: float) -> None:
        self.keep_s = keep_s
        self._runs: dict[str, Run] = {}

    def __len__(self) -> int:
        return len(self._runs)

    def get(self, generation: str) -> Run | None:
        """:return: the newest attempt of a generation, if it is kept."""
        return self._runs.get(generation)

    def put(self, run: Run) -> None:
        """Keep a run in place of earlier attempts.

        :param run: the newest attempt
        """
        self._runs[run.generation] = run

    def running(self) -> list[Run]:
        """:return: the runs that have not ended."""
        return [run for run in self._runs.values() if run.end is None]

    def drop_link(self, link: EntryLink) -> None:
        """Forget a lost entry as a reader.

        :param link: the stream that ended
        """
        for run in self._runs.values():
            run.unfollow(link)

    def find_orphans(self, orphan_s: float) -> list[Run]:
        """Find running generations that nobody follows.

        :param orphan_s: seconds without a reader
        :return: those to be cancelled
        """
        limit = time.monotonic() - orphan_s
        return [r for r in self.running() if r.unread_s is not None and r.unread_s < limit]

    def expire(self) -> None:
        """Drop what ended long ago."""
        limit = time.monotonic() - self.keep_s
        old = [r for r in self._runs.values() if r.ended_s is not None and r.ended_s < limit]
        for run in old:
            del self._runs[run.generation]


__all__ = ["RunStore"]
