"""One in-flight generation and its attempts."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING, Protocol

from basilroad.coordination.fairpolicy import Flow
from basilroad.coordination.observable import Observable
from basilroad.coordination.poison import PoisonMark
from basilroad.coordination.sequence import Gap, TokenSequence
from basilroad.entry.context import EntryContext
from basilroad.entry.dispatch.placement import Placement, VersionGoneError
from basilroad.entry.generations.attempt import Attempt
from basilroad.entry.generations.generation import Usage, build_generation_id
from basilroad.entry.generations.startmessage import build_start_message, read_request
from basilroad.entry.identity import Identity
from basilroad.errors import Effect, ErrorKind, Refusal, RefusedError, refuse
from basilroad.peers.failreason import ENDPOINT_DEATH_REASONS, NOT_STARTED_REASONS, FailReason
from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

    from basilroad.entry.generations.generationrecorder import GenerationRecorder
    from basilroad.entry.generations.request import CompletionRequest
    from basilroad.entry.links.link import AgentLink, EndpointView

REFUSALS_MAX = 3
"""Refusals by engines after which the request fails."""

_LOGGER = logging.getLogger(__name__)


class EndpointPlacer(Protocol):
    """Assigns endpoints to attempts."""

    async def place(self, flight: Flight) -> Placement:
        """:return: endpoint for the next attempt, after waiting if necessary."""

    def release_placement(self, placement: Placement) -> None:
        """Return a slot that is not used."""

    def on_tokens(self, flight: Flight, count: int) -> None:
        """Count received tokens."""


class LocationRecorder(Protocol):
    """Records where generations run."""

    async def move(
        self, flight: Flight, start: wire.StartGeneration, view: EndpointView
    ) -> wire.Location | None:
        """:return: location recorded by another entry; ``None`` if this entry runs it."""


class GenerationJoiner(Protocol):
    """Attaches to generations that other entries run."""

    async def join(self, flight: Flight, location: wire.Location) -> bool:
        """:return: whether the generation continues at the location."""


class ExclusiveRunner(Protocol):
    """Allows one running request per suspect content."""

    def hold(self, flight: Flight) -> AbstractAsyncContextManager[None]:
        """:return: context in which the request may run."""


class FlightContext(EntryContext, Protocol):
    """What a generation needs from the entry process.

    :param records: counts and logs its outcome
    """

    records: GenerationRecorder

    @property
    def quarantine(self) -> ExclusiveRunner:
        """:return: limits suspect contents to one running request."""

    @property
    def dispatcher(self) -> EndpointPlacer:
        """:return: assigns endpoints."""

    @property
    def locations(self) -> LocationRecorder:
        """:return: directory of where generations run."""

    @property
    def takeover(self) -> GenerationJoiner:
        """:return: attaches to generations of other entries."""


class Flight(Observable):
    """Runs one generation to completion, in as many attempts as necessary.

    :param entry: the entry process
    :param request: request of the caller
    :param identity: identity of the caller
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
        self.was_endpoint_busy = False
        self.previous_ids: set[str] = set()
        self._sequence = TokenSequence(generation)
        self._refusals = 0
        self._tokens_before_attempt = 0
        self._clear_at_tokens: int | None = None

    @property
    def done(self) -> bool:
        """:return: whether the generation has finished or was refused."""
        return bool(self.finish_reason) or self.refusal is not None

    @property
    def remaining(self) -> int:
        """:return: maximum number of tokens still to generate."""
        return self.request.max_tokens - len(self.tokens)

    @property
    def flow(self) -> Flow:
        """:return: fair-queueing flow of the request."""
        return Flow(self.identity.rank, self.identity.workspace, self.identity.caller)

    @property
    def attempts(self) -> int:
        """:return: number of the latest attempt."""
        return self._sequence.attempt

    async def run(self) -> None:
        """Run attempts until one completes."""
        try:
            while not self.done:
                await self._place_and_run()
        except RefusedError as error:
            self._refuse(error.refusal)
        except asyncio.CancelledError:
            self._cancel_attempt()
            raise
        finally:
            self.notify()

    async def follow(self, location: wire.Location) -> None:
        """Follow an attempt that another entry started, then continue as :meth:`run`.

        :param location: where the attempt runs
        """
        try:
            await self._await_followed(location)
        except RefusedError as error:
            self._refuse(error.refusal)
            self.notify()
        else:
            await self.run()

    def prepare_follow(self, link: AgentLink, attempt: int) -> None:
        """Receive the tokens of an attempt that is already running.

        :param link: stream to its agent
        :param attempt: attempt number
        """
        self._sequence.attempt = attempt
        self.has_run = True
        self.attempt = Attempt(link, self.generation, attempt, self._accept_tokens)

    def adopt(self, start: wire.StartGeneration) -> None:
        """Restore request and identity from the start message of another entry.

        :param start: start message as stored by the agent
        """
        self.version = start.version
        self.identity = Identity(start.workspace, start.caller, start.rank, "", False)
        self.request = read_request(start)

    def skip_attempts(self, number: int) -> None:
        """Continue the attempt numbers of a lost generation.

        :param number: last known attempt number
        """
        self._sequence.attempt = number + 1
        self.has_run = True

    def build_start(self, view: EndpointView, credit: str) -> wire.StartGeneration:
        """Build the start message for an agent.

        :param view: the endpoint
        :param credit: slot credit; empty for none
        :return: the message
        """
        start = build_start_message(self.request, self.identity)
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

    async def _place_and_run(self) -> None:
        async with self.entry.quarantine.hold(self):
            precautions = self._list_precautions()
            try:
                placement = await self.entry.dispatcher.place(self)
            except VersionGoneError:
                self._restart()
                return
            if self._list_precautions() != precautions:
                self.entry.dispatcher.release_placement(placement)
                return
            await self._run_attempt(placement)

    def _list_precautions(self) -> tuple[bool, bool]:
        """:return: whether the request runs under the lock, and whether it runs alone."""
        is_suspect = self.entry.containment.is_suspect(self.request.fingerprint)
        return is_suspect, self._is_alone()

    def _is_alone(self) -> bool:
        return self.entry.containment.requires_isolation(self.request.fingerprint)

    def _restart(self) -> None:
        if not self.may_restart:
            raise refuse(ErrorKind.GENERATION_LOST, "the model version is no longer available")
        self.previous_ids.add(self.generation)
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
            moved_to = await self.entry.locations.move(self, start, view)
        if moved_to is not None:
            self.entry.dispatcher.release_placement(placement)
            await self._join(moved_to)
            return
        if not self.tokens:
            # an earlier attempt without tokens may have been at another version
            self.version = start.version
        self.endpoint = view.name
        self._tokens_before_attempt = len(self.tokens)
        tokens_to_pass = self.entry.containment.clearance_tokens(self.request.fingerprint)
        self._clear_at_tokens = (
            None if tokens_to_pass is None else self._tokens_before_attempt + tokens_to_pass
        )
        self.attempt = Attempt(view.link, self.generation, start.attempt, self._accept_tokens)
        if not placement.credit:
            # a credited slot is already included in the endpoint's reported state
            view.sent += 1
        view.link.send(wire.EntryMessage(start=start))
        if not view.link.is_up:
            self.attempt.fail_locally(FailReason.BUSY)
        region = view.link.region
        self.entry.link_costs.record_stream_start(region)
        try:
            end = await self.attempt.wait_end()
        finally:
            self.entry.link_costs.record_stream_end(region)
            self.attempt.close()
            self.endpoint = ""
        self._handle_end(end, view.name)

    async def _join(self, location: wire.Location) -> None:
        # another entry runs the same generation and recorded its location first
        if location.generation != self.generation:
            raise refuse(ErrorKind.GENERATION_LOST, "replaced by a new generation")
        if await self.entry.takeover.join(self, location):
            await self._await_followed(location)

    async def _await_followed(self, location: wire.Location) -> None:
        assert self.attempt is not None
        try:
            end = await self.attempt.wait_end()
        finally:
            self.attempt.close()
        self._handle_end(end, location.agent)

    def _handle_end(self, end: wire.Finished | wire.Failed, endpoint: str) -> None:
        if isinstance(end, wire.Finished):
            self._finish(end)
            return
        reason = FailReason(end.reason)
        self.was_endpoint_busy = reason is FailReason.BUSY
        self.has_run = self.has_run or reason not in NOT_STARTED_REASONS
        if reason in NOT_STARTED_REASONS:
            self.avoided.add(endpoint)
        elif reason in ENDPOINT_DEATH_REASONS:
            self._record_death(end, endpoint)
        elif reason is FailReason.ENDPOINT_REFUSED:
            self._count_refusal(end)
        self.entry.records.log_resume(self.generation, self.attempts, endpoint, reason)

    def _finish(self, end: wire.Finished) -> None:
        if end.completion_tokens != len(self.tokens):
            _LOGGER.error("token count mismatch", extra={"generation": self.generation})
            return
        self.usage = Usage(end.prompt_tokens, end.completion_tokens, end.cached_tokens)
        self.finish_reason = end.reason
        self.entry.containment.clear(self.request.fingerprint)
        self.entry.records.record_finished(self.identity, len(self.tokens))

    def _record_death(self, end: wire.Failed, endpoint: str) -> None:
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
            progress=len(self.tokens) - self._tokens_before_attempt,
            offset=len(self.tokens),
        )

    def _count_refusal(self, end: wire.Failed) -> None:
        self._refusals += 1
        if self._refusals >= REFUSALS_MAX:
            raise refuse(ErrorKind.ENDPOINT_FAILED, f"the endpoint refused: {end.detail}")

    def _accept_tokens(self, message: wire.Tokens) -> None:
        accepted = self._sequence.accept(message.attempt, message.offset, list(message.tokens))
        if isinstance(accepted, Gap):
            _LOGGER.error("gap in the token sequence", extra={"generation": self.generation})
            if self.attempt is not None:
                self.attempt.cancel()
                self.attempt.fail_locally(FailReason.LINK_LOST)
            return
        if not accepted:
            return
        now = time.monotonic()
        if self.first_token_s is None:
            self.first_token_s = now
            self.entry.records.record_first_token(self.identity, now - self.created_s)
        if self.interrupted_s is not None:
            self.entry.records.record_resumed(self.identity, now - self.interrupted_s)
            self.interrupted_s = None
        self.tokens.extend(accepted)
        self.has_run = True
        self.entry.dispatcher.on_tokens(self, len(accepted))
        if self._clear_at_tokens is not None and len(self.tokens) >= self._clear_at_tokens:
            self._clear_at_tokens = None
            self.entry.containment.clear(self.request.fingerprint)
        self.notify()

    def end_early(self, refusal: Refusal) -> None:
        """Refuse the generation, unless it has an outcome.

        :param refusal: why it can't continue
        """
        if self.done:
            return
        self._cancel_attempt()
        # an attempt that was sent may have run although no token has arrived
        self.has_run = self.has_run or self.attempt is not None
        self._refuse(refusal)
        self.notify()

    def _refuse(self, refusal: Refusal) -> None:
        if self.has_run and refusal.answer.effect is Effect.NOT_RUN:
            # the refusal is why it can't continue; the earlier part did run
            refusal = Refusal(ErrorKind.GENERATION_LOST, refusal.message)
        self.refusal = refusal
        self.entry.records.record_refused(
            self.identity, refusal, generation=self.generation, attempt=self.attempts
        )

    def _cancel_attempt(self) -> None:
        if self.attempt is not None and not self.done:
            self.attempt.cancel()


__all__ = ["Flight"]
