"""Polling for the outcome of a request that another process claimed."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import attrs

from basilroad.coordination.claim import Claim, ClaimState
from basilroad.coordination.claims import Claims
from basilroad.coordination.table import TableError


@attrs.frozen
class ClaimPollerSettings:
    """Settings of the polling for an outcome.

    :param first_s: seconds before the first read
    :param limit_s: maximum seconds between reads, which back off from ``first_s``
    """

    first_s: float = 0.05
    limit_s: float = 1.0


class ClaimPoller:
    """Polls a claim until it changes.

    :param claims: service that reads the claim
    :param settings: settings of the polling
    :param clock: monotonic clock in seconds
    """

    def __init__(
        self,
        claims: Claims,
        settings: ClaimPollerSettings,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._claims = claims
        self._settings = settings
        self._clock = clock

    async def wait(self, claim: Claim, timeout_s: float) -> Claim | None:
        """Wait until a claim has an outcome, is taken over or is deleted.

        :param claim: the claim as last read
        :param timeout_s: maximum seconds to wait
        :return: the current claim, unchanged after a timeout; ``None`` if its key is free
        """
        deadline = self._clock() + timeout_s
        wait_s = self._settings.first_s
        current: Claim | None = claim
        while current is not None and not _has_changed(claim, current):
            remaining_s = deadline - self._clock()
            if remaining_s <= 0:
                break
            await asyncio.sleep(min(wait_s, remaining_s))
            wait_s = min(2 * wait_s, self._settings.limit_s)
            current = await self._read(current)
        return current

    async def _read(self, current: Claim) -> Claim | None:
        record = current.record
        try:
            return await self._claims.read(record.workspace, record.caller, record.key)
        except TableError:
            return current


def _has_changed(before: Claim, after: Claim) -> bool:
    if after.record.state is ClaimState.RAN:
        return True
    return after.record.nonce != before.record.nonce


__all__ = ["ClaimPoller", "ClaimPollerSettings"]
