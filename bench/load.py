"""Fleet of real processes and simulated callers for the benchmarks of scheduling policy."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from pathlib import Path

import aiohttp
import attrs
import msgspec

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from basilroad.endpoints.messages import GenerateRequest
from basilroad.standin.tokens import expect_tokens
from support.background import Background
from support.fleet import Fleet

MODEL = "spec-llm"
ENGINES = 4
SLOTS = 8
TOKEN_S = 0.02
PREFILL_S = 0.0004
PROMPT_WORDS = 300
TOKENS = 50
CAPACITY = ENGINES * SLOTS / (TOKENS * TOKEN_S + PROMPT_WORDS * PREFILL_S)
"""Requests of ``TOKENS`` tokens that all engines together complete per second."""

REQUEST_TIMEOUT_S = 60.0
"""Seconds after which a caller cancels its request."""

RANKS = ("urgent", "standard", "batch")

_TIMEOUT = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)


@attrs.frozen
class RequestSpec:
    """Parameters of one request.

    :param caller: name of the caller
    :param rank: name of the rank
    :param tokens: length of the response, in tokens
    :param workspace: name of the workspace
    :param key: idempotency key; empty for none
    """

    caller: str
    rank: str = "standard"
    tokens: int = TOKENS
    workspace: str = "workshop"
    key: str = ""


@attrs.define
class Result:
    """Outcome of one request.

    :param spec: parameters of the request
    :param prompt: prompt that was sent
    :param sent_s: monotonic time at which it was sent, in seconds
    :param status: HTTP status; 0 for a broken connection
    :param texts: tokens in order of arrival
    :param times: monotonic arrival time of each token, in seconds
    :param complete: whether the end of the response arrived
    :param retry_after_s: ``Retry-After`` of a rejection, in seconds
    """

    spec: RequestSpec
    prompt: str
    sent_s: float
    status: int = 0
    texts: list[str] = attrs.field(factory=list)
    times: list[float] = attrs.field(factory=list)
    complete: bool = False
    retry_after_s: float = 0.0

    @property
    def first_s(self) -> float:
        """:return: seconds to the first token."""
        return self.times[0] - self.sent_s

    @property
    def broken(self) -> bool:
        """:return: whether the received text, complete or partial, differs from the expected."""
        expected = expect_tokens(MODEL, "", "1", self.prompt, None, self.spec.tokens)
        text = "".join(self.texts)
        return (
            text != "".join(expected) if self.complete else not "".join(expected).startswith(text)
        )


class System:
    """Sends requests to the system under test.

    :param entries: base URLs of the entries
    """

    name = "basilroad"

    def __init__(self, entries: Sequence[str]) -> None:
        self._entries = entries
        self._next = itertools.count()

    async def send(self, session: aiohttp.ClientSession, result: Result, entry: int | None) -> None:
        """Send one request and read its response.

        :param session: HTTP session of the callers
        :param result: filled in
        :param entry: number of the entry; None takes the next one in rotation
        """
        number = next(self._next) if entry is None else entry
        spec = result.spec
        url = f"{self._entries[number % len(self._entries)]}/v1/completions"
        body = {
            "model": MODEL,
            "prompt": result.prompt,
            "max_tokens": spec.tokens,
            "stream": True,
            "temperature": 0,
        }
        headers = {"X-Rank": spec.rank, "X-Caller": spec.caller, "X-Workspace": spec.workspace}
        if spec.key:
            headers["Idempotency-Key"] = spec.key
        async with session.post(url, json=body, headers=headers, timeout=_TIMEOUT) as response:
            result.status = response.status
            result.retry_after_s = float(response.headers.get("Retry-After", 0))
            async for line in response.content:
                if line == b"data: [DONE]\n":
                    result.complete = True
                elif line.startswith(b"data: ") and response.status == 200:
                    choices = msgspec.json.decode(line[6:]).get("choices") or [{}]
                    _record_tokens(result, choices[0].get("text") or "")


class Baseline:
    """Round robin over the engines, first come first served; a failed request starts over.

    :param engines: base URLs of the engines
    """

    name = "baseline"

    def __init__(self, engines: Sequence[str]) -> None:
        self._engines = engines
        self._next = itertools.count()

    async def send(self, session: aiohttp.ClientSession, result: Result, entry: int | None) -> None:
        """Send one request and read its response.

        :param session: HTTP session of the callers
        :param result: filled in
        :param entry: not used
        """
        del entry
        for _ in self._engines:
            result.texts.clear()
            result.times.clear()
            url = self._engines[next(self._next) % len(self._engines)]
            with contextlib.suppress(aiohttp.ClientError):
                await self._try(session, result, url)
            if result.complete:
                return

    async def _try(self, session: aiohttp.ClientSession, result: Result, url: str) -> None:
        request = GenerateRequest(
            request_id=f"{next(self._next)}",
            prompt=result.prompt,
            prior=(),
            max_tokens=result.spec.tokens,
            temperature=0.0,
            seed=None,
            stop=(),
            priority=0,
            model=MODEL,
            adapter="",
            version="1",
        )
        raw = msgspec.json.encode(request)
        async with session.post(f"{url}/generate", data=raw, timeout=_TIMEOUT) as response:
            result.status = response.status
            async for line in response.content:
                if not line.startswith(b"data: "):
                    continue
                event = msgspec.json.decode(line[6:])
                result.complete = result.complete or "finish" in event
                _record_tokens(result, event.get("token", ""))


class Load:
    """Callers that send at a given rate, or one request after another.

    :param target: receives the requests
    :param seed: seed of the arrival times and response lengths
    """

    def __init__(self, target: System | Baseline, seed: int = 1) -> None:
        self.target = target
        self.results: list[Result] = []
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task[Result]] = set()
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(connector=connector)

    async def send(self, spec: RequestSpec, entry: int | None = None) -> Result:
        """Send one request.

        :param spec: parameters of the request
        :param entry: number of the entry; None for any
        :return: the outcome
        """
        result = self.prepare(spec)
        await self.run(result, entry)
        return result

    def prepare(self, spec: RequestSpec) -> Result:
        """:return: the empty result of a request that is sent now."""
        words = " ".join(f"w{i}" for i in range(PROMPT_WORDS - 1))
        prompt = f"{self.target.name}{spec.key or next(self._numbers)} {words}"
        result = Result(spec, prompt, time.monotonic())
        self.results.append(result)
        return result

    async def run(self, result: Result, entry: int | None = None) -> None:
        """Send a prepared request.

        :param result: filled in
        :param entry: number of the entry; None for any
        """
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            await self.target.send(self._session, result, entry)

    async def send_at_rate(self, spec: RequestSpec, rate: float, seconds: float) -> None:
        """Send requests with Poisson arrivals.

        :param spec: parameters of each request; the length is varied
        :param rate: requests per second
        :param seconds: duration
        """
        due = time.monotonic()
        end = due + seconds
        while True:
            due += self._random.expovariate(rate)
            if due > end:
                return
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            randomized = attrs.evolve(spec, tokens=self._randomize_length(spec.tokens))
            task = asyncio.create_task(self.send(randomized))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _randomize_length(self, tokens: int) -> int:
        # responses of equal length would all end at the same time
        return self._random.randint(tokens // 2, tokens + tokens // 2)

    async def send_in_sequence(self, spec: RequestSpec, seconds: float, entry: int | None) -> None:
        """Send one request after another.

        :param spec: parameters of each request
        :param seconds: duration
        :param entry: number of the entry; None for any
        """
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            result = await self.send(spec, entry)
            if not result.complete:
                await asyncio.sleep(max(0.2, result.retry_after_s))

    async def end(self) -> None:
        """Cancel the requests in flight and close the session."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._session.close()


