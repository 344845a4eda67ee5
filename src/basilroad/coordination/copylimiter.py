"""Limit on the endpoints that run one fingerprint at a time."""

from __future__ import annotations

from collections import Counter

from basilroad.coordination.poison import PoisonLedger, PoisonMark, PoisonStatus

ENDPOINTS_ALLOWED = {
    PoisonStatus.CLEAN: 2,
    PoisonStatus.SUSPECT: 1,
    PoisonStatus.ISOLATED: 1,
    PoisonStatus.REFUSED: 0,
}
"""Endpoints that may run one fingerprint at a time."""


class CopyLimiter:
    """Keeps the copies of a request to so few endpoints that three deaths refuse it.

    Each fingerprint has one limiter, in the process that rendezvous hashing chooses for it.
    Copies of a clean or suspect fingerprint may share an endpoint; one that runs alone shares
    it with nothing.

    :param ledger: marks of the fingerprints
    """

    def __init__(self, ledger: PoisonLedger) -> None:
        self._ledger = ledger
        self._running: dict[str, Counter[str]] = {}

    def enter(self, fingerprint: str, endpoint: str) -> bool:
        """Ask to start a request.

        :param fingerprint: hash of the request's content
        :param endpoint: where it is to run
        :return: whether it may start there now
        """
        standing = self._ledger.standing(fingerprint)
        running = self._running.get(fingerprint, Counter())
        if not _may_enter(standing, running, endpoint):
            return False
        running[endpoint] += 1
        self._running[fingerprint] = running
        return True

    def leave(self, fingerprint: str, endpoint: str) -> None:
        """Note the end of a request that the endpoint outlived.

        :param fingerprint: hash of the request's content
        :param endpoint: where it ran
        """
        running = self._running.get(fingerprint)
        if running is None or endpoint not in running:
            return
        running[endpoint] -= 1
        if running[endpoint] == 0:
            self._drop(fingerprint, endpoint)

    def lose(self, fingerprint: str, endpoint: str, death: str, *, alone: bool) -> PoisonStatus:
        """Note the death of an endpoint; the mark comes before the place is free.

        :param fingerprint: hash of the content of a request that ran there
        :param endpoint: the endpoint
        :param death: names this death
        :param alone: whether nothing else ran there
        :return: how the fingerprint is treated from now on
        """
        standing = self._ledger.record_death(PoisonMark(fingerprint, death, alone))
        self._drop(fingerprint, endpoint)
        return standing

    def endpoints(self, fingerprint: str) -> list[str]:
        """:return: endpoints that run a fingerprint now."""
        return sorted(self._running.get(fingerprint, ()))

    def _drop(self, fingerprint: str, endpoint: str) -> None:
        running = self._running.get(fingerprint)
        if running is None:
            return
        running.pop(endpoint, None)
        if not running:
            del self._running[fingerprint]


def _may_enter(standing: PoisonStatus, running: Counter[str], endpoint: str) -> bool:
    if standing is PoisonStatus.ISOLATED:
        return not running
    if endpoint in running and standing is not PoisonStatus.REFUSED:
        return True
    return len(running) < ENDPOINTS_ALLOWED[standing]


__all__ = ["ENDPOINTS_ALLOWED", "CopyLimiter"]
