"""One generation on its way to its callers."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING, Protocol

from basilroad.coordination.fairpolicy import Flow
from basilroad.coordination.observable import Observable
from basilroad.coordination.poison import PoisonMark
from basilroad.coordination.sequence import Gap, TokenSequence
from basilroad.entry.attempt import Attempt
from basilroad.entry.context import EntryContext
from basilroad.entry.generation import Usage, build_generation_id
from basilroad.entry.identity import Identity
from basilroad.entry.placement import Placement, VersionGoneError
from basilroad.entry.startmessage import read_request, write_order
from basilroad.errors import Effect, ErrorKind, Refusal, RefusedError, refuse
from basilroad.peers.failreason import ENDPOINT_DEATH_REASONS, NOT_STARTED_REASONS, FailReason
from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

    from basilroad.entry.generationrecorder import GenerationRecorder
    from basilroad.entry.link import AgentLink, EndpointView
    from basilroad.entry.request import CompletionRequest

REFUSALS_MAX = 3
"""Refusals by engines after which the caller is refused."""

_LOGGER = logging.getLogger(__name__)


class Places(Protocol):
    """Gives attempts their endpoints."""

    async def place(self, flight: Flight) -> Placement:
        """:return: an endpoint for the next attempt, or waits for one."""

    def give_back(self, placement: Placement) -> None:
        """Return an endpoint that is not used."""

    def on_tokens(self, flight: Flight, count: int) -> None:
        """Count tokens that came."""


class Moves(Protocol):
    """Records where generations run."""

    async def move(
        self, flight: Flight, start: wire.StartGeneration, view: EndpointView
    ) -> wire.Location | None:
        """:return: where another entry moved it; ``None`` if it is this entry's to run."""


class Joins(Protocol):
    """Attaches to generations that other entries drive."""

    async def join(self, flight: Flight, location: wire.Location) -> bool:
        """:return: whether the generation goes on there."""


class Holds(Protocol):
    """Lets one suspect of each content run at a time."""

    def hold(self, fingerprint: str) -> AbstractAsyncContextManager[None]:
        """:return: the right to run."""


class FlightContext(EntryContext, Protocol):
    """What a generation needs of its entry.

    :param records: counts and logs what becomes of it
    """

    records: GenerationRecorder

    @property
    def quarantine(self) -> Holds:
        """:return: lets one suspect of each content run."""

    @property
    def dispatcher(self) -> Places:
        """:return: gives it endpoints."""

    @property
    def locations(self) -> Moves:
        """:return: records where it runs."""

    @property
    def takeover(self) -> Joins:
        """:return: attaches it to where another entry runs it."""