@contextlib.contextmanager
def run_fleet(entries: int, engines: int = ENGINES) -> Iterator[Fleet]:
    """Run engines with agents, and entries.

    :param entries: number of entries
    :param engines: number of engines
    :return: the fleet, ready
    """
    background = Background()
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(Path(directory), background)
        try:
            fleet.add_platform()
            for number in range(engines):
                fleet.add_engine(
                    f"engine-{number}",
                    model=MODEL,
                    slots=SLOTS,
                    token_interval_s=TOKEN_S,
                    prefill_s_per_token=PREFILL_S,
                    cache_tokens=16,
                )
            for number in range(entries):
                fleet.add_entry(f"entry-{number}")
            fleet.wait_ready()
            yield fleet
        finally:
            fleet.close()
            background.close()


def build_targets(fleet: Fleet) -> tuple[System, Baseline]:
    """:return: the system, and the baseline on the same engines."""
    system = System([entry.url for entry in fleet.entries])
    return system, Baseline([endpoint.backend.url for endpoint in fleet.endpoints])


def find_p95(values: Sequence[float]) -> float:
    """:return: 95th percentile; infinite if there are no values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(0.95 * len(ordered)))] if ordered else float("inf")


def count_tokens(results: Sequence[Result], begin: float, end: float) -> int:
    """:return: number of tokens that arrived from ``begin`` until before ``end``."""
    return sum(begin <= at < end for result in results for at in result.times)


def _record_tokens(result: Result, text: str) -> None:
    # an event may carry several tokens, each of which begins with a space
    for token in text.split(" ")[1:]:
        result.texts.append(f" {token}")
        result.times.append(time.monotonic())


__all__ = [
    "CAPACITY",
    "ENGINES",
    "RANKS",
    "SLOTS",
    "TOKENS",
    "Baseline",
    "Load",
    "RequestSpec",
    "Result",
    "System",
    "build_targets",
    "count_tokens",
    "find_p95",
    "run_fleet",
]
