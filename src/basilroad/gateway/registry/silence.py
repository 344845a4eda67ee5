"""How far a silence of engines reaches, and how long the calls of a silent engine wait.

An engine that falls silent alone is most likely lost. Engines of several data centres that fall
silent together most likely pause, or the network does, and go on a second later: a call that leaves
then has its prompt read again by an engine that gets those of all others too.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Collection, Iterable
from typing import TYPE_CHECKING

import attrs

from basilroad.gateway.dispatch.promptplan import PREFILL_TOKENS_PER_S
from basilroad.gateway.registry.pendingcalls import MoveScope

if TYPE_CHECKING:
    from basilroad.gateway.registry.endpoint import Endpoint

LONG_SILENCE_S = 2.0
"""Silence after which calls leave an endpoint also to queue for another one; sound engines fall
silent for a second or so."""

WIDESPREAD_ENGINES = 2
"""Minimum number of other silent engines for a widespread silence."""

WIDESPREAD_SHARE = 0.3
"""Minimum share of the other engines for a widespread silence; a sixth of the engines of these
fleets may crash at once."""


class SilenceKind(enum.Enum):
    """How far a silence reaches."""

    ALONE = "alone"
    DATA_CENTRE = "data centre"
    WIDESPREAD = "widespread"
    CUT_OFF = "cut off"


@attrs.frozen
class Silence:
    """Silence of an engine beside that of the others of its service.

    :param kind: how far it reaches
    :param silent: number of other engines that are silent
    :param heard: number of engines from which data arrived just now
    """

    kind: SilenceKind
    silent: int = 0
    heard: int = 0

    @property
    def share(self) -> float:
        """:return: share of the other engines that are silent."""
        return self.silent / max(1, self.silent + self.heard)

    @property
    def may_end(self) -> bool:
        """:return: whether the engines are more likely to continue than to be lost."""
        return self.kind in (SilenceKind.WIDESPREAD, SilenceKind.CUT_OFF)


def find_silence(
    endpoint: Endpoint,
    engines: Iterable[Endpoint],
    now: float,
    unanswered: Collection[Endpoint] = (),
) -> Silence:
    """Find how far the silence of an engine reaches.

    :param endpoint: the engine
    :param engines: all engines of its service
    :param now: monotonic seconds
    :param unanswered: engines that were asked and count as silent until they answer
    :return: the silence
    """
    silent, heard = [], []
    for other in engines:
        if other is endpoint:
            continue
        if other in unanswered or other.is_silent(now):
            silent.append(other)
        elif other.is_heard(now):
            heard.append(other)
    found = Silence(SilenceKind.ALONE, len(silent), len(heard))
    if silent and not heard:
        return attrs.evolve(found, kind=SilenceKind.CUT_OFF)
    if found.silent < WIDESPREAD_ENGINES or found.share < WIDESPREAD_SHARE:
        return found
    places = {endpoint.entry.data_centre, *(other.entry.data_centre for other in silent)}
    speaks_there = any(other.entry.data_centre in places for other in heard)
    if len(places) == 1 and not speaks_there:
        return attrs.evolve(found, kind=SilenceKind.DATA_CENTRE)
    return attrs.evolve(found, kind=SilenceKind.WIDESPREAD)


def estimate_restart(prompt_tokens: int, engines: Iterable[Endpoint], silence: Silence) -> float:
    """Estimate the time to the next event of a call that leaves a silent engine without a copy.

    The calls of all silent engines would be run again by those that are left.

    :param prompt_tokens: tokens of its prompt
    :param engines: all engines of the service
    :param silence: the silence
    :return: seconds
    """
    if silence.share >= 1:
        return math.inf
    calls = [engine.load.calls + engine.remote.calls for engine in engines]
    calls_per_engine = sum(calls) / max(1, len(calls))
    ahead = calls_per_engine * silence.share / (1 - silence.share) / 2
    return (1 + ahead) * prompt_tokens / PREFILL_TOKENS_PER_S


def choose_scope(silence: Silence, silence_s: float, restart_s: float) -> MoveScope:
    """Choose how a call of a silent engine may continue elsewhere.

    A call without a copy waits as long as it would wait elsewhere, if the silence may end.

    :param silence: the silence
    :param silence_s: its duration in seconds
    :param restart_s: time to the next event elsewhere in seconds
    :return: how it may continue
    """
    if silence_s >= LONG_SILENCE_S:
        return MoveScope.QUEUE
    if silence.may_end and silence_s < restart_s:
        return MoveScope.COPY
    return MoveScope.FREE_PLACE


__all__ = [
    "LONG_SILENCE_S",
    "Silence",
    "SilenceKind",
    "choose_scope",
    "estimate_restart",
    "find_silence",
]
