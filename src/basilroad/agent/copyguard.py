"""Reports to entries which copies of a suspect content run here, so that none is added."""

from __future__ import annotations

from typing import TYPE_CHECKING

from basilroad.peers.copykey import read_copies_key
from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from basilroad.agent.knowndeaths import KnownDeaths
    from basilroad.agent.run import Run
    from basilroad.agent.runstore import RunStore
    from basilroad.coordination.poison import PoisonLedger

FENCE_S = 5.0
"""Age up to which a death may be unknown to an entry; marks take much less to reach all entries."""


class CopyGuard:
    """Finds running copies of suspect contents, and refuses starts that precede a lookup.

    An entry looks for copies before it starts a suspect. A start that was sent before the entry
    knew of a death would run beside that suspect, so it is refused.

    :param ledger: deaths known to this agent
    :param runs: generations of this agent
    """

    def __init__(self, ledger: PoisonLedger, runs: RunStore) -> None:
        self._ledger = ledger
        self._runs = runs

    def find(self, request: wire.Find, known: KnownDeaths) -> wire.Found:
        """Look for a running copy that may still crash its endpoint.

        :param request: has the key of a lookup of copies
        :param known: deaths that the entry knows; those sent to it before the answer are added
        :return: where a copy runs; ``None`` without one
        """
        fingerprint = read_copies_key(request.key)
        known.put(fingerprint, self._list_deaths(fingerprint, float("inf")))
        run = self._find_run(fingerprint)
        if run is None:
            return wire.Found(call=request.call, done=False)
        location = wire.Location(
            key=request.key, generation=run.generation, attempt=run.start.attempt
        )
        return wire.Found(call=request.call, done=True, location=location)

    def may_start(self, fingerprint: str, known: KnownDeaths) -> bool:
        """Check whether an entry knew all deaths of a content when it sent a start.

        :param fingerprint: fingerprint of the content
        :param known: deaths that the entry knows
        :return: whether the start may be accepted
        """
        return known.includes(fingerprint, self._list_deaths(fingerprint, FENCE_S))

    def _list_deaths(self, fingerprint: str, age_s: float) -> frozenset[str]:
        marks = self._ledger.counted_marks(fingerprint)
        return frozenset(mark.death for mark in marks if mark.age_s < age_s)

    def _find_run(self, fingerprint: str) -> Run | None:
        passed_tokens = self._ledger.clearance_tokens(fingerprint)
        for run in self._runs.running():
            has_passed = passed_tokens is not None and run.decoded >= passed_tokens
            if run.start.fingerprint == fingerprint and not has_passed:
                return run
        return None


__all__ = ["FENCE_S", "CopyGuard"]
