"""Tests of the refusal sent when a generation can't continue."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from types import SimpleNamespace

import pytest

from basilroad.coordination.poison import PoisonMark
from basilroad.entry.dispatch.placement import Placement
from basilroad.entry.dispatch.placementwait import fits
from basilroad.entry.generations.attempt import Attempt
from basilroad.entry.generations.containment import Containment
from basilroad.entry.generations.flight import Flight
from basilroad.entry.generations.request import read_request
from basilroad.entry.identity import Identity
from basilroad.entry.links.link import EndpointView
from basilroad.entry.links.linkcost import LinkCosts
from basilroad.errors import Effect, ErrorKind, refuse
from basilroad.peers.failreason import FailReason
from basilroad.peers.serialization import pack_marks
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.settings.view import SettingsView

BODY = b'{"model": "spec-llm", "prompt": "review the cask", "max_tokens": 9}'


@contextlib.asynccontextmanager
async def hold(_: Flight) -> AsyncIterator[None]:
    yield


async def place(_: Flight) -> None:
    raise refuse(ErrorKind.NO_ENDPOINT, "no endpoint runs this model")


class QueueDispatcher:
    """Places a request in the queue; its content is implicated in a death while it waits.

    :param containment: records the death
    """

    def __init__(self, containment: Containment) -> None:
        self.released = 0
        self._containment = containment
        self._placed = 0

    async def place(self, flight: Flight) -> SimpleNamespace:
        self._placed += 1
        if self._placed > 1:
            raise refuse(ErrorKind.NO_ENDPOINT, "no endpoint runs this model")
        mark = PoisonMark(flight.request.fingerprint, "d1")
        self._containment.merge_remote(pack_marks([mark]))
        return SimpleNamespace()

    def release_placement(self, _: SimpleNamespace) -> None:
        self.released += 1


class BusyLink:
    """Link to an agent that refuses each start as busy."""

    def __init__(self) -> None:
        self.attempts: dict[str, Attempt] = {}
        self.is_up = True
        self.region = "riga"

    def send(self, message: wire.EntryMessage) -> None:
        start = message.start
        busy = FailReason.BUSY.value
        failed = wire.Failed(generation=start.generation, attempt=start.attempt, reason=busy)
        self.attempts[start.generation].end(failed)


class OnceDispatcher:
    """Places a request once, at a busy agent."""

    def __init__(self) -> None:
        self.endpoints: list[str] = []

    async def place(self, flight: Flight) -> Placement:
        self.endpoints.append(flight.endpoint)
        if len(self.endpoints) > 1:
            raise refuse(ErrorKind.NO_ENDPOINT, "no endpoint runs this model")
        return Placement(EndpointView(BusyLink(), wire.EndpointState(endpoint="engine-0")))


class DyingLink(BusyLink):
    """Link to an agent whose engine dies after some tokens.

    :param tokens: tokens of its attempt
    """

    def __init__(self, *tokens: str) -> None:
        super().__init__()
        self._tokens = tokens

    def send(self, message: wire.EntryMessage) -> None:
        start = message.start
        attempt = self.attempts[start.generation]
        tokens = wire.Tokens(
            generation=start.generation,
            attempt=start.attempt,
            offset=len(start.prior),
            tokens=self._tokens,
        )
        attempt.receive_tokens(tokens)
        attempt.fail_locally(FailReason.ENDPOINT_SILENT)


class RollDispatcher:
    """Places a request at an engine of each version in turn, and notes which ones fit after."""

    def __init__(self) -> None:
        self._engines = [
            EndpointView(link, wire.EndpointState(endpoint=f"e-{number}", version=version))
            for number, (version, link) in enumerate(
                [("1", DyingLink()), ("2", DyingLink("The", " cask"))]
            )
        ]
        for view in self._engines:
            view.link.leaving = False
            view.state.alive = True
        self._next = iter(self._engines)
        self.fitting: list[str] = []

    async def place(self, flight: Flight) -> Placement:
        view = next(self._next, None)
        if view is None:
            self.fitting = [each.state.version for each in self._engines if fits(flight, each)]
            raise refuse(ErrorKind.NO_ENDPOINT, "no endpoint runs this model")
        return Placement(view)

    def on_tokens(self, *_: object) -> None:
        """Count nothing."""


async def move(*_: object) -> None:
    """Record no location."""


def _build_flight(dispatcher: object, containment: Containment) -> Flight:
    entry = SimpleNamespace(
        containment=containment,
        quarantine=SimpleNamespace(hold=hold),
        dispatcher=dispatcher,
        locations=SimpleNamespace(move=move),
        link_costs=LinkCosts("riga", SettingsView),
        records=SimpleNamespace(
            record_refused=lambda *_, **__: None,
            log_resume=lambda *_, **__: None,
            record_first_token=lambda *_: None,
            record_resumed=lambda *_: None,
        ),
    )
    identity = Identity("default", "anna", 1, "7", False)
    return Flight(entry, read_request(BODY, chat=False), identity, "a-1")


# fault: a request that had been queued while it was clean ran as a suspect without the lock
@pytest.mark.holds_poison
async def test_a_request_that_becomes_suspect_in_the_queue_does_not_run_without_the_lock() -> None:
    containment = Containment(lambda _: False, lambda _: None)
    dispatcher = QueueDispatcher(containment)
    flight = _build_flight(dispatcher, containment)
    await flight.run()
    assert dispatcher.released == 1
    assert flight.refusal is not None
    assert flight.refusal.kind is ErrorKind.NO_ENDPOINT


# fault: two duplicates would wait for each other, as each still named the endpoint that refused it
async def test_a_request_names_no_endpoint_after_its_attempt() -> None:
    dispatcher = OnceDispatcher()
    flight = _build_flight(dispatcher, Containment(lambda _: False, lambda _: None))
    await flight.run()
    assert flight.avoided == {"engine-0"}
    assert dispatcher.endpoints == ["", ""]


# fault: a stream resumed at the version of an attempt that had died before its first token
@pytest.mark.holds_generations
async def test_a_stream_resumes_at_the_version_of_its_tokens() -> None:
    dispatcher = RollDispatcher()
    flight = _build_flight(dispatcher, Containment(lambda _: False, lambda _: None))
    await flight.run()
    assert flight.tokens == ["The", " cask"]
    assert dispatcher.fitting == ["2"]


@pytest.mark.holds_not_run
@pytest.mark.parametrize(
    ("has_run", "kind", "effect"),
    [
        (False, ErrorKind.NO_ENDPOINT, Effect.NOT_RUN),
        (True, ErrorKind.GENERATION_LOST, Effect.MAY_HAVE_RUN),
    ],
)
async def test_generation_that_has_run_is_not_reported_as_not_run(
    has_run: bool, kind: ErrorKind, effect: Effect
) -> None:
    flight = _build_flight(
        SimpleNamespace(place=place), Containment(lambda _: False, lambda _: None)
    )
    flight.has_run = has_run
    await flight.run()
    assert flight.refusal is not None
    assert (flight.refusal.kind, flight.refusal.answer.effect) == (kind, effect)
