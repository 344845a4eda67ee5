"""Steps for endpoints that drain while callers keep sending requests."""

from __future__ import annotations

import asyncio
import itertools
import time
from concurrent.futures import Future

import attrs
import pytest
from pytest_bdd import given, parsers, then, when

from support.callers import StreamedAnswer, stream_completion
from support.fleet import Endpoint
from support.steps.answers import check_whole
from support.steps.context import MODEL, CompletionRequest, ScenarioContext
from support.steps.fleets import count_started, get_proxy, start_entries

DRAIN_NOTICE_S = 3.0
"""Time after which a draining endpoint gets no new work."""

HOST_LIST_LAG_S = 30.0
LOAD_TOKENS = 20
FURTHER_ANSWERS = 20


@attrs.define(eq=False)
class Load:
    """One caller per entry that sends one request after the other.

    :param context: state of the scenario
    :param entries: indices of the entries
    """

    context: ScenarioContext
    entries: tuple[int, ...]
    requests: list[CompletionRequest] = attrs.field(factory=list)
    stopped: bool = False
    task: Future[None] | None = None

    async def run(self) -> None:
        """Send requests until stopped."""
        await asyncio.gather(*(self._send_until_stopped(entry) for entry in self.entries))

    async def wait_more(self, count: int) -> None:
        """Wait until the given number of further answers has ended."""
        wanted = self.ended + count
        while self.ended < wanted:
            await asyncio.sleep(0.01)

    @property
    def ended(self) -> int:
        """:return: number of answers that have ended."""
        return sum(request.answer.closed for request in self.requests)

    async def _send_until_stopped(self, entry: int) -> None:
        url = self.context.fleet.entries[entry].url
        for number in itertools.count():
            if self.stopped:
                return
            request = CompletionRequest(f"load-{entry}-{number}", LOAD_TOKENS, entry=entry)
            self.requests.append(request)
            await _stream(url, request)


async def _stream(url: str, request: CompletionRequest) -> StreamedAnswer:
    return await stream_completion(
        url,
        request.prompt,
        model=MODEL,
        max_tokens=request.count,
        headers=request.headers,
        answer=request.answer,
        temperature=0,
    )


@attrs.define(eq=False)
class DrainState:
    """The draining endpoint and the start of its drain.

    :param load: callers that keep sending requests
    :param endpoint: the draining endpoint
    :param since_s: start of the drain, seconds of the monotonic clock
    """

    load: Load | None = None
    endpoint: Endpoint | None = None
    since_s: float = 0.0

    def get_load(self) -> Load:
        """:return: the running load."""
        assert self.load is not None
        return self.load

    def get(self) -> Endpoint:
        """:return: the draining endpoint."""
        assert self.endpoint is not None
        return self.endpoint


@pytest.fixture
def drain_state() -> DrainState:
    """:return: state without a draining endpoint."""
    return DrainState()


@given(
    parsers.parse(
        "a fleet of {engines:d} engines and {entries:d} entries, with a delayed host list"
    )
)
def start_lagging(context: ScenarioContext, engines: int, entries: int) -> None:
    start_fleet(context, engines, entries, HOST_LIST_LAG_S)


@given(
    parsers.parse(
        "a fleet of {engines:d} engines and {entries:d} entries, with an up-to-date host list"
    )
)
def start_in_time(context: ScenarioContext, engines: int, entries: int) -> None:
    start_fleet(context, engines, entries, 0.0)


def start_fleet(context: ScenarioContext, engines: int, entries: int, lag_s: float) -> None:
    context.fleet.add_platform(proxied=True, hosts_lag_s=lag_s)
    for number in range(engines):
        context.fleet.add_engine(f"engine-{number}", model=MODEL, proxied=True)
    start_entries(context, entries)


@when("callers send requests to each entry without a pause")
def start_load(context: ScenarioContext, drain_state: DrainState) -> None:
    load_entries(context, drain_state, tuple(range(len(context.fleet.entries))))


@when(parsers.parse("callers send requests to entry {entry:d} without a pause"))
def start_load_at(context: ScenarioContext, drain_state: DrainState, entry: int) -> None:
    load_entries(context, drain_state, (entry,))


