"""Calls in flight beside changes of the config: each gets a whole answer or a refusal."""

from __future__ import annotations

import asyncio
import itertools
import random
import re
import time
from collections.abc import AsyncIterator, Callable, Coroutine, Sequence
from typing import Any

import attrs
import pytest

from basilroad.http import channelpool
from basilroad.http.ends import EndCause
from basilroad.platform import run
from basilroad.standin.appserver import AppServerStandin
from support.gatewayrig import HEADERS, GatewayRig, build_config
from support.timelimit import limit_time

pytestmark = pytest.mark.by_turns

Config = dict[str, Any]
Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]

EVENTS = 10
EVENT_S = 0.08
ANSWER_S = 0.6
TIMEOUT_MS = 6000
LIMIT_S = 15.0
"""Time by which each call must have ended, well beyond its time limit."""

SHORT_TIMEOUT_S = 0.3
"""Time limit of a route that is shorter than a stream."""

LATE_END_S = 0.25
"""Time after its route's time limit by which a call has ended."""

REFUSALS = frozenset({401, 404, 413, 429, 502, 503, 504})


@attrs.frozen
class Answer:
    """What a caller received.

    :param status: status code; 0 without a response head
    :param whole: whether the answer is complete
    :param body: body as it was sent
    :param took_s: seconds from sending the request to its end
    """

    status: int
    whole: bool
    body: bytes = b""
    took_s: float = 0.0


class ChangingRig(GatewayRig):
    """A gateway, its store, an order server and two engines, with a config that is changed."""

    def __init__(self) -> None:
        super().__init__()
        self.other_llm = AppServerStandin("i-llm-2", events=EVENTS)
        self.new_servers: list[AppServerStandin] = []
        self.config: Config = build_config(1, "key")
        for route in self.config["routes"]:
            route |= {"timeoutMs": TIMEOUT_MS, "sloMs": 4000}

    @property
    def engines(self) -> tuple[AppServerStandin, AppServerStandin]:
        return self.llm, self.other_llm

    async def start(self) -> None:
        await super().start()
        await self.other_llm.start()
        self._list(self.other_llm, "llm")
        await self._apply()
        async with limit_time(5):
            while len(list(self.service.gateway.directory)) < 3:
                await asyncio.sleep(0.01)

    def _list(self, server: AppServerStandin, service: str, slots: int = 30) -> None:
        entry = {"service": service, "zone": "a", "slots": slots, "state": "ready", "version": "v1"}
        self.store.put(
            "servers",
            server.id,
            {**entry, "address": f"127.0.0.1:{server.port}", "born": server.born},
        )

    def send_change(self, change: Callable[[Config], None]) -> int:
        """Write a new version of the config.

        :param change: changes the previous one
        :return: its version
        """
        change(self.config)
        self.config["version"] += 1
        self.store.put("op", "config", self.config)
        return int(self.config["version"])

    async def change(self, change: Callable[[Config], None]) -> None:
        """Change the config and wait until the gateway has read it."""
        self.send_change(change)
        await self._apply()

    async def _apply(self) -> None:
        self.store.put("op", "config", self.config)
        async with limit_time(5):
            while self.version != self.config["version"]:
                await asyncio.sleep(0.01)

    async def replace_servers(self) -> None:
        """Let all servers of both services be followed by new ones; the old ones work on."""
        for service, events in (("app", 0), ("llm", EVENTS)):
            server = AppServerStandin(f"i-new-{service}", events=events)
            await server.start()
            self.new_servers.append(server)
            self._list(server, service)
        for old in (self.app, *self.engines):
            self.store.put("servers", old.id, None)

    async def stop(self) -> None:
        await super().stop()
        for server in (self.other_llm, *self.new_servers):
            await server.stop()

    def list_ends(self) -> dict[str, float]:
        """:return: number of connections that ended without a whole answer, by cause."""
        registry = self.service.gateway.metrics.registry
        name = "basilroad_connections_ended_total"
        counts = {
            cause.value: registry.get_sample_value(name, {"cause": cause.value}) or 0.0
            for cause in EndCause
        }
        return {cause: count for cause, count in counts.items() if count}


