"""Wait for the outcome of an order that another process claimed."""

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
    """Settings of the wait for an outcome.

    :param first_s: seconds before the first read
    :param limit_s: most seconds between two reads, which grow from the first
    """

    first_s: float = 0.05
    limit_s: float = 1.0


class ClaimPoller:
    """Reads a claim again and again until it says more.

    :param claims: where the claim is read
    :param settings: settings of the wait
    :param clock: seconds that only grow
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

    async def wait(self, claim: Claim, patience_s: float) -> Claim | None:
        """Wait until a claim has its outcome, is taken over or is gone.

        :param claim: the claim as last read
        :param patience_s: seconds to wait
        :return: the claim as it stands, the same if nothing came; ``None`` if its key is free
        """
        deadline = self._clock() + patience_s
        wait_s = self._settings.first_s
        known: Claim | None = claim
        while known is not None and not _has_changed(claim, known):
            left = deadline - self._clock()
            if left <= 0:
                break
            await asyncio.sleep(min(wait_s, left))
            wait_s = min(2 * wait_s, self._settings.limit_s)
            known = await self._read(known)
        return known

    async def _read(self, known: Claim) -> Claim | None:
        record = known.record
        try:
            return await self._claims.read(record.workspace, record.caller, record.key)
        except TableError:
            return known


def _has_changed(before: Claim, now: Claim) -> bool:
    if now.record.state is ClaimState.RAN:
        return True
    return now.record.nonce != before.record.nonce


__all__ = ["ClaimPoller", "ClaimPollerSettings"]
