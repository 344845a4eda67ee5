"""What happens to the calls of an engine that did not answer a probe."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable, Collection
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

        Those with a copy leave once the engine that has it answers; the others once enough other
        engines have answered.

        :param endpoint: the engine, which did not answer a probe
        """
        since = endpoint.lost_at
        began_at = since - endpoint.silence_s(since)
        names = _list_copies(endpoint)
        copies = asyncio.gather(*(self._move_to_copy(endpoint, name) for name in names))
        try:
            await self._ask_witnesses(endpoint)
            if endpoint.removed or endpoint.last_received_at > since:
                return
            silence, now = self._judge(endpoint), time.monotonic()
            if silence.kind is not SilenceKind.CUT_OFF:
                # this gateway would report engines that all others hear
                endpoint.record_unreachable(now)
            restarted = self._move(endpoint, silence, now - began_at, skipped=names)
            to_copies = sum(await copies)
            restarted += self._move(endpoint, silence, time.monotonic() - began_at)
        finally:
            copies.cancel()
        self.count(silence.kind)
        _LOGGER.info(
            "silence judged",
            extra={
                "endpoint": endpoint.id,
                "data_centre": endpoint.entry.data_centre,
                "kind": silence.kind.value,
                "silence_ms": round(1000 * (now - began_at)),
                "others_silent": silence.silent,
                "others_heard": silence.heard,
                "to_copies": to_copies,
                "restarted": restarted,
                "waiting": len(endpoint.pending),
            },
        )

    def _judge(self, endpoint: Endpoint, unanswered: Collection[Endpoint] = ()) -> Silence:
        engines = self.directory.list_by_service(endpoint.entry.service)
        return find_silence(endpoint, engines, time.monotonic(), unanswered)

    def _move(
        self,
        endpoint: Endpoint,
        silence: Silence,
        silence_s: float,
        skipped: Collection[str] = (),
    ) -> int:
        """Move the calls of a silent engine, except those whose copies are still asked for."""
        engines = self.directory.list_by_service(endpoint.entry.service)

        def choose(call: PendingCall) -> MoveScope | None:
            if call.find_copy() in skipped:
                return None
            restart_s = estimate_restart(call.prompt_tokens, engines, silence)
            return choose_scope(silence, silence_s, restart_s)

        return endpoint.pending.move(choose)

    async def _move_to_copy(self, endpoint: Endpoint, holder_id: str) -> int:
        """:return: number of calls that continue at an engine that has copies of them."""
        holder = self.directory.get(holder_id)
        if holder is None or not await self._confirm(holder):
            return 0
        return endpoint.pending.move(
            lambda call: MoveScope.COPY if call.find_copy() == holder_id else None
        )

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
        await self._wait_for_answers(endpoint, asked)

    async def _wait_for_answers(self, endpoint: Endpoint, asked: Collection[Endpoint]) -> None:
        """Wait for engines that were asked, until the silence can't be widespread."""
        waiting = {asyncio.ensure_future(self.ask(other)): other for other in asked}
        try:
            while waiting and self._judge(endpoint, list(waiting.values())).may_end:
                done, _ = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
                for probe in done:
                    del waiting[probe]
        finally:
            for probe in waiting:
                probe.cancel()


def _list_copies(endpoint: Endpoint) -> set[str]:
    found = {call.find_copy() for call in endpoint.pending}
    return {name for name in found if name is not None}


def _may_ask(endpoint: Endpoint, now: float) -> bool:
    # a probe would take the permit of a call
    if endpoint.notices.limit.is_in_force(now):
        return False
    return not endpoint.is_leaving and endpoint.notices.permits(Purpose.PROBE, now)


__all__ = ["WITNESSES", "SilenceCheck"]
