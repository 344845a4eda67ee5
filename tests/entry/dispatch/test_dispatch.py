"""Tests of the choice of an endpoint for requests with equal content."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from basilroad.entry.dispatch.dispatch import Dispatcher
from basilroad.entry.generations.containment import Containment
from basilroad.entry.generations.duplicates import DuplicateTracker
from basilroad.entry.generations.flight import Flight
from basilroad.entry.generations.request import read_request
from basilroad.entry.identity import Identity
from basilroad.entry.links.link import EndpointView
from basilroad.entry.links.linkcost import LinkCosts
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.settings.store import SettingsStore
from support.timelimit import limit_time

MODEL = "spec-llm"
BODY = b'{"model": "spec-llm", "prompt": "review the cask", "max_tokens": 9}'
WAIT_S = 0.2
TIMEOUT_S = 10.0


class Entry(SimpleNamespace):
    """State of an entry, without connections."""

    def __init__(self) -> None:
        store = SettingsStore()
        duplicates = DuplicateTracker()
        super().__init__(
            store=store,
            settings=SimpleNamespace(host="entry", region="riga", data_centre="riga-a"),
            options=SimpleNamespace(agents_limit=0),
            meter=SimpleNamespace(is_remote=lambda _: False),
            link_costs=LinkCosts("riga", lambda: store.view),
            links={},
            duplicates=duplicates,
            containment=Containment(duplicates.has_duplicates, lambda _: None),
        )


@pytest.fixture
def entry() -> Entry:
    return Entry()


@pytest.fixture
async def dispatcher(entry: Entry) -> Dispatcher:
    dispatcher = Dispatcher(entry)
    for name in ("engine-0", "engine-1"):
        _report(dispatcher, name)
    return dispatcher


def _report(dispatcher: Dispatcher, name: str, *, alive: bool = True) -> None:
    hello = wire.AgentHello(region="riga", data_centre="riga-a")
    link = SimpleNamespace(leaving=False, hello=hello, region="riga")
    state = wire.EndpointState(
        endpoint=name, kind="engine", service=MODEL, version="1", slots=8, alive=alive
    )
    dispatcher.on_endpoint(EndpointView(link, state))


def _open(entry: Entry, key: str) -> Flight:
    identity = Identity("default", "anna", 1, key, False)
    flight = Flight(entry, read_request(BODY, chat=False), identity, key)
    entry.duplicates.add(flight)
    return flight


async def test_a_duplicate_shares_the_endpoint_of_the_first(
    entry: Entry, dispatcher: Dispatcher
) -> None:
    _open(entry, "a").endpoint = "engine-1"
    placement = await dispatcher.place(_open(entry, "b"))
    assert placement.view.name == "engine-1"


# fault: a duplicate refused by the crashed endpoint of the first crashed another one, since the
# end of the first had not arrived yet
@pytest.mark.holds_poison
async def test_a_duplicate_refused_by_the_endpoint_of_the_first_waits_for_the_end_of_the_first(
    entry: Entry, dispatcher: Dispatcher
) -> None:
    first, second = _open(entry, "a"), _open(entry, "b")
    first.endpoint = "engine-1"
    second.avoided.add("engine-1")
    placing = asyncio.ensure_future(dispatcher.place(second))
    await asyncio.wait({placing}, timeout=WAIT_S)
    assert not placing.done()
    first.endpoint = ""
    async with limit_time(TIMEOUT_S):
        placement = await placing
    assert placement.view.name == "engine-0"


async def test_a_duplicate_does_not_wait_once_the_first_has_a_token(
    entry: Entry, dispatcher: Dispatcher
) -> None:
    first, second = _open(entry, "a"), _open(entry, "b")
    first.endpoint = "engine-1"
    first.tokens.append("cask")
    second.avoided.add("engine-1")
    async with limit_time(TIMEOUT_S):
        placement = await dispatcher.place(second)
    assert placement.view.name == "engine-0"
