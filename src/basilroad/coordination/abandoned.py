"""Background deletion of claims that were abandoned before their request was sent."""

from __future__ import annotations

import logging
import time
from collections import OrderedDict
from collections.abc import Callable

import attrs
from mode import Service

from basilroad.coordination.claim import Claim, ClaimState, read_claim
from basilroad.coordination.claimsettings import ClaimsSettings
from basilroad.coordination.decoding import DecodeError
from basilroad.coordination.groupcommit import GroupCommit
from basilroad.coordination.table import Table, TableError, Write

logger = logging.getLogger(__name__)


@attrs.define
class _Abandoned:
    path: str
    added_at: float
    due_at: float
    wait_s: float


class AbandonedClaims(Service):
    """Remembers the nonces of abandoned claims and deletes their rows, even those written late.

    :param table: table that holds the claims
    :param commits: group commit for that table
    :param settings: settings of the claims
    :param clock: monotonic clock in seconds
    """

    def __init__(
        self,
        table: Table,
        commits: GroupCommit,
        settings: ClaimsSettings,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._table = table
        self._commits = commits
        self._settings = settings
        self._clock = clock
        self._nonces: OrderedDict[str, _Abandoned] = OrderedDict()

    def __contains__(self, nonce: object) -> bool:
        return nonce in self._nonces

    def __len__(self) -> int:
        return len(self._nonces)

    def add(self, nonce: str, path: str) -> None:
        """Abandon a claim; its request was not sent and must not be sent later.

        :param nonce: nonce of the claim
        :param path: path of its row
        """
        now = self._clock()
        wait_s = self._settings.clean_s
        self._nonces[nonce] = _Abandoned(path, now, now + wait_s, wait_s)
        while len(self._nonces) > self._settings.abandoned_limit:
            # An evicted claim is resolved by the agent that the claim names.
            self._nonces.popitem(last=False)

    async def clean(self, nonce: str) -> bool:
        """Delete the row of an abandoned claim if it exists.

        :param nonce: nonce of the claim
        :return: whether the row is absent; a write still in flight may create it later
        """
        abandoned = self._nonces.get(nonce)
        if abandoned is None:
            return True
        try:
            claim = read_claim(await self._table.read(abandoned.path))
        except (TableError, DecodeError) as error:
            logger.warning("failed to read abandoned claim path=%s error=%r", abandoned.path, error)
            return False
        if claim is None or claim.record.nonce != nonce:
            return True
        return await self._delete(claim)

    async def clean_due(self) -> None:
        """Clean the claims that are due and evict those older than ``abandoned_s``."""
        now = self._clock()
        self._evict_old(now)
        due = [nonce for nonce, abandoned in self._nonces.items() if abandoned.due_at <= now]
        for nonce in due[: self._settings.clean_limit]:
            abandoned = self._nonces.get(nonce)
            if abandoned is None:
                continue
            abandoned.wait_s *= 2
            abandoned.due_at = now + abandoned.wait_s
            await self.clean(nonce)

    async def _delete(self, claim: Claim) -> bool:
        if claim.record.state is not ClaimState.CLAIMED:
            logger.error("abandoned claim has an outcome and is kept path=%s", claim.path)
            return False
        write = Write(claim.path, None, claim.revision, claim.record.holder)
        try:
            written = await self._commits.submit(write, self._settings.write_s)
        except TableError as error:
            logger.warning("failed to delete abandoned claim path=%s error=%r", claim.path, error)
            return False
        if written.done:
            logger.info("deleted abandoned claim path=%s", claim.path)
            self._nonces.pop(claim.record.nonce, None)
        return written.done

    def _evict_old(self, now: float) -> None:
        cutoff = now - self._settings.abandoned_s
        expired = [
            nonce for nonce, abandoned in self._nonces.items() if abandoned.added_at < cutoff
        ]
        for nonce in expired:
            del self._nonces[nonce]

    @Service.task
    async def _clean_periodically(self) -> None:
        while not self.should_stop:
            await self.sleep(self._settings.clean_s)
            await self.clean_due()


__all__ = ["AbandonedClaims"]
