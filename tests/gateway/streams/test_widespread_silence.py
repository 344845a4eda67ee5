"""Engines that fall silent together for a second: no prompt is read again for it."""

from __future__ import annotations

import asyncio
import time

import pytest

from basilroad.gateway.calls.handler import CallHandler
from basilroad.gateway.exchange.localstate import list_failures
from basilroad.gateway.streams import stalltimer
from basilroad.http import channelpool
from builders import RecordingResponder, build_call, build_stream_route

pytestmark = pytest.mark.by_turns

ENGINES = 10
STREAMS = 20
EVENTS = 40
EVENT_S = 0.05
SILENCE_S = 1.0
GAP_S = 0.75
"""Longest gap between two events of a stream that has a copy at an engine that answers."""

ROUTE = build_stream_route(prefix="/s/")


class TimingResponder(RecordingResponder):
    """Records when the parts of a response arrive."""

    def __init__(self) -> None:
        super().__init__()
        self.times: list[float] = []

    async def write(self, data: bytes) -> None:
        await super().write(data)
        self.times.append(time.monotonic())

    @property
    def longest_gap_s(self) -> float:
        """:return: longest time between two parts."""
        return max(b - a for a, b in zip(self.times, self.times[1:], strict=False))


@pytest.fixture(autouse=True)
def patient_connects(monkeypatch: pytest.MonkeyPatch) -> None:
    """A busy host takes long to open connections, which these tests are not about."""
    monkeypatch.setattr(channelpool, "CONNECT_TIMEOUT_S", 5.0)


@pytest.fixture
async def engines(start_server):
    """:return: engines of three data centres, by turns."""
    return [
        await start_server(
            f"i-{number}",
            service="llm",
            events=EVENTS,
            event_interval_s=EVENT_S,
            data_centre=("riga-a", "riga-b", "kurzeme-a")[number % 3],
        )
        for number in range(ENGINES)
    ]


def start_streams(gateway, count: int = STREAMS):
    responders = [TimingResponder() for _ in range(count)]
    tasks = [
        asyncio.ensure_future(
            CallHandler(gateway).handle(build_call(ROUTE, id=f"c{number}"), responder)
        )
        for number, responder in enumerate(responders)
    ]
    return responders, tasks


def count_read_anew(engines) -> int:
    """:return: runs that read the prompt of a stream once more."""
    runs = [run for engine in engines for run in engine.runs]
    fresh = [run.id for run in runs if "kv-from" not in run.headers]
    return len(fresh) - len(set(fresh))


def check_whole(responders) -> None:
    assert [r.numbers for r in responders] == [list(range(1, EVENTS + 1))] * len(responders)


async def silence(engines, length_s: float = SILENCE_S) -> None:
    await asyncio.gather(*(engine.fall_silent(length_s) for engine in engines))


# a second of silence of half of the engines had their prompts read again by the other half
@pytest.mark.parametrize("share", [2, 1])
async def test_engines_that_are_silent_together_for_a_second_lose_no_stream(
    gateway, engines, share: int
) -> None:
    responders, tasks = start_streams(gateway)
    await asyncio.sleep(0.4)
    await silence(engines[::share])
    await asyncio.gather(*tasks)
    check_whole(responders)
    assert count_read_anew(engines) == 0


# the same, before the first events
async def test_prompts_that_silent_engines_read_are_not_read_again(
    gateway, engines, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(stalltimer, "STALL_TIMEOUT_S", 5.0)
    for engine in engines:
        engine.response_delay_s = 0.8
    responders, tasks = start_streams(gateway)
    await asyncio.sleep(0.3)
    await silence(engines[::2])
    await asyncio.gather(*tasks)
    check_whole(responders)
    assert count_read_anew(engines) == 0


async def test_streams_of_one_silent_engine_among_ten_resume_within_the_gap(
    gateway, engines
) -> None:
    responders, tasks = start_streams(gateway)
    await asyncio.sleep(0.4)
    engines[0].silent = True
    await asyncio.gather(*tasks)
    check_whole(responders)
    assert max(responder.longest_gap_s for responder in responders) < GAP_S


# an engine that stays silent beside others is left, though their silence ended
async def test_streams_leave_engines_whose_silence_does_not_end(gateway, engines) -> None:
    responders, tasks = start_streams(gateway)
    await asyncio.sleep(0.4)
    for engine in engines[::2]:
        engine.silent = True
    async with asyncio.timeout(12):
        await asyncio.gather(*tasks)
    check_whole(responders)


# a gateway that was cut off named all engines that it used as failed
async def test_a_gateway_that_hears_no_engine_reports_none(gateway, engines) -> None:
    responders, tasks = start_streams(gateway)
    await asyncio.sleep(0.4)
    cut = asyncio.ensure_future(silence(engines))
    reported = set()
    while not cut.done():
        await asyncio.sleep(0.05)
        reported |= set(list_failures(gateway.directory, time.monotonic()))
    await asyncio.gather(*tasks)
    check_whole(responders)
    assert not reported
