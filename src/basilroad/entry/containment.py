"""How far a request may go on that endpoints died under."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from basilroad.coordination.poison import PoisonLedger, PoisonMark, PoisonSettings, PoisonStatus
from basilroad.errors import ErrorKind, refuse
from basilroad.peers.serialization import pack_marks, unpack_marks

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilroad.peers.wire import peer_pb2 as wire

_LOGGER = logging.getLogger(__name__)


class Containment:
    """Keeps the deaths that contents are implicated in, and tells them to the agents.

    :param are_several: tells whether several requests of a content are on their way here
    :param spread: sends marks to all agents
    """

    def __init__(
        self, are_several: Callable[[str], bool], spread: Callable[[wire.PoisonMarks], None]
    ) -> None:
        self._ledger = PoisonLedger(PoisonSettings())
        self._are_several = are_several
        self._spread = spread
        self._sent = 0

    def record_death(self, request: str, mark: PoisonMark) -> None:
        """Note that a request ran on an endpoint when it died.

        :param request: names it in the log
        :param mark: the death and where it came
        """
        standing = self._ledger.record_death(mark)
        _LOGGER.warning(
            "request implicated",
            extra={"what": "poison", "request": request, "standing": standing.value},
        )
        self._spread_new()

    def clear(self, fingerprint: str) -> None:
        """Note that a request of a content ended whole.

        :param fingerprint: of the content
        """
        if self.is_suspect(fingerprint):
            self._ledger.clear(fingerprint)
            self._spread_new()

    def check(self, fingerprint: str) -> None:
        """Refuse what has taken too many endpoints down.

        :param fingerprint: of the content
        :raises RefusedError: it is poison
        """
        if self._ledger.standing(fingerprint) is PoisonStatus.REFUSED:
            raise refuse(ErrorKind.POISONED, "endpoints died each time this request ran")

    def is_suspect(self, fingerprint: str) -> bool:
        """:return: whether only one request of this content may run at a time."""
        return self._ledger.standing(fingerprint) is not PoisonStatus.CLEAN

    def requires_isolation(self, fingerprint: str) -> bool:
        """:return: whether a request of this content must run with no neighbour."""
        standing = self._ledger.standing(fingerprint)
        if standing is PoisonStatus.SUSPECT:
            # copies elsewhere may have cost endpoints of which this entry hasn't heard yet
            return self._are_several(fingerprint)
        return standing is PoisonStatus.ISOLATED

    def clearance_tokens(self, fingerprint: str) -> int | None:
        """:return: new tokens that clear a content; ``None`` if there is nothing to clear."""
        return self._ledger.clearance_tokens(fingerprint)

    def merge_remote(self, message: wire.PoisonMarks) -> None:
        """Take marks of other entries.

        :param message: the marks
        """
        self._ledger.merge(unpack_marks(message))

    def pack_all(self) -> wire.PoisonMarks:
        """:return: all marks, for an agent that has answered."""
        return pack_marks(self._ledger.marks_since(0).marks)

    def expire(self) -> None:
        """Forget old marks."""
        self._ledger.expire()

    def _spread_new(self) -> None:
        batch = self._ledger.marks_since(self._sent)
        self._sent = batch.serial
        self._spread(pack_marks(batch.marks))


__all__ = ["Containment"]