def load_entries(
    context: ScenarioContext, drain_state: DrainState, entries: tuple[int, ...]
) -> None:
    if drain_state.load is not None:
        stop_load(context, drain_state)
    drain_state.load = Load(context, entries)
    drain_state.load.task = context.background.spawn(drain_state.load.run())
    context.background.run(drain_state.load.wait_more(FURTHER_ANSWERS))


@when("the first agent is asked to stop")
def stop_agent(context: ScenarioContext, drain_state: DrainState) -> None:
    set_draining(context, drain_state).agent.stop()


@when("the first endpoint is drained by settings")
def drain_endpoint(context: ScenarioContext, drain_state: DrainState) -> None:
    context.fleet.put_setting("drains/engine-0", {"limit_s": 60})
    set_draining(context, drain_state)


@when("the first endpoint is drained by settings, with a limit of 1 second")
def drain_shortly(context: ScenarioContext, drain_state: DrainState) -> None:
    context.fleet.put_setting("drains/engine-0", {"limit_s": 1})
    set_draining(context, drain_state)


@when("the first host is drained by settings")
def drain_host(context: ScenarioContext, drain_state: DrainState) -> None:
    context.fleet.put_setting("drains/engine-0-agent", {"limit_s": 60})
    set_draining(context, drain_state)


@when("the platform lists the first host as leaving")
def list_leaving(context: ScenarioContext, drain_state: DrainState) -> None:
    list_host(context, draining=True)
    set_draining(context, drain_state)


@when("the platform lists the first host as staying")
def list_staying(context: ScenarioContext) -> None:
    list_host(context, draining=False)


def list_host(context: ScenarioContext, *, draining: bool) -> None:
    assert context.fleet.platform is not None
    agent = context.fleet.endpoints[0].agent
    host = {"name": agent.name, "role": "agent", "region": "riga", "data_centre": "riga-a"}
    host |= {"address": agent.public_address, "leaving": draining}
    context.fleet.platform.ask("PUT", f"/control/hosts/{agent.name}", host)


def set_draining(context: ScenarioContext, drain_state: DrainState) -> Endpoint:
    drain_state.endpoint = context.fleet.endpoints[0]
    drain_state.since_s = time.monotonic()
    return drain_state.endpoint


@when("its agent has received the drain")
def wait_known(drain_state: DrainState) -> None:
    drain_state.get().agent.wait_logged('"reason":"leaving"')


@when("its agent is killed and starts again")
def restart_agent(drain_state: DrainState) -> None:
    drain_state.get().agent.restart()


@when(parsers.parse("entry {entry:d} is frozen"))
def freeze_entry(context: ScenarioContext, entry: int) -> None:
    context.fleet.entries[entry].freeze()


@when(parsers.parse("entry {entry:d} is resumed"))
def wake_entry(context: ScenarioContext, entry: int) -> None:
    context.fleet.entries[entry].wake()


@when("the store is cut off for all processes")
def cut_store(context: ScenarioContext) -> None:
    assert context.fleet.platform is not None
    get_proxy(context.fleet.platform).cut()


@then("it gets no new work after 3 seconds")
def check_no_work(context: ScenarioContext, drain_state: DrainState) -> None:
    left_s = drain_state.since_s + DRAIN_NOTICE_S - time.monotonic()
    context.background.run(asyncio.sleep(max(0.0, left_s)))
    started = count_started(drain_state.get())
    context.background.run(drain_state.get_load().wait_more(FURTHER_ANSWERS))
    assert count_started(drain_state.get()) == started


@then("it gets new work again")
def check_work(context: ScenarioContext, drain_state: DrainState) -> None:
    started = count_started(drain_state.get())
    load = drain_state.get_load()
    for _ in range(20):
        context.background.run(load.wait_more(FURTHER_ANSWERS))
        if count_started(drain_state.get()) > started:
            return
    raise AssertionError("no new work")


@then("every answer is complete")
def check_load(context: ScenarioContext, drain_state: DrainState) -> None:
    stop_load(context, drain_state)
    for request in drain_state.get_load().requests:
        check_whole(request)


def stop_load(context: ScenarioContext, drain_state: DrainState) -> None:
    load = drain_state.get_load()
    load.stopped = True
    assert load.task is not None
    context.wait(load.task)


@then("nothing runs on it")
def check_idle(drain_state: DrainState) -> None:
    assert drain_state.get().backend.ask("GET", "/control/counters")["running"] == 0
