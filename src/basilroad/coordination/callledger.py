"""Ledger, kept next to an endpoint, of the claimed calls sent to it."""

from __future__ import annotations

import enum
import logging
import time
from collections import OrderedDict
from collections.abc import Callable

import attrs

from basilroad.coordination.pause import RunClock

logger = logging.getLogger(__name__)


class CallState(enum.Enum):
    """State of a claimed call."""

    NOT_STARTED = "never"
    RUNNING = "running"
    RAN = "ran"
    MAY_HAVE_RUN = "may_have_run"


@attrs.frozen
class CallLedgerSettings:
    """Settings of the call ledger.

    :param retain_s: seconds for which an ended call is retained
    :param pause_s: maximum seconds of a pause of the process that count towards ``retain_s``
    :param limit: maximum number of ended calls retained
    """

    retain_s: float = 3600.0
    pause_s: float = 60.0
    limit: int = 20_000


@attrs.frozen
class _Ended:
    state: CallState
    ended_at: float


class CallLedger:
    """Lets each claimed call begin at most once and reports its state.

    A ticket begins with the table revision of its claim, so newer tickets have higher numbers.
    When an ended call is evicted, all tickets up to its revision are treated as evicted: they may
    not begin and are reported as possibly run.
    So a call cannot run twice, whatever the retention period and the limit are.

    :param incarnation: identifies this run of the process; claims for another run are refused
    :param settings: settings of the ledger
    :param clock: monotonic clock in seconds
    """

    def __init__(
        self,
        incarnation: str,
        settings: CallLedgerSettings,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._incarnation = incarnation
        self._settings = settings
        self._clock = clock
        self._run_clock = RunClock(settings.pause_s, clock)
        self._running: set[str] = set()
        self._ended: OrderedDict[str, _Ended] = OrderedDict()
        self._evicted_revision = -1

    def __len__(self) -> int:
        """:return: number of calls retained, running ones included."""
        return len(self._running) + len(self._ended)

    def begin(self, ticket: str, incarnation: str, deadline: float) -> bool:
        """Try to begin a call; to be called right before its first byte is sent.

        :param ticket: ticket of the claim
        :param incarnation: process run that the claim names
        :param deadline: time on the local clock after which the call must not begin
        :return: whether it may begin; true at most once per ticket
        """
        if not _is_valid_ticket(ticket) or incarnation != self._incarnation:
            return False
        if self._clock() >= deadline:
            return False
        self._evict_old()
        if self._find(ticket) is not None:
            return False
        self._running.add(ticket)
        return True

    def finish(self, ticket: str, *, answered: bool) -> None:
        """Record the end of a call.

        :param ticket: ticket of the claim
        :param answered: whether the endpoint answered, which proves that the call ran
        """
        if ticket not in self._running:
            return
        self._running.discard(ticket)
        self._end(ticket, CallState.RAN if answered else CallState.MAY_HAVE_RUN)

    def cancel(self, ticket: str) -> None:
        """Record that a call that began was provably not sent; it may not begin again.

        :param ticket: ticket of the claim
        """
        if ticket not in self._running:
            return
        self._running.discard(ticket)
        self._end(ticket, CallState.NOT_STARTED)

    def settle(self, ticket: str, incarnation: str) -> CallState:
        """Return the state of a call; one that has not begun is refused from then on.

        :param ticket: ticket of the claim
        :param incarnation: process run that the claim names
        :return: its state; ``MAY_HAVE_RUN`` for another run of the process
        """
        if not _is_valid_ticket(ticket) or incarnation != self._incarnation:
            return CallState.MAY_HAVE_RUN
        self._evict_old()
        found = self._find(ticket)
        if found is not None and found is not CallState.NOT_STARTED:
            return found
        self._end(ticket, CallState.NOT_STARTED)
        return CallState.NOT_STARTED

    def _find(self, ticket: str) -> CallState | None:
        if ticket in self._running:
            return CallState.RUNNING
        ended = self._ended.get(ticket)
        if ended is not None:
            return ended.state
        if _parse_revision(ticket) <= self._evicted_revision:
            return CallState.MAY_HAVE_RUN
        return None

    def _end(self, ticket: str, state: CallState) -> None:
        self._ended[ticket] = _Ended(state, self._run_clock())
        self._ended.move_to_end(ticket)
        self._evict_old()

    def _evict_old(self) -> None:
        cutoff = self._run_clock() - self._settings.retain_s
        while self._ended:
            ticket, ended = next(iter(self._ended.items()))
            if ended.ended_at >= cutoff and len(self._ended) <= self._settings.limit:
                return
            del self._ended[ticket]
            self._evicted_revision = max(self._evicted_revision, _parse_revision(ticket))


def _is_valid_ticket(ticket: str) -> bool:
    revision, _, nonce = ticket.partition(":")
    if revision.isdecimal() and revision == str(int(revision)) and nonce:
        return True
    logger.error("malformed ticket, expected revision:nonce ticket=%r", ticket)
    return False


def _parse_revision(ticket: str) -> int:
    return int(ticket.partition(":")[0])


__all__ = ["CallLedger", "CallLedgerSettings", "CallState"]
