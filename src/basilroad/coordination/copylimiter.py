"""Limit on the number of endpoints that run one fingerprint concurrently."""

from __future__ import annotations

from collections import Counter

from basilroad.coordination.poison import PoisonLedger, PoisonMark, PoisonStatus

ENDPOINTS_ALLOWED = {
    PoisonStatus.CLEAN: 2,
    PoisonStatus.SUSPECT: 1,
    PoisonStatus.ISOLATED: 1,
    PoisonStatus.REFUSED: 0,
}
"""Number of endpoints that may run one fingerprint concurrently."""


class CopyLimiter:
    """Limits the endpoints that run copies of a request, so that three deaths suffice to refuse it.

    Each fingerprint has one limiter, in the process that rendezvous hashing chooses for it.
    Copies of a clean or suspect fingerprint may share an endpoint; of an isolated fingerprint
    only one copy runs at a time.

    :param ledger: ledger of the fingerprints' deaths
    """

    def __init__(self, ledger: PoisonLedger) -> None:
        self._ledger = ledger
        self._running: dict[str, Counter[str]] = {}

    def enter(self, fingerprint: str, endpoint: str) -> bool:
        """Try to start a request.

        :param fingerprint: hash of the request's content
        :param endpoint: endpoint that is to run it
        :return: whether it may start on that endpoint now
        """
        status = self._ledger.standing(fingerprint)
        running = self._running.get(fingerprint, Counter())
        if not _may_run(status, running, endpoint):
            return False
        running[endpoint] += 1
        self._running[fingerprint] = running
        return True

    def leave(self, fingerprint: str, endpoint: str) -> None:
        """Record the end of a request that did not crash its endpoint.

        :param fingerprint: hash of the request's content
        :param endpoint: endpoint that ran it
        """
        running = self._running.get(fingerprint)
        if running is None or endpoint not in running:
            return
        running[endpoint] -= 1
        if running[endpoint] == 0:
            self._remove(fingerprint, endpoint)

    def record_death(
        self, fingerprint: str, endpoint: str, death: str, *, alone: bool
    ) -> PoisonStatus:
        """Record the death of an endpoint, then stop counting it towards the limit.

        :param fingerprint: hash of the content of a request that it ran
        :param endpoint: endpoint that died
        :param death: identifier of this death
        :param alone: whether the endpoint ran nothing else
        :return: how the fingerprint is treated from now on
        """
        status = self._ledger.record_death(PoisonMark(fingerprint, death, alone))
        self._remove(fingerprint, endpoint)
        return status

    def endpoints(self, fingerprint: str) -> list[str]:
        """:return: endpoints that currently run a fingerprint."""
        return sorted(self._running.get(fingerprint, ()))

    def _remove(self, fingerprint: str, endpoint: str) -> None:
        running = self._running.get(fingerprint)
        if running is None:
            return
        running.pop(endpoint, None)
        if not running:
            del self._running[fingerprint]


def _may_run(status: PoisonStatus, running: Counter[str], endpoint: str) -> bool:
    if status is PoisonStatus.ISOLATED:
        return not running
    if endpoint in running and status is not PoisonStatus.REFUSED:
        return True
    return len(running) < ENDPOINTS_ALLOWED[status]


__all__ = ["ENDPOINTS_ALLOWED", "CopyLimiter"]