@pytest.fixture(autouse=True)
def patient_connects(monkeypatch: pytest.MonkeyPatch) -> None:
    """A busy host takes long to open connections, which these tests are not about."""
    monkeypatch.setattr(channelpool, "CONNECT_TIMEOUT_S", 5.0)


@pytest.fixture
async def rig() -> AsyncIterator[ChangingRig]:
    rig = ChangingRig()
    await rig.start()
    for engine in rig.engines:
        engine.event_interval_s = EVENT_S
    yield rig
    await rig.stop()


# callers


def build_head(
    path: str, request_id: str, length: int, deadline_s: float = TIMEOUT_MS / 1000
) -> bytes:
    headers = {
        **HEADERS,
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": str(round(1000 * deadline_s)),
        "Content-Length": str(length),
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode()


async def connect(rig: GatewayRig) -> Connection:
    front = rig.service.settings.front
    return await asyncio.open_connection(front.ip, front.port)


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer as a caller does, until it is complete or the connection ends."""
    status, body = 0, b""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        status = int(head.split()[1])
        length = re.search(rb"content-length: (\d+)", head.lower())
        if length is not None:
            return Answer(status, True, await reader.readexactly(int(length[1])))
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return Answer(status, True, body)
            body += chunk[:-2]
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(status, False, body)


async def send_call(
    rig: GatewayRig, path: str, request_id: str, deadline_s: float = TIMEOUT_MS / 1000
) -> Answer:
    """Send a call on a connection of its own and read its answer."""
    reader, writer = await connect(rig)
    sent_at = time.monotonic()
    try:
        writer.write(build_head(path, request_id, 4, deadline_s) + b"body")
        async with limit_time(LIMIT_S):
            answer = await read_answer(reader)
            return attrs.evolve(answer, took_s=time.monotonic() - sent_at)
    finally:
        writer.close()


async def send_in_halves(rig: GatewayRig, path: str, request_id: str, pause_s: float) -> Answer:
    """Send a call whose body arrives in two parts."""
    reader, writer = await connect(rig)
    try:
        writer.write(build_head(path, request_id, 8) + b"half")
        await asyncio.sleep(pause_s)
        writer.write(b"body")
        async with limit_time(LIMIT_S):
            return await read_answer(reader)
    finally:
        writer.close()


def is_whole_stream(answer: Answer) -> bool:
    """:return: whether each event came once, in order."""
    numbers = [int(number) for number in re.findall(rb"id: (\d+)\n", answer.body)]
    return answer.whole and numbers == list(range(1, EVENTS + 1))


# changes


def drop_routes(config: Config) -> None:
    config["routes"] = [{**route, "prefix": "/elsewhere/"} for route in config["routes"][:1]]


def move_routes(config: Config) -> None:
    config["services"].append({"name": "other"})
    for route in config["routes"]:
        route["service"] = "other"


def drop_services(config: Config) -> None:
    move_routes(config)
    config["services"] = [{"name": "other"}]


def take_key_away(config: Config) -> None:
    config["tenants"] = [{"name": "tenant", "apiKeys": ["another"]}]


def shorten_timeouts(config: Config) -> None:
    for route in config["routes"]:
        route |= {"timeoutMs": 1000 * SHORT_TIMEOUT_S, "sloMs": 50}


def allow_one_attempt(config: Config) -> None:
    for route in config["routes"]:
        route["maxAttempts"] = 1


def lower_body_limit(config: Config) -> None:
    config["limits"] = {**config["limits"], "maxBodyBytes": 2}


def shorten_idle_time(config: Config) -> None:
    config["limits"] = {**config["limits"], "idleTimeoutMs": 1, "headerTimeoutMs": 1}


def forbid_resuming(config: Config) -> None:
    for route in config["routes"]:
        route["resumable"] = False


def make_engines_plain(config: Config) -> None:
    config["services"] = [{"name": service["name"]} for service in config["services"]]


CHANGES: list[Callable[[Config], None]] = [
    drop_routes,
    move_routes,
    drop_services,
    take_key_away,
    shorten_timeouts,
    allow_one_attempt,
    lower_body_limit,
    shorten_idle_time,
    forbid_resuming,
    make_engines_plain,
]

change_kinds = pytest.mark.parametrize("change", CHANGES, ids=lambda change: change.__name__)


# calls in flight


@attrs.define
class CallsInFlight:
    """Calls in several states, sent before a change.

    :param orders: orders that are sent and not answered yet
    :param halves: orders of which half the body is received
    :param streams: streams, most of them midway
    """

    orders: list[asyncio.Task[Answer]] = attrs.field(factory=list)
    halves: list[asyncio.Task[Answer]] = attrs.field(factory=list)
    streams: list[asyncio.Task[Answer]] = attrs.field(factory=list)

    async def check(self, rig: ChangingRig) -> None:
        """Wait for all answers and check each."""
        orders = await asyncio.gather(*self.orders)
        streams = await asyncio.gather(*self.streams)
        halves = await asyncio.gather(*self.halves)
        assert [(answer.status, answer.whole) for answer in orders] == [(200, True)] * len(orders)
        assert [is_whole_stream(answer) for answer in streams] == [True] * len(streams)
        # admitted under the old config, with a body that a lower limit forbids
        for answer in halves:
            assert answer.whole
            assert answer.status == 200 or answer.status in REFUSALS
        assert rig.list_ends() == {}


async def start_calls(rig: ChangingRig) -> CallsInFlight:
    """Start calls, and return when they are in their states."""
    calls, ids = CallsInFlight(), itertools.count()
    start: Callable[[Coroutine[Any, Any, Answer]], asyncio.Task[Answer]] = asyncio.ensure_future
    rig.app.response_delay_s = ANSWER_S
    for _ in range(4):
        calls.streams.append(start(send_call(rig, "/s/1", f"midway-{next(ids)}")))
    await wait_for_runs(rig, 4, calls.streams)
    await asyncio.sleep(2.5 * EVENT_S)
    for engine in rig.engines:
        engine.response_delay_s = ANSWER_S
    for _ in range(2):
        calls.streams.append(start(send_call(rig, "/s/1", f"early-{next(ids)}")))
        calls.orders.append(start(send_call(rig, "/o/1", f"order-{next(ids)}")))
        calls.halves.append(start(send_in_halves(rig, "/o/1", f"half-{next(ids)}", 0.5)))
    await wait_for_runs(rig, 6)
    async with limit_time(LIMIT_S):
        while len(rig.app.ran) < 2:
            await asyncio.sleep(0.01)
    return calls


async def wait_for_runs(
    rig: ChangingRig, number: int, streams: Sequence[asyncio.Task[Answer]] = ()
) -> None:
    """Wait until engines run that many streams.

    :param rig: the gateway
    :param number: number of runs
    :param streams: streams of which none may end before
    """
    async with limit_time(LIMIT_S):
        while sum(len(engine.ran) for engine in rig.engines) < number:
            assert [task.result() for task in streams if task.done()] == []
            await asyncio.sleep(0.01)


@change_kinds
async def test_calls_in_flight_end_as_they_were_admitted(
    rig: ChangingRig, change: Callable[[Config], None]
) -> None:
    calls = await start_calls(rig)
    await rig.change(change)
    await calls.check(rig)


@pytest.mark.parametrize("seed", range(6))
async def test_calls_in_flight_survive_changes_one_after_another(
    rig: ChangingRig, seed: int
) -> None:
    calls = await start_calls(rig)
    for change in random.Random(seed).sample(CHANGES, len(CHANGES)):
        rig.send_change(change)
        await asyncio.sleep(0.03)
    await calls.check(rig)


async def test_calls_in_flight_survive_new_servers_for_all_services(rig: ChangingRig) -> None:
    calls = await start_calls(rig)
    await rig.replace_servers()
    await rig.change(allow_one_attempt)
    await calls.check(rig)


@change_kinds
async def test_streams_resume_when_their_engine_breaks_beside_a_change(
    rig: ChangingRig, change: Callable[[Config], None]
) -> None:
    calls = await start_calls(rig)
    changing = asyncio.ensure_future(rig.change(change))
    await rig.llm.stop()
    await changing
    await calls.check(rig)


@change_kinds
async def test_streams_resume_at_new_servers_when_all_old_ones_end_beside_a_change(
    rig: ChangingRig, change: Callable[[Config], None]
) -> None:
    calls = await start_calls(rig)
    await rig.replace_servers()
    await rig.change(change)
    await asyncio.sleep(0.1)
    for engine in rig.engines:
        await engine.stop()
    await calls.check(rig)


@pytest.mark.parametrize("engines", [1, 2])
@change_kinds
async def test_streams_outlast_a_silent_second_beside_a_change(
    rig: ChangingRig, change: Callable[[Config], None], engines: int
) -> None:
    calls = await start_calls(rig)
    for engine in rig.engines[:engines]:
        engine.silent = True
    await rig.change(change)
    await asyncio.sleep(1.0)
    for engine in rig.engines:
        engine.silent = False
    await calls.check(rig)


@change_kinds
async def test_streams_with_one_attempt_outlast_a_silent_second_beside_a_change(
    rig: ChangingRig, change: Callable[[Config], None]
) -> None:
    # fault: all streams of a silent engine were cut, though none could resume elsewhere
    await rig.change(allow_one_attempt)
    calls = await start_calls(rig)
    rig.llm.silent = True
    await rig.change(change)
    await asyncio.sleep(1.0)
    rig.llm.silent = False
    await calls.check(rig)


async def test_a_stream_that_can_resume_nowhere_is_cut_with_a_line(
    rig: ChangingRig, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("INFO")
    await rig.change(allow_one_attempt)
    stream = asyncio.ensure_future(send_call(rig, "/s/1", "stream"))
    await wait_for_runs(rig, 1)
    await asyncio.sleep(2.5 * EVENT_S)
    await rig.change(drop_services)
    for engine in rig.engines:
        await engine.stop()
    answer = await stream
    assert (answer.status, answer.whole) == (200, False)
    lines = [(line.message, getattr(line, "request", "")) for line in caplog.records]
    assert ("stream broken", "stream") in lines
    assert ("connection ended", "stream") in lines
    assert rig.list_ends() == {"stream_broken": 1}


# queued calls


@change_kinds
async def test_queued_calls_are_answered_or_refused(
    rig: ChangingRig, change: Callable[[Config], None]
) -> None:
    rig.store.put("servers", rig.app.id, None)
    for engine in rig.engines:
        rig.store.put("servers", engine.id, None)
    async with limit_time(5):
        while list(rig.service.gateway.directory):
            await asyncio.sleep(0.01)
    tasks = [
        asyncio.ensure_future(send_call(rig, path, f"queued-{number}"))
        for number, path in enumerate(["/o/1", "/s/1"] * 3)
    ]
    async with limit_time(5):
        while rig.service.gateway.dispatcher.waiting < 6:
            await asyncio.sleep(0.01)
    await rig.change(change)
    await asyncio.sleep(0.1)
    await rig.replace_servers()
    for answer in await asyncio.gather(*tasks):
        assert answer.whole
        assert answer.status == 200
    assert rig.list_ends() == {}


# bodies that are refused midway


@pytest.mark.parametrize(
    ("change", "status"),
    [
        (lower_body_limit, 413),
        (take_key_away, 401),
        (drop_routes, 404),
    ],
    ids=["413", "401", "404"],
)
@pytest.mark.parametrize("closes", [False, True], ids=["kept", "closing"])
async def test_a_caller_receives_the_refusal_though_it_still_sends(
    rig: ChangingRig, change: Callable[[Config], None], status: int, closes: bool
) -> None:
    await rig.change(change)
    reader, writer = await connect(rig)
    size = 4 * 1024 * 1024
    head = build_head("/o/1", "long", size)
    if closes:
        head = head.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    writer.write(head)
    # a caller that reads only when it has sent everything
    for _ in range(64):
        writer.write(bytes(size // 64))
        await writer.drain()
        await asyncio.sleep(0.01)
    async with limit_time(LIMIT_S):
        answer = await read_answer(reader)
        assert (answer.status, answer.whole) == (status, True)
        if closes:
            assert await reader.read() == b""
        else:
            writer.write(build_head("/o/1", "next", 1) + b"x")
            assert (await read_answer(reader)).whole
    writer.close()
    assert rig.list_ends() == {}


async def test_a_body_that_a_new_limit_forbids_midway_is_refused_whole(rig: ChangingRig) -> None:
    reader, writer = await connect(rig)
    writer.write(build_head("/o/1", "long", 8000) + bytes(1000))
    await asyncio.sleep(0.1)
    await rig.change(lower_body_limit)
    # the limit of the config that admitted the request holds, or the new one
    for _ in range(7):
        writer.write(bytes(1000))
        await writer.drain()
        await asyncio.sleep(0.02)
    async with limit_time(LIMIT_S):
        answer = await read_answer(reader)
    writer.close()
    assert answer.whole
    assert answer.status in (200, 413)
    assert rig.list_ends() == {}


# calls that wait for a confirmation of the config, and reloads


@change_kinds
async def test_calls_that_wait_for_a_fresh_config_are_answered_or_refused(
    rig: ChangingRig, change: Callable[[Config], None]
) -> None:
    rig.store.refusing = 503
    freshness, limit_s = rig.service.gateway.freshness, rig.service.gateway.settings.key_age_limit_s
    assert limit_s is not None
    async with limit_time(10):
        while freshness.is_within(limit_s):
            await asyncio.sleep(0.005)
    tasks = [
        asyncio.ensure_future(send_call(rig, path, f"waits-{number}"))
        for number, path in enumerate(["/o/1", "/s/1"] * 4)
    ]
    await asyncio.sleep(0.05)
    rig.send_change(change)
    rig.store.refusing = 0
    answers = await asyncio.gather(*tasks)
    # a stream that begins under the new config is cut at the end of its time
    cut = [] if change is not shorten_timeouts else [a for a in answers if not a.whole]
    for answer in (answer for answer in answers if answer not in cut):
        assert answer.whole
        assert answer.status == 200 or answer.status in REFUSALS
    assert sum(rig.list_ends().values()) == len(cut)
    assert all(answer.took_s >= SHORT_TIMEOUT_S for answer in cut)


async def test_a_stream_is_not_cut_before_the_time_limit_of_its_route(rig: ChangingRig) -> None:
    # fault: the reserve for sending an answer was also taken from time limits of routes, so that
    # streams whose callers had more time were cut just before the limit
    def shorten(config: Config) -> None:
        for route in config["routes"]:
            route["timeoutMs"] = 1000 * SHORT_TIMEOUT_S

    await rig.change(shorten)
    rig.app.response_delay_s = 5.0
    order, stream = await asyncio.gather(
        send_call(rig, "/o/1", "order"), send_call(rig, "/s/1", "stream")
    )
    assert (order.status, order.whole) == (504, True)
    assert (stream.status, stream.whole) == (200, False)
    assert SHORT_TIMEOUT_S <= stream.took_s < SHORT_TIMEOUT_S + LATE_END_S
    assert rig.list_ends() == {"stream_broken": 1}


async def test_an_answer_comes_before_the_end_of_its_callers_time(rig: ChangingRig) -> None:
    rig.app.response_delay_s = 5.0
    answer = await send_call(rig, "/o/1", "order", deadline_s=0.5)
    assert (answer.status, answer.whole) == (504, True)
    assert answer.took_s < 0.5


@change_kinds
async def test_calls_in_flight_survive_a_reload_beside_a_change(
    rig: ChangingRig, change: Callable[[Config], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    bounds = attrs.evolve(
        rig.service.settings.bounds, revoke_s=1.0, retry_ratio=0.1, retry_slack=1, grace_s=2.0
    )
    settings = attrs.evolve(rig.service.settings, bounds=bounds)
    monkeypatch.setattr(run, "load_process_settings", lambda _: settings)
    calls = await start_calls(rig)
    rig.send_change(change)
    rig.service.reload()
    await asyncio.sleep(0.05)
    rig.service.reload()
    await calls.check(rig)
