"""Measure how long a stream pauses after failures of engines, hosts and entries."""

from __future__ import annotations

import time
from collections.abc import Callable
from concurrent.futures import Future

import attrs
import numpy as np
import typer

from bench.fleets import open_fleet
from support.background import Background
from support.callers import StreamedAnswer, attach_generation, stream_completion
from support.fleet import Endpoint, Fleet, Process

MODEL = "m"
ENGINES = 3
TOKEN_INTERVAL_S = 0.02
TOKENS = 30_000
TOKENS_AROUND_FAILURE = 10
"""Tokens to wait for before and after each failure."""

PERCENTILES = (50, 95, 100)


@attrs.define
class StreamRun:
    """A stream that is resumed after failures.

    :param fleet: processes of the fleet
    :param background: event loop of the caller
    :param gaps: seconds from each failure to the next token
    """

    fleet: Fleet
    background: Background
    gaps: list[float] = attrs.field(factory=list)
    answer: StreamedAnswer = attrs.field(factory=StreamedAnswer)
    running: Future[StreamedAnswer] | None = None

    def begin(self) -> None:
        """Start a stream."""
        if self.running is not None:
            self.running.cancel()
        self.answer = StreamedAnswer()
        url = self.fleet.entries[0].url
        # a new prompt each time: repeated failures at a similar offset would mark it as poison
        prompt = f"review {len(self.gaps)} " + "of the cask " * 32
        ask = stream_completion(
            url, prompt, model=MODEL, max_tokens=TOKENS, seed=1, answer=self.answer
        )
        self.running = self.background.spawn(ask)
        self.wait_more_tokens(TOKENS_AROUND_FAILURE)

    def wait_more_tokens(self, count: int) -> None:
        """Wait for further tokens.

        :param count: number of further tokens
        """
        self.background.run(self.answer.wait_tokens(self.answer.count + count))

    def find_running_endpoint(self) -> Endpoint:
        """:return: the endpoint that runs the stream."""
        generation = next(iter(self.answer.generations))
        for endpoint in self.fleet.endpoints:
            if endpoint.backend.running and self._runs(endpoint, generation):
                return endpoint
        raise RuntimeError("no engine runs the stream")

    def _runs(self, endpoint: Endpoint, generation: str) -> bool:
        # the previous stream, which was cancelled, may still run for a second
        chosen = f'"chosen":"{endpoint.backend.name}","generation":"{generation}"'
        return chosen in self.fleet.entries[0].logs.read_text()

    def measure(self, cause_failure: Callable[[], None]) -> None:
        """Cause a failure and record the gap.

        :param cause_failure: makes the process fail
        """
        failed_s = time.monotonic()
        cause_failure()
        received = len(self.answer.times)
        self.wait_more_tokens(TOKENS_AROUND_FAILURE)
        self.gaps.append(next(t for t in self.answer.times[received:] if t > failed_s) - failed_s)


def _kill_engine(stream: StreamRun) -> None:
    endpoint = stream.find_running_endpoint()
    stream.measure(endpoint.backend.kill)
    endpoint.backend.start()
    endpoint.backend.wait_ready()


def _freeze(stream: StreamRun, processes: list[Process]) -> None:
    stream.measure(lambda: [process.freeze() for process in processes] and None)
    for process in processes:
        process.wake()


def _freeze_engine(stream: StreamRun) -> None:
    _freeze(stream, [stream.find_running_endpoint().backend])


def _freeze_engine_and_agent(stream: StreamRun) -> None:
    endpoint = stream.find_running_endpoint()
    _freeze(stream, [endpoint.backend, endpoint.agent])


def _kill_engine_and_agent(stream: StreamRun) -> None:
    endpoint = stream.find_running_endpoint()
    stream.measure(lambda: [p.kill() for p in (endpoint.backend, endpoint.agent)] and None)
    for process in (endpoint.backend, endpoint.agent):
        process.start()
        process.wait_ready()


def _kill_entry(stream: StreamRun) -> None:
    first, other = stream.fleet.entries
    answer = stream.answer

    def cause_failure() -> None:
        first.kill()
        stream.background.run(answer.wait_closed())
        stream.background.spawn(attach_generation(other.url, answer))

    stream.measure(cause_failure)
    first.start()
    first.wait_ready()
    stream.fleet.entries.reverse()


FAILURES: dict[str, Callable[[StreamRun], None]] = {
    "engine killed": _kill_engine,
    "engine frozen": _freeze_engine,
    "engine and agent killed": _kill_engine_and_agent,
    "engine and agent frozen": _freeze_engine_and_agent,
    "entry killed": _kill_entry,
}


def _run(kind: str, deaths: int) -> None:
    with open_fleet() as (fleet, background):
        fleet.add_platform()
        for number in range(ENGINES):
            fleet.add_engine(
                f"engine-{number}", model=MODEL, slots=4, token_interval_s=TOKEN_INTERVAL_S
            )
        fleet.add_entry("entry-0")
        fleet.add_entry("entry-1")
        fleet.wait_ready()
        stream = StreamRun(fleet, background)
        for _ in range(deaths):
            stream.begin()
            FAILURES[kind](stream)
        counters = [e.backend.ask("GET", "/control/counters") for e in fleet.endpoints]
    quantiles_s = np.percentile(stream.gaps, PERCENTILES)
    cached = sum(c["cached_tokens"] for c in counters)
    computed = sum(c["prefilled_tokens"] for c in counters)
    typer.echo(
        f"{kind}: {len(stream.gaps)} deaths, seconds to the next token "
        + ", ".join(
            f"p{percentile} {quantile_s:.3f}"
            for percentile, quantile_s in zip(PERCENTILES, quantiles_s, strict=True)
        )
        + f"; prefill tokens at the engines now alive: {computed} computed, {cached} cached"
    )


def main(deaths: int = 100, kind: str = "") -> None:
    """Print percentiles of the gaps.

    :param deaths: number of failures of each kind
    :param kind: the only kind to measure; empty for all
    """
    for name in [kind] if kind else FAILURES:
        _run(name, deaths)


if __name__ == "__main__":
    typer.run(main)
