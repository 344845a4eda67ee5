"""Detection of dead peers and silent streams."""

from __future__ import annotations

import enum
import time
from collections.abc import Callable

import attrs

from basilroad.coordination.pause import PauseDetector


class Health(enum.Enum):
    """What the heartbeats of a peer say about it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@attrs.frozen
class FailureDetectorSettings:
    """Settings of the detection of dead peers.

    :param suspect_after_s: seconds without a heartbeat until a peer is suspect
    :param dead_after_s: seconds without a heartbeat until a peer is dead
    :param pause_s: seconds between two checks above which the own process was paused
    """

    suspect_after_s: float = 1.0
    dead_after_s: float = 3.0
    pause_s: float = 0.5


@attrs.frozen
class HealthChange:
    """A peer whose health changed.

    :param peer: name of the peer
    :param before: its health at the check before
    :param after: its health now
    """

    peer: str
    before: Health
    after: Health


@attrs.define
class _Peer:
    heard: float
    told: Health = Health.ALIVE


class FailureDetector:
    """Judges peers by their heartbeats.

    ``check`` is to be called several times in each ``pause_s``. After a pause of the own
    process every peer gets its time anew, since its heartbeats may be waiting unread.

    :param settings: settings of the detection
    :param clock: seconds that only grow
    """

    def __init__(
        self, settings: FailureDetectorSettings, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._pause = PauseDetector(settings.pause_s, clock)
        self._peers: dict[str, _Peer] = {}

    def record_message(self, peer: str) -> None:
        """Take a heartbeat, or any other message.

        :param peer: who sent it; a peer not known is added
        """
        known = self._peers.get(peer)
        if known is None:
            self._peers[peer] = _Peer(self._clock())
            return
        known.heard = self._clock()

    def forget(self, peer: str) -> None:
        """Judge a peer no more.

        :param peer: name of the peer
        """
        self._peers.pop(peer, None)

    def state(self, peer: str) -> Health:
        """Judge one peer.

        :param peer: name of the peer
        :return: its health; a peer never heard of is dead
        """
        known = self._peers.get(peer)
        if known is None:
            return Health.DEAD
        return self._judge(known, self._pause.check())

    def check(self) -> list[HealthChange]:
        """Judge all peers.

        :return: those whose health is not what the check before said
        """
        woken = self._pause.check()
        changes = []
        for name, peer in self._peers.items():
            health = self._judge(peer, woken)
            if health is peer.told:
                continue
            changes.append(HealthChange(name, peer.told, health))
            peer.told = health
        return changes

    def _judge(self, peer: _Peer, woken: float) -> Health:
        silence = self._clock() - max(peer.heard, woken)
        if silence >= self._settings.dead_after_s:
            return Health.DEAD
        if silence >= self._settings.suspect_after_s:
            return Health.SUSPECT
        return Health.ALIVE


__all__ = ["FailureDetector", "FailureDetectorSettings", "Health", "HealthChange"]
