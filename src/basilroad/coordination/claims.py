"""At-most-once claims of requests that must not be repeated."""

from __future__ import annotations

import asyncio
import logging
import time
import uuid
from collections.abc import Callable

import attrs
import msgspec
from mode import Service

from basilroad.coordination.abandoned import AbandonedClaims
from basilroad.coordination.claim import (
    AlreadyClaimed,
    Claim,
    Claimed,
    ClaimOutcome,
    ClaimRecord,
    ClaimRequest,
    ClaimState,
    KeyMismatch,
    StoredOutcome,
    Unavailable,
    build_path,
    read_claim,
)
from basilroad.coordination.claimsettings import ClaimsSettings
from basilroad.coordination.decoding import DecodeError
from basilroad.coordination.groupcommit import GroupCommit, GroupCommitSettings
from basilroad.coordination.outcomes import OutcomeRecorder
from basilroad.coordination.table import (
    ABSENT,
    Row,
    Table,
    TableError,
    TableUnavailableError,
    TableUnknownError,
    Write,
)

logger = logging.getLogger(__name__)


@attrs.define
class _Attempt:
    """State of one attempt to write a claim.

    :param request: request to claim
    :param record: value to write
    :param expected: revision that the row must have
    :param settled: whether no write of this attempt can be in the table or still be applied
    """

    request: ClaimRequest
    record: ClaimRecord
    expected: int
    settled: bool = True


