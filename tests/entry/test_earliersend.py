"""Check what is told of a keyed call while the store is away."""

from __future__ import annotations

import time
from collections.abc import Sequence
from types import SimpleNamespace

import pytest

from basilroad.entry.earliersend import EarlierSendCheck
from basilroad.entry.identity import Identity
from basilroad.entry.keyedcall import KeyedCall
from basilroad.entry.servicecall import ServiceCall
from basilroad.errors import Effect, ErrorKind, RefusedError, refuse
from basilroad.world.contract import Contract

SERVICE = "order-app"


def build_call() -> KeyedCall:
    contract = Contract(name=SERVICE)
    call = ServiceCall(SERVICE, "POST", "/", (), b"", contract, time.monotonic())
    return KeyedCall(call, Identity("w", "anna", 1, "7", False))


async def read_effect(links: Sequence[object]) -> Effect:
    """:return: effect told of a call that could not be claimed."""
    reader = SimpleNamespace(claims=object(), links=lambda: links)
    unclaimed = refuse(ErrorKind.STORE_UNAVAILABLE, "the call could not be claimed")
    with pytest.raises(RefusedError) as caught:
        await EarlierSendCheck(reader).check(build_call(), unclaimed)
    return caught.value.refusal.answer.effect


# fault: an entry that knew no agent asked none, and told "not run" of an order that had run
@pytest.mark.holds_not_run
async def test_an_entry_without_agents_does_not_tell_that_a_call_was_not_run() -> None:
    assert await read_effect([]) is Effect.MAY_HAVE_RUN
