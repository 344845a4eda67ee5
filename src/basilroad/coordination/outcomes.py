"""Storage of the answers of claimed orders."""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict

import attrs
import msgspec
from mode import Service

from basilroad.coordination.claim import Claim, ClaimState, StoredOutcome, read_claim
from basilroad.coordination.claimsettings import ClaimsSettings
from basilroad.coordination.groupcommit import GroupCommit
from basilroad.coordination.table import TableError, Write, WriteResult

logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class _Pending:
    claim: Claim
    outcome: StoredOutcome
    task: asyncio.Task[None] | None = None


class OutcomeRecorder(Service):
    """Writes outcomes until they land, within a bounded memory.

    An outcome that does not fit any more loses its body, and beyond that the oldest one is
    dropped: its order is then told as one that may have run.

    :param commits: writes to the table
    :param settings: settings of the claims
    """

    def __init__(self, commits: GroupCommit, settings: ClaimsSettings) -> None:
        super().__init__()
        self._commits = commits
        self._settings = settings
        self._pending: OrderedDict[str, _Pending] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        """:return: outcomes that wait to be written."""
        return len(self._pending)

    def record(self, claim: Claim, outcome: StoredOutcome) -> None:
        """Store an outcome in the background.

        :param claim: the own claim
        :param outcome: answer of the order
        """
        nonce = claim.record.nonce
        if nonce in self._pending:
            return
        while len(self._pending) >= self._settings.outcomes_limit:
            self._drop_oldest()
        pending = _Pending(claim, self._fit(outcome))
        self._bytes += len(pending.outcome.body)
        self._pending[nonce] = pending
        pending.task = asyncio.create_task(self._write_until_landed(pending))

    async def on_stop(self) -> None:
        """Wait a while for the outcomes to land."""
        tasks = [pending.task for pending in self._pending.values() if pending.task]
        if not tasks:
            return
        _, late = await asyncio.wait(tasks, timeout=self._settings.flush_s)
        for task in late:
            task.cancel()
        if late:
            logger.error("outcomes not stored count=%d", len(late))

    def _fit(self, outcome: StoredOutcome) -> StoredOutcome:
        size = len(outcome.body)
        fits = size <= self._settings.body_limit
        if fits and self._bytes + size <= self._settings.outcome_bytes_limit:
            return outcome
        return attrs.evolve(outcome, body=b"", body_kept=False)

    def _drop_oldest(self) -> None:
        pending = next(iter(self._pending.values()))
        logger.error("outcome dropped path=%s", pending.claim.path)
        if pending.task is not None:
            pending.task.cancel()
        self._end(pending)

    def _end(self, pending: _Pending) -> None:
        if self._pending.pop(pending.claim.record.nonce, None) is not None:
            self._bytes -= len(pending.outcome.body)

    async def _write_until_landed(self, pending: _Pending) -> None:
        wait_s = self._settings.retry_s
        while True:
            try:
                written = await self._write(pending)
            except TableError as error:
                logger.warning("outcome not stored path=%s error=%r", pending.claim.path, error)
            else:
                _check_landed(pending.claim, written)
                break
            await asyncio.sleep(wait_s)
            wait_s = min(2 * wait_s, self._settings.outcome_retry_s)
        self._end(pending)

    async def _write(self, pending: _Pending) -> WriteResult:
        claim = pending.claim
        record = attrs.evolve(claim.record, state=ClaimState.RAN, outcome=pending.outcome)
        value = msgspec.json.encode(record).decode()
        write = Write(claim.path, value, claim.revision, claim.record.holder)
        return await self._commits.submit(write, self._settings.write_s)


def _check_landed(claim: Claim, written: WriteResult) -> None:
    if written.done:
        return
    # An earlier write whose answer was lost is found as our own; anything else is a fault.
    found = read_claim(written.row)
    if found is None or found.record.nonce != claim.record.nonce:
        logger.error("outcome of a claim that is gone path=%s row=%r", claim.path, written.row)


__all__ = ["OutcomeRecorder"]
