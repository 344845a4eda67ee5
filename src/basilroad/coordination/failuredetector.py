"""Failure detection of peers by heartbeats."""

from __future__ import annotations

import enum
import time
from collections.abc import Callable

import attrs

from basilroad.coordination.pause import PauseDetector


class Health(enum.Enum):
    """Health of a peer according to its heartbeats."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@attrs.frozen
class FailureDetectorSettings:
    """Settings of the detection of dead peers.

    :param suspect_after_s: seconds without a heartbeat after which a peer is suspect
    :param dead_after_s: seconds without a heartbeat after which a peer is dead
    :param pause_s: seconds between two checks above which this process counts as paused
    """

    suspect_after_s: float = 1.0
    dead_after_s: float = 3.0
    pause_s: float = 0.5


@attrs.frozen
class HealthChange:
    """Change of a peer's health.

    :param peer: name of the peer
    :param before: its health at the previous check
    :param after: its health now
    """

    peer: str
    before: Health
    after: Health


@attrs.define
class _Peer:
    last_seen: float
    reported: Health = Health.ALIVE


class FailureDetector:
    """Detects failed peers by missing heartbeats.

    ``check`` must be called several times per ``pause_s``. After a pause of this process every
    peer gets its full time again, since its heartbeats may be buffered but not yet read.

    :param settings: settings of the detection
    :param clock: monotonic clock in seconds
    """

    def __init__(
        self, settings: FailureDetectorSettings, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._pause_detector = PauseDetector(settings.pause_s, clock)
        self._peers: dict[str, _Peer] = {}

    def record_message(self, peer: str) -> None:
        """Record a heartbeat or any other message.

        :param peer: name of the sender; an unknown peer is added
        """
        tracked = self._peers.get(peer)
        if tracked is None:
            self._peers[peer] = _Peer(self._clock())
            return
        tracked.last_seen = self._clock()

    def forget(self, peer: str) -> None:
        """Stop tracking a peer.

        :param peer: name of the peer
        """
        self._peers.pop(peer, None)

    def state(self, peer: str) -> Health:
        """Evaluate the health of one peer.

        :param peer: name of the peer
        :return: its health; an unknown peer is dead
        """
        tracked = self._peers.get(peer)
        if tracked is None:
            return Health.DEAD
        return self._evaluate(tracked, self._pause_detector.check())

    def check(self) -> list[HealthChange]:
        """Evaluate the health of all peers.

        :return: the changes since the previous check
        """
        resumed_at = self._pause_detector.check()
        changes = []
        for name, peer in self._peers.items():
            health = self._evaluate(peer, resumed_at)
            if health is peer.reported:
                continue
            changes.append(HealthChange(name, peer.reported, health))
            peer.reported = health
        return changes

    def _evaluate(self, peer: _Peer, resumed_at: float) -> Health:
        idle_s = self._clock() - max(peer.last_seen, resumed_at)
        if idle_s >= self._settings.dead_after_s:
            return Health.DEAD
        if idle_s >= self._settings.suspect_after_s:
            return Health.SUSPECT
        return Health.ALIVE


__all__ = ["FailureDetector", "FailureDetectorSettings", "Health", "HealthChange"]
