"""Crashes and silences of endpoints while one stream ran there."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from basilroad.gateway.crashes.latebreaks import LateBreak, LateBreaks

if TYPE_CHECKING:
    from basilroad.gateway.calls.call import Call
    from basilroad.gateway.crashes.containment import Containment
    from basilroad.gateway.crashes.runs import Run


class StreamCrashes:
    """Reports the runs of one stream to the containment.

    :param call: the call of the stream
    :param containment: refuses contents that crash endpoints
    """

    def __init__(self, call: Call, containment: Containment) -> None:
        self.has_passed = False
        self._call = call
        self._containment = containment
        self._late_breaks = LateBreaks()

    @property
    def is_refused(self) -> bool:
        """:return: whether the stream may not run again."""
        if self.has_passed:
            return self._containment.refuses_content(self._call)
        return self._containment.find_refusal(self._call) is not None

    def record_whole(self, run: Run) -> None:
        """Record a run that completed the stream.

        :param run: the run
        """
        if run.first_event_at is not None:
            self._containment.record_whole(run)
        self._record_passed(run)

    async def record_failure(self, run: Run, last_event: int, *, is_cut_off: bool) -> None:
        """Record a run that may have processed the request and did not complete the stream.

        :param run: the run
        :param last_event: last event forwarded
        :param is_cut_off: whether the endpoint broke the connection
        """
        if is_cut_off:
            await self._record_break(run, last_event)
        elif self._is_silent(run):
            self._containment.record_silence(run)
        self._record_passed(run)

    def _is_silent(self, run: Run) -> bool:
        endpoint = run.endpoint
        return not self.has_passed and endpoint is not None and endpoint.lost_at >= run.started_at

    async def _record_break(self, run: Run, last_event: int) -> None:
        if not self.has_passed and run.is_at_beginning(time.monotonic()):
            await self._containment.record_break(run)
            return
        found = LateBreak(run, last_event - run.resumed_after, last_event)
        await self._containment.record_late_break(found, self._late_breaks)

    def _record_passed(self, run: Run) -> None:
        self.has_passed = self.has_passed or run.passed


__all__ = ["StreamCrashes"]