class Claims(Service):
    """Claims requests by conditional inserts into the table.

    :param table: table that holds the claims
    :param settings: settings of the claims
    :param clock: monotonic clock in seconds; request deadlines are given by it
    """

    def __init__(
        self,
        table: Table,
        settings: ClaimsSettings,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._table = table
        self._settings = settings
        self._clock = clock
        batch = GroupCommitSettings(settings.batch_s, settings.batch_limit, settings.commits_limit)
        self._commits = GroupCommit(table, batch)
        self._outcomes = OutcomeRecorder(self._commits, settings)
        self._abandoned = AbandonedClaims(table, self._commits, settings, clock)

    def on_init_dependencies(self) -> list[Service]:
        """:return: child services; the last one stops first."""
        return [self._commits, self._abandoned, self._outcomes]

    async def claim(self, request: ClaimRequest) -> ClaimOutcome:
        """Claim a request before it is sent; waits for the table until the request's deadline.

        :param request: request to claim
        :return: ``Claimed`` if the request may be sent; after any other outcome it must not be
        """
        return await self._attempt(request, ABSENT)

    async def take_over(self, existing: Claim, request: ClaimRequest) -> ClaimOutcome:
        """Replace a claim whose request was not sent and cannot be sent any more.

        The caller must be certain of that: either the claim's agent has reported that the request
        never began, or this process made the claim and was refused before sending the first byte.

        :param existing: the claim to replace
        :param request: request to claim, with the agent that is to run it now
        :return: ``Claimed`` if the request may be sent; after any other outcome it must not be
        """
        if existing.record.state is ClaimState.RAN:
            return AlreadyClaimed(existing)
        return await self._attempt(request, existing.revision)

    async def release(self, claimed: Claimed) -> bool:
        """Free the key of a claim whose request was not sent and will not be.

        :param claimed: claim made by this process
        :return: whether the row is absent; if not, deletion is retried in the background
        """
        self._abandoned.add(claimed.nonce, claimed.claim.path)
        return await self._abandoned.clean(claimed.nonce)

    def record_outcome(self, claimed: Claimed, outcome: StoredOutcome) -> None:
        """Store the response to a request that ran; retried in the background until written.

        :param claimed: claim made by this process
        :param outcome: the response
        """
        self._outcomes.record(claimed.claim, outcome)

    def pending_outcomes(self) -> int:
        """:return: number of outcomes not yet written."""
        return len(self._outcomes)

    async def read(self, workspace: str, caller: str, key: str) -> Claim | None:
        """Read a claim.

        :param workspace: workspace of the caller
        :param caller: sender of the request
        :param key: the caller's idempotency key
        :return: the current claim, if any
        :raises TableError: the table did not answer
        :raises DecodeError: the row holds no claim
        """
        return read_claim(await self._table.read(build_path(workspace, caller, key)))

    async def confirm(self, workspace: str, caller: str, key: str) -> Claim | None:
        """Read the current claim, even if the table's reads are stale.

        :param workspace: workspace of the caller
        :param caller: sender of the request
        :param key: the caller's idempotency key
        :return: the claim; ``None`` if there is none or this process abandoned it unsent
        :raises TableError: the table did not answer
        :raises DecodeError: the row holds no claim
        """
        # Deleting an absent row is a no-op, and a commit is never answered from a stale copy.
        write = Write(build_path(workspace, caller, key), None, ABSENT)
        written = await self._commits.submit(write, self._settings.write_s)
        claim = read_claim(written.row)
        if claim is not None and claim.record.nonce in self._abandoned:
            return None
        return claim

    async def _attempt(self, request: ClaimRequest, expected: int) -> ClaimOutcome:
        attempt = _Attempt(request, _build_record(request), expected)
        outcome: ClaimOutcome | None = None
        try:
            outcome = await self._write_until_deadline(attempt)
        finally:
            # Also on cancellation: the request is never sent under this nonce.
            if not isinstance(outcome, Claimed) and not attempt.settled:
                self._abandoned.add(attempt.record.nonce, request.path)
        return outcome

    async def _write_until_deadline(self, attempt: _Attempt) -> ClaimOutcome:
        while self._clock() < attempt.request.deadline and not self.should_stop:
            outcome = await self._write_once(attempt)
            if isinstance(outcome, Claimed) and self._clock() >= attempt.request.deadline:
                break
            if outcome is not None:
                return outcome
            await asyncio.sleep(self._settings.retry_s)
        return Unavailable(attempt.settled)

    async def _write_once(self, attempt: _Attempt) -> ClaimOutcome | None:
        path = attempt.request.path
        value = msgspec.json.encode(attempt.record).decode()
        write = Write(path, value, attempt.expected, attempt.request.holder)
        was_settled = attempt.settled
        attempt.settled = False
        try:
            written = await self._commits.submit(write, self._remaining_s(attempt))
        except TableUnavailableError:
            attempt.settled = was_settled
            return None
        except TableUnknownError:
            return await self._read_back(attempt)
        if was_settled and not written.done:
            attempt.settled = True
        return self._classify(attempt, written.row)

    async def _read_back(self, attempt: _Attempt) -> ClaimOutcome | None:
        try:
            row = await asyncio.wait_for(
                self._table.read(attempt.request.path), self._remaining_s(attempt)
            )
        except (TableError, TimeoutError):
            return None
        revision = ABSENT if row is None or row.value is None else row.revision
        if revision == attempt.expected:
            return None
        return self._classify(attempt, row)

    def _classify(self, attempt: _Attempt, row: Row | None) -> ClaimOutcome | None:
        try:
            claim = read_claim(row)
        except DecodeError:
            logger.error("failed to decode claim row path=%s", attempt.request.path)
            return KeyMismatch()
        if claim is None:
            attempt.expected = ABSENT
            return None
        if claim.record.nonce == attempt.record.nonce:
            return Claimed(claim)
        if not _is_same_request(claim.record, attempt.record):
            return KeyMismatch()
        if claim.record.nonce in self._abandoned:
            attempt.expected = claim.revision
            return None
        return AlreadyClaimed(claim)

    def _remaining_s(self, attempt: _Attempt) -> float:
        remaining_s = attempt.request.deadline - self._clock()
        return max(0.0, min(remaining_s, self._settings.write_s))


def _build_record(request: ClaimRequest) -> ClaimRecord:
    return ClaimRecord(
        state=ClaimState.CLAIMED,
        workspace=request.workspace,
        caller=request.caller,
        key=request.key,
        fingerprint=request.fingerprint,
        holder=request.holder,
        agent=request.agent,
        agent_incarnation=request.agent_incarnation,
        nonce=uuid.uuid4().hex,
    )


def _is_same_request(left: ClaimRecord, right: ClaimRecord) -> bool:
    identity = (left.workspace, left.caller, left.key, left.fingerprint)
    return identity == (right.workspace, right.caller, right.key, right.fingerprint)


__all__ = ["Claims"]
