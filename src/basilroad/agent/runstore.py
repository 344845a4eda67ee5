"""Store of the generations that an agent runs or retains."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from basilroad.agent.link import EntryLink
    from basilroad.agent.run import Run


class RunStore:
    """Running and recently ended generations, by identifier.

    :param keep_s: seconds for which an ended generation is retained
    """

    def __init__(self, keep_s: float) -> None:
        self.keep_s = keep_s
        self._runs: dict[str, Run] = {}

    def __len__(self) -> int:
        return len(self._runs)

    def get(self, generation: str) -> Run | None:
        """:return: the latest attempt of a generation, if it is stored."""
        return self._runs.get(generation)

    def put(self, run: Run) -> None:
        """Store a run, replacing earlier attempts.

        :param run: the latest attempt
        """
        self._runs[run.generation] = run

    def running(self) -> list[Run]:
        """:return: the runs that have not ended."""
        return [run for run in self._runs.values() if run.end is None]

    def drop_link(self, link: EntryLink) -> None:
        """Remove a disconnected entry from the readers of all runs.

        :param link: the stream that ended
        """
        for run in self._runs.values():
            run.unfollow(link)

    def find_orphans(self, orphan_s: float) -> list[Run]:
        """Find running generations without readers.

        :param orphan_s: seconds without a reader after which a run is an orphan
        :return: the orphans, to be cancelled
        """
        limit = time.monotonic() - orphan_s
        return [
            r
            for r in self.running()
            if r.unfollowed_since_s is not None and r.unfollowed_since_s < limit
        ]

    def expire(self) -> None:
        """Remove the runs that ended more than ``keep_s`` ago."""
        limit = time.monotonic() - self.keep_s
        old = [r for r in self._runs.values() if r.ended_s is not None and r.ended_s < limit]
        for run in old:
            del self._runs[run.generation]


__all__ = ["RunStore"]
