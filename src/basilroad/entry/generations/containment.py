"""Containment of requests that were running when endpoints failed."""

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
    """Tracks the endpoint failures that contents are implicated in and reports them to agents.

    :param has_duplicates: whether several requests with a content are in flight here
    :param broadcast: sends marks to all agents
    """

    def __init__(
        self, has_duplicates: Callable[[str], bool], broadcast: Callable[[wire.PoisonMarks], None]
    ) -> None:
        self._ledger = PoisonLedger(PoisonSettings())
        self._has_duplicates = has_duplicates
        self._broadcast = broadcast
        self._sent_serial = 0

    def record_death(self, request: str, mark: PoisonMark) -> None:
        """Record that a request was running on an endpoint when the endpoint failed.

        :param request: request key for the log
        :param mark: the endpoint failure and the progress of the request
        """
        standing = self._ledger.record_death(mark)
        _LOGGER.warning(
            "request implicated in an endpoint death",
            extra={"what": "poison", "request": request, "standing": standing.value},
        )
        self._broadcast_new()

    def clear(self, fingerprint: str) -> None:
        """Record that a request with a content completed.

        :param fingerprint: fingerprint of the content
        """
        if self.is_suspect(fingerprint):
            self._ledger.clear(fingerprint)
            self._broadcast_new()

    def check(self, fingerprint: str) -> None:
        """Refuse a content that is implicated in too many endpoint failures.

        :param fingerprint: fingerprint of the content
        :raises RefusedError: the content is poison
        """
        if self._ledger.standing(fingerprint) is PoisonStatus.REFUSED:
            raise refuse(
                ErrorKind.POISONED, "refused because endpoints died while this request was running"
            )

    def is_suspect(self, fingerprint: str) -> bool:
        """:return: whether only one request with this content may run at a time."""
        return self._ledger.standing(fingerprint) is not PoisonStatus.CLEAN

    def requires_isolation(self, fingerprint: str) -> bool:
        """:return: whether a request with this content must be the only one on its endpoint."""
        standing = self._ledger.standing(fingerprint)
        if standing is PoisonStatus.SUSPECT:
            # duplicates may have caused endpoint failures that are not reported to this entry yet
            return self._has_duplicates(fingerprint)
        return standing is PoisonStatus.ISOLATED

    def clearance_tokens(self, fingerprint: str) -> int | None:
        """:return: number of new tokens that clears a content; ``None`` if it is not suspect."""
        return self._ledger.clearance_tokens(fingerprint)

    def merge_remote(self, message: wire.PoisonMarks) -> None:
        """Merge marks of other entries.

        :param message: the marks
        """
        self._ledger.merge(unpack_marks(message))

    def pack_all(self) -> wire.PoisonMarks:
        """:return: all marks, for an agent that has connected."""
        return pack_marks(self._ledger.marks_since(0).marks)

    def expire(self) -> None:
        """Remove expired marks."""
        self._ledger.expire()

    def _broadcast_new(self) -> None:
        batch = self._ledger.marks_since(self._sent_serial)
        self._sent_serial = batch.serial
        self._broadcast(pack_marks(batch.marks))


__all__ = ["Containment"]
