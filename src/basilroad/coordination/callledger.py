"""Memory, beside an endpoint, of the claimed calls that it was sent."""

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
    """What became of a claimed call."""

    NOT_STARTED = "never"
    RUNNING = "running"
    RAN = "ran"
    MAY_HAVE_RUN = "may_have_run"


@attrs.frozen
class CallLedgerSettings:
    """Settings of the memory of calls.

    :param retain_s: seconds for which the end of a call is remembered
    :param pause_s: most seconds that a pause of the process counts as
    :param limit: most calls that are remembered beside the running ones
    """

    retain_s: float = 3600.0
    pause_s: float = 60.0
    limit: int = 20_000


@attrs.frozen
class _Ended:
    state: CallState
    ended: float


class CallLedger:
    """Lets each claimed call begin at most once, and tells what became of it.

    Tickets grow with the table's revision. When the end of a call is forgotten, all tickets
    up to its revision are treated as forgotten: they may not begin and may have run. So
    neither the time for which calls are remembered nor their number makes a call run twice.

    :param incarnation: names this run of the process; claims that name another are refused
    :param settings: settings of the memory
    :param clock: seconds that only grow
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
        self._age = RunClock(settings.pause_s, clock)
        self._running: set[str] = set()
        self._ended: OrderedDict[str, _Ended] = OrderedDict()
        self._forgotten = -1

    def __len__(self) -> int:
        """:return: calls that are remembered."""
        return len(self._running) + len(self._ended)

    def begin(self, ticket: str, incarnation: str, deadline: float) -> bool:
        """Ask to begin a call; to be asked right before its first byte is sent.

        :param ticket: ticket of the claim
        :param incarnation: run of the process that the claim names
        :param deadline: time by the own clock after which the call must not begin
        :return: whether it may begin; true at most once for a ticket
        """
        if not _is_ticket(ticket) or incarnation != self._incarnation:
            return False
        if self._clock() >= deadline:
            return False
        self._forget_old()
        if self._find(ticket) is not None:
            return False
        self._running.add(ticket)
        return True

    def finish(self, ticket: str, *, answered: bool) -> None:
        """Note the end of a call.

        :param ticket: ticket of the claim
        :param answered: whether the endpoint answered, so that the call surely ran
        """
        if ticket not in self._running:
            return
        self._running.discard(ticket)
        self._end(ticket, CallState.RAN if answered else CallState.MAY_HAVE_RUN)

    def cancel(self, ticket: str) -> None:
        """Note that a call that began was surely not sent; it may not begin again.

        :param ticket: ticket of the claim
        """
        if ticket not in self._running:
            return
        self._running.discard(ticket)
        self._end(ticket, CallState.NOT_STARTED)

    def settle(self, ticket: str, incarnation: str) -> CallState:
        """Tell what became of a call; one that never began is refused from then on.

        :param ticket: ticket of the claim
        :param incarnation: run of the process that the claim names
        :return: what became of it
        """
        if not _is_ticket(ticket) or incarnation != self._incarnation:
            return CallState.MAY_HAVE_RUN
        self._forget_old()
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
        if _read_revision(ticket) <= self._forgotten:
            return CallState.MAY_HAVE_RUN
        return None

    def _end(self, ticket: str, state: CallState) -> None:
        self._ended[ticket] = _Ended(state, self._age())
        self._ended.move_to_end(ticket)
        self._forget_old()

    def _forget_old(self) -> None:
        oldest = self._age() - self._settings.retain_s
        while self._ended:
            ticket, ended = next(iter(self._ended.items()))
            if ended.ended >= oldest and len(self._ended) <= self._settings.limit:
                return
            del self._ended[ticket]
            self._forgotten = max(self._forgotten, _read_revision(ticket))


def _is_ticket(ticket: str) -> bool:
    revision, _, nonce = ticket.partition(":")
    if revision.isdecimal() and revision == str(int(revision)) and nonce:
        return True
    logger.error("ticket not understood ticket=%r", ticket)
    return False


def _read_revision(ticket: str) -> int:
    return int(ticket.partition(":")[0])


__all__ = ["CallLedger", "CallLedgerSettings", "CallState"]
