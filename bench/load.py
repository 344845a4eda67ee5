"""Fleet of real processes and callers for the measurements of policy."""

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
"""Requests of ``TOKENS`` that the engines finish in a second."""

GIVE_UP_S = 60.0
"""Seconds after which a caller hangs up."""

RANKS = ("urgent", "standard", "batch")

_EMPTY = aiohttp.ClientTimeout(total=GIVE_UP_S)


@attrs.frozen
class Work:
    """One request.

    :param caller: who sends it
    :param rank: name of its rank
    :param tokens: length of the answer
    :param workspace: whose it is
    :param key: idempotency key; empty for none
    """

    caller: str
    rank: str = "standard"
    tokens: int = TOKENS
    workspace: str = "workshop"
    key: str = ""


@attrs.define
class Result:
    """What became of a request.

    :param work: the request
    :param prompt: its prompt
    :param sent_s: when it was sent
    :param status: HTTP status; 0 for a broken connection
    :param texts: tokens as they came
    :param times: when they came
    :param whole: whether the end came
    :param retry_after_s: what a refusal said
    """

    work: Work
    prompt: str
    sent_s: float
    status: int = 0
    texts: list[str] = attrs.field(factory=list)
    times: list[float] = attrs.field(factory=list)
    whole: bool = False
    retry_after_s: float = 0.0

    @property
    def first_s(self) -> float:
        """:return: seconds to the first token."""
        return self.times[0] - self.sent_s

    @property
    def broken(self) -> bool:
        """:return: whether the answer, or the part that came, is not what was to come."""
        expected = expect_tokens(MODEL, "", "1", self.prompt, None, self.work.tokens)
        text = "".join(self.texts)
        return text != "".join(expected) if self.whole else not "".join(expected).startswith(text)


class System:
    """Callers' side of the system under test.

    :param entries: base URLs
    """

    name = "basilroad"

    def __init__(self, entries: Sequence[str]) -> None:
        self._entries = entries
        self._next = itertools.count()

    async def send(self, session: aiohttp.ClientSession, result: Result, entry: int | None) -> None:
        """Send one request and take its answer.

        :param session: of the callers
        :param result: filled
        :param entry: number of the entry; the next one in turn if absent
        """
        number = next(self._next) if entry is None else entry
        work = result.work
        url = f"{self._entries[number % len(self._entries)]}/v1/completions"
        body = {
            "model": MODEL,
            "prompt": result.prompt,
            "max_tokens": work.tokens,
            "stream": True,
            "temperature": 0,
        }
        headers = {"X-Rank": work.rank, "X-Caller": work.caller, "X-Workspace": work.workspace}
        if work.key:
            headers["Idempotency-Key"] = work.key
        async with session.post(url, json=body, headers=headers, timeout=_EMPTY) as response:
            result.status = response.status
            result.retry_after_s = float(response.headers.get("Retry-After", 0))
            async for line in response.content:
                if line == b"data: [DONE]\n":
                    result.whole = True
                elif line.startswith(b"data: ") and response.status == 200:
                    choices = msgspec.json.decode(line[6:]).get("choices") or [{}]
                    _note(result, choices[0].get("text") or "")


class Baseline:
    """First come, first served, with the endpoints taking turns; a lost request starts anew.

    :param engines: base URLs
    """

    name = "baseline"

    def __init__(self, engines: Sequence[str]) -> None:
        self._engines = engines
        self._next = itertools.count()

    async def send(self, session: aiohttp.ClientSession, result: Result, entry: int | None) -> None:
        """Send one request and take its answer.

        :param session: of the callers
        :param result: filled
        :param entry: not used
        """
        del entry
        for _ in self._engines:
            result.texts.clear()
            result.times.clear()
            url = self._engines[next(self._next) % len(self._engines)]
            with contextlib.suppress(aiohttp.ClientError):
                await self._try(session, result, url)
            if result.whole:
                return

    async def _try(self, session: aiohttp.ClientSession, result: Result, url: str) -> None:
        order = GenerateRequest(
            request_id=f"{next(self._next)}",
            prompt=result.prompt,
            prior=(),
            max_tokens=result.work.tokens,
            temperature=0.0,
            seed=None,
            stop=(),
            priority=0,
            model=MODEL,
            adapter="",
            version="1",
        )
        raw = msgspec.json.encode(order)
        async with session.post(f"{url}/generate", data=raw, timeout=_EMPTY) as response:
            result.status = response.status
            async for line in response.content:
                if not line.startswith(b"data: "):
                    continue
                event = msgspec.json.decode(line[6:])
                result.whole = result.whole or "finish" in event
                _note(result, event.get("token", ""))


class Load:
    """Callers that send at a rate, or one request after the other.

    :param target: where they send
    :param seed: of the arrivals
    """

    def __init__(self, target: System | Baseline, seed: int = 1) -> None:
        self.target = target
        self.results: list[Result] = []
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task[Result]] = set()
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(connector=connector)

    async def send(self, work: Work, entry: int | None = None) -> Result:
        """Send one request.

        :param work: the request
        :param entry: number of the entry, if it matters
        :return: what became of it
        """
        result = self.prepare(work)
        await self.run(result, entry)
        return result

    def prepare(self, work: Work) -> Result:
        """:return: a place for what becomes of a request that is sent now."""
        words = " ".join(f"w{i}" for i in range(PROMPT_WORDS - 1))
        prompt = f"{self.target.name}{work.key or next(self._numbers)} {words}"
        result = Result(work, prompt, time.monotonic())
        self.results.append(result)
        return result

    async def run(self, result: Result, entry: int | None = None) -> None:
        """Send a request that was prepared.

        :param result: filled
        :param entry: number of the entry, if it matters
        """
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            await self.target.send(self._session, result, entry)

    async def arrive(self, work: Work, rate: float, seconds: float) -> None:
        """Send requests at random times.

        :param work: each request
        :param rate: requests a second
        :param seconds: for how long
        """
        due = time.monotonic()
        end = due + seconds
        while True:
            due += self._random.expovariate(rate)
            if due > end:
                return
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            varied = attrs.evolve(work, tokens=self._vary(work.tokens))
            task = asyncio.create_task(self.send(varied))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _vary(self, tokens: int) -> int:
        # answers of one length would end all at once
        return self._random.randint(tokens // 2, tokens + tokens // 2)

    async def keep(self, work: Work, seconds: float, entry: int | None) -> None:
        """Send one request after the other.

        :param work: each request
        :param seconds: for how long
        :param entry: number of the entry, if it matters
        """
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            result = await self.send(work, entry)
            if not result.whole:
                await asyncio.sleep(max(0.2, result.retry_after_s))

    async def end(self) -> None:
        """Hang up on what is still on its way."""
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
    """:return: the value that 95 in 100 do not exceed; infinite without values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(0.95 * len(ordered)))] if ordered else float("inf")


def count_tokens(results: Sequence[Result], begin: float, end: float) -> int:
    """:return: tokens that came within a time."""
    return sum(begin <= at < end for result in results for at in result.times)


def _note(result: Result, text: str) -> None:
    # an event may carry a run of tokens, each of which begins with a space
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
    "Result",
    "System",
    "Work",
    "build_targets",
    "count_tokens",
    "find_p95",
    "run_fleet",
]
