"""Measure the correction of an entry's stale view of load, and the error of load reports."""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path

import attrs
import msgspec
from grpclib.client import Channel

from basilroad.endpoints.engine import HttpEngine
from basilroad.endpoints.messages import EngineLoad
from basilroad.http.client import HttpClient, HttpRequest
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.peers.wire.peer_grpc import PeerStub
from bench.traffic import find_quantile
from support.background import Background
from support.callers import StreamedAnswer, stream_completion
from support.fleet import Endpoint, Fleet, Process

MODEL = "spec-llm"
ENGINES = 4
ENTRIES = 4
SLOTS = 4
CALLERS = 14
TOKENS = 15
TOKEN_INTERVAL_S = 0.02
LOAD_REPORT_DELAY_S = 0.5
LINK_DELAY_S = 0.02
SECONDS = 15.0
RUN_TIMEOUT_MARGIN_S = 30.0
SAMPLE_S = 0.05
TIMEOUT_S = 5.0
MODULES = ("bench.uncorrected", "basilroad")


@attrs.define
class ReportErrors:
    """Absolute errors of the reported number of running generations.

    :param agent: errors of the agent's state as an entry receives it
    :param engine: errors of the engine's own delayed report
    """

    agent: list[int] = attrs.field(factory=list)
    engine: list[int] = attrs.field(factory=list)


async def send_in_sequence(entry: str, caller: int, until: float, waits: list[float]) -> None:
    """Send one request after another.

    :param entry: base URL of the entry
    :param caller: number of the caller
    :param until: monotonic time at which to stop
    :param waits: receives the seconds to each first token
    """
    number = 0
    while time.monotonic() < until:
        start, answer = time.monotonic(), StreamedAnswer()
        prompt = f"stock {caller} {number}"
        await stream_completion(entry, prompt, model=MODEL, max_tokens=TOKENS, answer=answer)
        number += 1
        waits.append(answer.times[0] - start if answer.times else TIMEOUT_S)


async def compare_reports(endpoint: Endpoint, until: float) -> ReportErrors:
    """Compare both load reports with the engine's actual load.

    :param endpoint: the engine and its agent
    :param until: monotonic time at which to stop
    :return: errors of both reports
    """
    errors = ReportErrors()
    states: list[wire.EndpointState] = []
    host, _, port = endpoint.agent.address.rpartition(":")
    channel = Channel(host, int(port))
    engine = HttpEngine(endpoint.backend.url)
    client = HttpClient(endpoint.backend.url, TIMEOUT_S)
    collector = asyncio.ensure_future(_collect_states(channel, states))
    while time.monotonic() < until:
        await asyncio.sleep(SAMPLE_S)
        report = await engine.read_load()
        actual = await _read_actual(client)
        if states:
            errors.agent.append(abs(states[-1].running - actual))
            errors.engine.append(abs(report.running - actual))
    collector.cancel()
    await asyncio.gather(collector, return_exceptions=True)
    channel.close()
    await engine.close()
    await client.close()
    return errors


async def _collect_states(channel: Channel, states: list[wire.EndpointState]) -> None:
    async with PeerStub(channel).Converse.open() as stream:
        hello = wire.EntryMessage(hello=wire.EntryHello(host="probe", region="riga"))
        await stream.send_message(wire.EntryFrame(messages=[hello]))
        async for frame in stream:
            states.extend(m.endpoint for m in frame.messages if m.WhichOneof("body") == "endpoint")


async def _read_actual(client: HttpClient) -> int:
    answer = await client.send(HttpRequest("GET", "/control/counters"))
    return msgspec.json.decode(answer.body, type=EngineLoad).running


async def measure(fleet: Fleet) -> tuple[list[float], ReportErrors]:
    """:return: seconds to first tokens, and errors of the reports."""
    until = time.monotonic() + SECONDS
    waits: list[float] = []
    calls = [
        send_in_sequence(fleet.entries[caller % ENTRIES].url, caller, until, waits)
        for caller in range(CALLERS)
    ]
    errors, *_ = await asyncio.gather(compare_reports(fleet.endpoints[0], until), *calls)
    return waits, errors


def run(module: str) -> None:
    """Measure one run and print its figures.

    :param module: Python module that the entries run
    """
    background = Background()
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(Path(directory), background)
        try:
            fleet.add_platform()
            for number in range(ENGINES):
                fleet.add_engine(
                    f"engine-{number}",
                    proxied=True,
                    model=MODEL,
                    slots=SLOTS,
                    token_interval_s=TOKEN_INTERVAL_S,
                    load_delay_s=LOAD_REPORT_DELAY_S,
                )
            for endpoint in fleet.endpoints:
                assert endpoint.agent.proxy is not None
                endpoint.agent.proxy.delay(LINK_DELAY_S)
            for number in range(ENTRIES):
                fleet.add_entry(f"entry-{number}", module=module)
            fleet.wait_ready()
            waits, errors = background.run(measure(fleet), SECONDS + RUN_TIMEOUT_MARGIN_S)
            rejected = sum(_count_busy_rejections(endpoint.agent) for endpoint in fleet.endpoints)
        finally:
            fleet.close()
            background.close()
    print(f"\n{module}: {len(waits)} answers, {rejected} starts refused as busy, ", end="")
    print(f"first token p50 {find_quantile(waits, 0.5):.3f} s, ", end="")
    print(f"p95 {find_quantile(waits, 0.95):.3f} s, p99 {find_quantile(waits, 0.99):.3f} s")
    for name, values in (("agent", errors.agent), ("engine", errors.engine)):
        mean = sum(values) / max(1, len(values))
        print(f"  {name}'s report off by {mean:.2f} of {SLOTS} on average ({len(values)} samples)")


def _count_busy_rejections(agent: Process) -> int:
    return agent.logs.read_text().count('"reason":"busy"')


def main() -> None:
    """Run the baseline, then the product."""
    for module in MODULES:
        run(module)


if __name__ == "__main__":
    main()
