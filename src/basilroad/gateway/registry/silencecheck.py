"""What happens to the calls of an engine that did not answer a probe."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import attrs

from basilroad.gateway.registry.notices import Purpose
from basilroad.gateway.registry.pendingcalls import MoveScope, PendingCall
from basilroad.gateway.registry.silence import (
    Silence,
    SilenceKind,
    choose_scope,
    estimate_restart,
    find_silence,
)

if TYPE_CHECKING:
    from basilroad.gateway.registry.directory import Directory
    from basilroad.gateway.registry.endpoint import Endpoint

WITNESSES = 6
"""Number of other engines whose state is known before calls leave a silent engine without a copy;
so many show a silence of half of the engines nine times in ten."""

_LOGGER = logging.getLogger(__name__)


def count_nothing(_kind: SilenceKind) -> None:
    """Count no silence."""


@attrs.frozen
class SilenceCheck:
    """Moves the calls of silent engines, or lets them wait.

    :param directory: known endpoints
    :param ask: probes an engine, which records the result, and returns whether it answered
    :param generator: random number generator
    :param count: counts a silence that was judged
    """

    directory: Directory
    ask: Callable[[Endpoint], Awaitable[bool]]
    generator: random.Random = attrs.field(factory=random.Random)
    count: Callable[[SilenceKind], None] = count_nothing

    async def resolve(self, endpoint: Endpoint) -> None:
        """Move the calls of a silent engine as far as that is better than waiting.

        Those with a copy leave once the engine that has it answers; the others after enough other
        engines were asked.

        :param endpoint: the engine, which did not answer a probe
        """
        since = endpoint.lost_at
        copied = Counter[str]()
        asked = [self._move_to_copies(endpoint, name, copied) for name in _list_copies(endpoint)]
        await asyncio.gather(*asked, self._ask_witnesses(endpoint))
        now = time.monotonic()
        if endpoint.removed or endpoint.last_received_at > since:
            return
        engines = self.directory.list_by_service(endpoint.entry.service)
        others = [engine for engine in engines if engine is not endpoint]
        silence, silence_s = find_silence(endpoint, others, now), endpoint.silence_s(now)
        if silence.kind is not SilenceKind.CUT_OFF:
            # this gateway would report engines that all others hear
            endpoint.record_unreachable(now)

        def choose(call: PendingCall) -> MoveScope:
            restart_s = estimate_restart(call.prompt_tokens, engines, silence)
            return choose_scope(silence, silence_s, restart_s)

        moved = endpoint.pending.move(choose) + copied
        self.count(silence.kind)
        _log_silence(endpoint, silence, silence_s, moved)

    async def _move_to_copies(
        self, endpoint: Endpoint, holder_id: str, counts: Counter[str]
    ) -> None:
        holder = self.directory.get(holder_id)
        if holder is None or not await self._confirm(holder):
            return
        moved = endpoint.pending.move(
            lambda call: MoveScope.COPY if call.find_copy() == holder_id else None
        )
        counts["copy"] += moved["copy"]

    async def _confirm(self, holder: Endpoint) -> bool:
        now = time.monotonic()
        if holder.is_heard(now):
            return True
        return holder.is_available(now) and _may_ask(holder, now) and await self.ask(holder)

    async def _ask_witnesses(self, endpoint: Endpoint) -> None:
        now = time.monotonic()
        known = 0
        used: list[Endpoint] = []
        unused: list[Endpoint] = []
        for other in self.directory.list_by_service(endpoint.entry.service):
            if other is endpoint:
                continue
            if other.is_heard(now) or other.is_silent(now):
                known += 1
            elif _may_ask(other, now):
                (used if other.pending else unused).append(other)
        # those with calls are about to be probed
        missing = max(0, WITNESSES - known - len(used))
        asked = used + self.generator.sample(unused, min(missing, len(unused)))
        await asyncio.gather(*map(self.ask, asked))


def _list_copies(endpoint: Endpoint) -> set[str]:
    found = {call.find_copy() for call in endpoint.pending}
    return {name for name in found if name is not None}


def _may_ask(endpoint: Endpoint, now: float) -> bool:
    # a probe would take the permit of a call
    if endpoint.notices.limit.is_in_force(now):
        return False
    return not endpoint.is_leaving and endpoint.notices.permits(Purpose.PROBE, now)


def _log_silence(
    endpoint: Endpoint, silence: Silence, silence_s: float, moved: Counter[str]
) -> None:
    _LOGGER.info(
        "silence judged",
        extra={
            "endpoint": endpoint.id,
            "data_centre": endpoint.entry.data_centre,
            "kind": silence.kind.value,
            "silence_ms": round(1000 * silence_s),
            "others_silent": silence.silent,
            "others_heard": silence.heard,
            "to_copies": moved["copy"],
            "restarted": moved["restart"],
            "waiting": moved["wait"],
        },
    )


__all__ = ["WITNESSES", "SilenceCheck"]