class Flight(Observable):
    """Drives one generation to its end, over as many attempts as it takes.

    :param entry: the process
    :param request: what the caller asks for
    :param identity: who asks
    :param generation: identifier of the generation
    """

    def __init__(
        self, entry: FlightContext, request: CompletionRequest, identity: Identity, generation: str
    ) -> None:
        super().__init__()
        self.entry = entry
        self.request = request
        self.identity = identity
        self.generation = generation
        self.key = identity.key
        self.tokens: list[str] = []
        self.usage = Usage()
        self.finish_reason = ""
        self.refusal: Refusal | None = None
        self.version = ""
        self.attempt: Attempt | None = None
        self.created_s = time.monotonic()
        self.first_token_s: float | None = None
        self.interrupted_s: float | None = None
        self.avoided: set[str] = set()
        self.readers = 0
        self.has_run = False
        self.endpoint = ""
        self.may_restart = False
        self.busy = False
        self.former: set[str] = set()
        self._sequence = TokenSequence(generation)
        self._refusals = 0
        self._prior = 0
        self._clear_at: int | None = None

    @property
    def done(self) -> bool:
        """:return: whether nothing more comes."""
        return bool(self.finish_reason) or self.refusal is not None

    @property
    def remaining(self) -> int:
        """:return: tokens still to come at the most."""
        return self.request.max_tokens - len(self.tokens)

    @property
    def flow(self) -> Flow:
        """:return: whose share the work uses."""
        return Flow(self.identity.rank, self.identity.workspace, self.identity.caller)

    @property
    def attempts(self) -> int:
        """:return: number of the newest attempt."""
        return self._sequence.attempt

    async def run(self) -> None:
        """Run attempts until one ends whole."""
        try:
            while not self.done:
                await self._advance()
        except RefusedError as error:
            self._refuse(error.refusal)
        except asyncio.CancelledError:
            self._abandon()
            raise
        finally:
            self.notify()

    async def follow(self, location: wire.Location) -> None:
        """Follow an attempt that another entry began, then go on as :meth:`run`.

        :param location: where it runs
        """
        try:
            await self._await_followed(location)
        except RefusedError as error:
            self._refuse(error.refusal)
            self.notify()
        else:
            await self.run()

    def prepare_follow(self, link: AgentLink, attempt: int) -> None:
        """Receive the tokens of an attempt that runs already.

        :param link: stream to its agent
        :param attempt: its number
        """
        self._sequence.attempt = attempt
        self.has_run = True
        self.attempt = Attempt(link, self.generation, attempt, self._take_tokens)

    def adopt(self, start: wire.StartGeneration) -> None:
        """Take what was asked from the order that another entry sent.

        :param start: as the agent kept it
        """
        self.version = start.version
        self.identity = Identity(start.workspace, start.caller, start.rank, "", False)
        self.request = read_request(start)

    def skip_attempts(self, number: int) -> None:
        """Number the next attempt after those of a lost generation.

        :param number: of the last one that is known
        """
        self._sequence.attempt = number + 1
        self.has_run = True

    def build_start(self, view: EndpointView, credit: str) -> wire.StartGeneration:
        """Build the order for an agent.

        :param view: the endpoint
        :param credit: promise of a slot; empty for none
        :return: the message
        """
        start = write_order(self.request, self.identity)
        start.key = self.key
        start.generation = self.generation
        start.attempt = self._sequence.begin_attempt()
        start.endpoint = view.name
        start.version = view.state.version
        start.prior.extend(self.tokens)
        start.credit = credit
        start.cost = self.remaining
        start.alone = self._is_alone()
        return start

    async def _advance(self) -> None:
        alone = self._is_alone()
        async with self.entry.quarantine.hold(self.request.fingerprint):
            try:
                placement = await self.entry.dispatcher.place(self)
            except VersionGoneError:
                self._restart()
                return
            if self._is_alone() is not alone:
                self.entry.dispatcher.give_back(placement)
                return
            await self._run_attempt(placement)

    def _is_alone(self) -> bool:
        return self.entry.containment.requires_isolation(self.request.fingerprint)

    def _restart(self) -> None:
        if not self.may_restart:
            raise refuse(ErrorKind.GENERATION_LOST, "the version that began the answer is gone")
        self.former.add(self.generation)
        attempt = self._sequence.attempt
        self.generation = build_generation_id(self.key)
        self._sequence = TokenSequence(self.generation)
        self._sequence.attempt = attempt
        self.tokens.clear()
        self.version = ""
        self.interrupted_s = None
        self.entry.records.log_resume(
            self.generation, self.attempts, "new generation", FailReason.STALE
        )
        self.notify()

    async def _run_attempt(self, placement: Placement) -> None:
        view = placement.view
        start = self.build_start(view, placement.credit)
        with view.reserve_slot():
            other = await self.entry.locations.move(self, start, view)
        if other is not None:
            self.entry.dispatcher.give_back(placement)
            await self._join(other)
            return
        self.version = self.version or start.version
        self.endpoint = view.name
        self._prior = len(self.tokens)
        passing = self.entry.containment.clearance_tokens(self.request.fingerprint)
        self._clear_at = None if passing is None else self._prior + passing
        self.attempt = Attempt(view.link, self.generation, start.attempt, self._take_tokens)
        if not placement.credit:
            # the slot of a credit is part of the endpoint's state already
            view.sent += 1
        view.link.send(wire.EntryMessage(start=start))
        if not view.link.is_up:
            self.attempt.fail_locally(FailReason.BUSY)
        region = view.link.region
        self.entry.link_costs.record_begun(region)
        try:
            end = await self.attempt.wait_end()
        finally:
            self.entry.link_costs.record_ended(region)
            self.attempt.close()
        self._judge(end, view.name)

    async def _join(self, location: wire.Location) -> None:
        # another entry drives the same generation and was first to move it
        if location.generation != self.generation:
            raise refuse(ErrorKind.GENERATION_LOST, "a new generation was begun")
        if await self.entry.takeover.join(self, location):
            await self._await_followed(location)

    async def _await_followed(self, location: wire.Location) -> None:
        assert self.attempt is not None
        try:
            end = await self.attempt.wait_end()
        finally:
            self.attempt.close()
        self._judge(end, location.agent)

    def _judge(self, end: wire.Finished | wire.Failed, endpoint: str) -> None:
        if isinstance(end, wire.Finished):
            self._finish(end)
            return
        reason = FailReason(end.reason)
        self.busy = reason is FailReason.BUSY
        self.has_run = self.has_run or reason not in NOT_STARTED_REASONS
        if reason in NOT_STARTED_REASONS:
            self.avoided.add(endpoint)
        elif reason in ENDPOINT_DEATH_REASONS:
            self._note_death(end, endpoint)
        elif reason is FailReason.ENDPOINT_REFUSED:
            self._count_refusal(end)
        self.entry.records.log_resume(self.generation, self.attempts, endpoint, reason)

    def _finish(self, end: wire.Finished) -> None:
        if end.completion_tokens != len(self.tokens):
            _LOGGER.error("answer is not whole", extra={"generation": self.generation})
            return
        self.usage = Usage(end.prompt_tokens, end.completion_tokens, end.cached_tokens)
        self.finish_reason = end.reason
        self.entry.containment.clear(self.request.fingerprint)
        self.entry.records.record_finished(self.identity, len(self.tokens))

    def _note_death(self, end: wire.Failed, endpoint: str) -> None:
        self.interrupted_s = time.monotonic()
        self.avoided.add(endpoint)
        if end.death:
            self.entry.containment.record_death(self.key.hex(), self._build_mark(end))
        if len(self.tokens) >= self.request.max_tokens:
            self.finish_reason = "length"

    def _build_mark(self, end: wire.Failed) -> PoisonMark:
        return PoisonMark(
            self.request.fingerprint,
            end.death,
            alone=not end.neighbours,
            progress=len(self.tokens) - self._prior,
            offset=len(self.tokens),
        )

    def _count_refusal(self, end: wire.Failed) -> None:
        self._refusals += 1
        if self._refusals >= REFUSALS_MAX:
            raise refuse(ErrorKind.ENDPOINT_FAILED, f"the endpoint refused: {end.detail}")

    def _take_tokens(self, message: wire.Tokens) -> None:
        taken = self._sequence.accept(message.attempt, message.offset, list(message.tokens))
        if isinstance(taken, Gap):
            _LOGGER.error("tokens are missing", extra={"generation": self.generation})
            if self.attempt is not None:
                self.attempt.cancel()
                self.attempt.fail_locally(FailReason.LINK_LOST)
            return
        if not taken:
            return
        now = time.monotonic()
        if self.first_token_s is None:
            self.first_token_s = now
            self.entry.records.record_first_token(self.identity, now - self.created_s)
        if self.interrupted_s is not None:
            self.entry.records.record_resumed(self.identity, now - self.interrupted_s)
            self.interrupted_s = None
        self.tokens.extend(taken)
        self.has_run = True
        self.entry.dispatcher.on_tokens(self, len(taken))
        if self._clear_at is not None and len(self.tokens) >= self._clear_at:
            self._clear_at = None
            self.entry.containment.clear(self.request.fingerprint)
        self.notify()

    def _refuse(self, refusal: Refusal) -> None:
        if self.has_run and refusal.answer.effect is Effect.NOT_RUN:
            # why it does not go on; the part that came before did run
            refusal = Refusal(ErrorKind.GENERATION_LOST, refusal.message)
        self.refusal = refusal
        self.entry.records.record_refused(
            self.identity, refusal, generation=self.generation, attempt=self.attempts
        )

    def _abandon(self) -> None:
        if self.attempt is not None and not self.done:
            self.attempt.cancel()


__all__ = ["Flight"]
