"""Checks of engines before others fetch prompts from them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import attrs

from basilroad.gateway.registry.reports import REPORT_TIMEOUT_S
from basilroad.gateway.versions.startcheck import StartVerdict

if TYPE_CHECKING:
    from basilroad.gateway.dispatch.selection import Locality
    from basilroad.gateway.registry.endpoint import Endpoint
    from basilroad.gateway.versions.startcheck import StartCheck

CONFIRMED = (StartVerdict.NAMED, StartVerdict.NEVER_NAMED)


async def _ask_nobody(_endpoint: Endpoint) -> bool:
    return False


@attrs.define
class SourceCheck:
    """Checks that an engine lives and has not restarted, since a fetch from one that sends nothing
    holds up a call for longer than a prefill.

    :param start_check: asks engines for their start
    :param place: location of this gateway
    :param ask_others: asks other gateways whether they reach an engine
    """

    start_check: StartCheck
    place: Locality
    ask_others: Callable[[Endpoint], Awaitable[bool]] = _ask_nobody

    async def confirm(self, endpoint: Endpoint) -> bool:
        """Check an engine from here or, if it is silent to this gateway only, from others.

        :param endpoint: the engine
        :return: whether another engine may fetch from it
        """
        if endpoint.is_heard(time.monotonic()):
            return True
        if _is_limited(endpoint):
            return False
        silent_at = max(endpoint.lost_at, endpoint.last_failed_at)
        if silent_at > max(endpoint.last_received_at, endpoint.cut_at):
            return await self.ask_others(endpoint)
        return await self.probe(endpoint)

    async def probe(self, endpoint: Endpoint) -> bool:
        """Check an engine from here, by what was received from it or by its report.

        :param endpoint: the engine
        :return: whether it runs since its listed start
        """
        if endpoint.is_heard(time.monotonic()):
            return True
        if _is_limited(endpoint):
            return False
        limit_s = REPORT_TIMEOUT_S + 2 * self.place.distance_s(endpoint.entry.data_centre)
        try:
            async with asyncio.timeout(limit_s):
                verdict = await self.start_check.ask(endpoint, endpoint.entry.started_ms)
        except TimeoutError:
            return False
        return verdict in CONFIRMED


def _is_limited(endpoint: Endpoint) -> bool:
    # a report would take the permit of a call
    return endpoint.notices.limit.is_in_force(time.monotonic())


__all__ = ["SourceCheck"]
