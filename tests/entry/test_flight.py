"""Check what the caller of a generation is told when it can't go on."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from types import SimpleNamespace

import pytest

from basilroad.entry.flight import Flight
from basilroad.entry.identity import Identity
from basilroad.entry.request import read_request
from basilroad.errors import Effect, ErrorKind, refuse

BODY = b'{"model": "spec-llm", "prompt": "review the cask", "max_tokens": 9}'


@contextlib.asynccontextmanager
async def hold(_: Flight) -> AsyncIterator[None]:
    yield


async def place(_: Flight) -> None:
    raise refuse(ErrorKind.NO_ENDPOINT, "no endpoint runs this model")


@pytest.mark.holds_not_run
@pytest.mark.parametrize(
    ("has_run", "kind", "effect"),
    [
        (False, ErrorKind.NO_ENDPOINT, Effect.NOT_RUN),
        (True, ErrorKind.GENERATION_LOST, Effect.MAY_HAVE_RUN),
    ],
)
async def test_generation_that_began_is_not_told_as_not_run(
    has_run: bool, kind: ErrorKind, effect: Effect
) -> None:
    entry = SimpleNamespace(
        containment=SimpleNamespace(requires_isolation=lambda _: False),
        quarantine=SimpleNamespace(hold=hold),
        dispatcher=SimpleNamespace(place=place),
        records=SimpleNamespace(record_refused=lambda *_, **__: None),
    )
    identity = Identity("default", "anna", 1, "7", False)
    flight = Flight(entry, read_request(BODY, chat=False), identity, "a-1")
    flight.has_run = has_run
    await flight.run()
    assert flight.refusal is not None
    assert (flight.refusal.kind, flight.refusal.answer.effect) == (kind, effect)
