"""Load generator for a fleet of real processes, and a sink for the metrics of its daemons."""

from __future__ import annotations

import asyncio
import random
import socket
import threading
import time
from collections import Counter

import attrs

from support.callers import StreamedAnswer, stream_completion

DATAGRAM_BYTES_MAX = 65_536
"""Largest size of a datagram."""

PEAK_WINDOW_S = 5.0
"""Window of the peak rate, in seconds; daemons send their counters every second."""

RANK_SHARES = (0.3, 0.5, 0.2)
"""Fractions of requests by rank, the most urgent first."""

RANK_NAMES = ("urgent", "standard", "batch")


class MetricsSink:
    """Receives metrics from daemons and sums their counters."""

    def __init__(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._socket.getsockname())
        self.counters: Counter[str] = Counter()
        self._link: list[tuple[float, str, int]] = []
        threading.Thread(target=self._read, daemon=True).start()

    def sum_link(self) -> Counter[str]:
        """:return: bytes between regions by cause; ``plain`` holds the bytes before compression."""
        found: Counter[str] = Counter()
        for name, value in list(self.counters.items()):
            parts = name.split(".")
            if "link" in parts:
                found[parts[-1]] += value
            elif "link_plain" in parts:
                found["plain"] += value
        return found

    def sum_link_by_source(self) -> Counter[str]:
        """:return: bytes between regions, by sending region."""
        found: Counter[str] = Counter()
        for name, value in list(self.counters.items()):
            parts = name.split(".")
            if "link" in parts:
                found[parts[parts.index("link") + 1]] += value
        return found

    def find_peaks(self) -> dict[str, float]:
        """:return: peak bytes per second between regions, by sending region."""
        peaks: dict[str, float] = {}
        for end, source, _ in list(self._link):
            window = [
                n for at, s, n in self._link if s == source and end - PEAK_WINDOW_S < at <= end
            ]
            peaks[source] = max(peaks.get(source, 0.0), sum(window) / PEAK_WINDOW_S)
        return peaks

    def close(self) -> None:
        """Stop listening."""
        self._socket.close()

    def _read(self) -> None:
        while True:
            try:
                datagram = self._socket.recv(DATAGRAM_BYTES_MAX).decode()
            except OSError:
                return
            for line in datagram.splitlines():
                name, _, rest = line.rpartition(":")
                value, _, kind = rest.partition("|")
                if kind == "c":
                    self._count(name, int(value))

    def _count(self, name: str, value: int) -> None:
        self.counters[name] += value
        parts = name.split(".")
        if "link" in parts:
            source = parts[parts.index("link") + 1]
            self._link.append((time.monotonic(), source, value))


@attrs.frozen
class Load:
    """Load of one region's callers.

    :param entry: base URL of the entry
    :param model: requested model
    :param per_s: requests per second
    :param seconds: duration
    :param tokens: length of each response, in tokens
    :param prompts: prompts, used in rotation
    :param seed: seed of arrival times and ranks
    """

    entry: str
    model: str
    per_s: float
    seconds: float
    tokens: int
    prompts: tuple[str, ...]
    seed: int


@attrs.define
class Outcome:
    """Results of one load.

    :param first: seconds to the first token, by rank
    :param gaps: seconds between consecutive events of a stream
    :param failed: requests without a complete response
    :param answered: requests with a complete response
    """

    first: dict[str, list[float]] = attrs.field(factory=dict)
    gaps: list[float] = attrs.field(factory=list)
    failed: int = 0
    answered: int = 0


async def apply_loads(loads: list[Load]) -> list[Outcome]:
    """Send the requests of several regions.

    :param loads: one for each region
    :return: results of each load, in the same order
    """
    return list(await asyncio.gather(*(_apply_load(load) for load in loads)))


async def _apply_load(load: Load) -> Outcome:
    rng = random.Random(load.seed)
    outcome = Outcome()
    tasks: list[asyncio.Task[None]] = []
    start = due = time.monotonic()
    number = 0
    while due - start < load.seconds:
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        rank = rng.choices(RANK_NAMES, RANK_SHARES)[0]
        prompt = load.prompts[number % len(load.prompts)]
        tasks.append(asyncio.ensure_future(_send(load, rank, prompt, outcome)))
        number += 1
        due += rng.expovariate(load.per_s)
    await asyncio.gather(*tasks)
    return outcome


async def _send(load: Load, rank: str, prompt: str, outcome: Outcome) -> None:
    answer = StreamedAnswer()
    start = time.monotonic()
    headers = {"X-Rank": rank}
    await stream_completion(
        load.entry,
        prompt,
        model=load.model,
        max_tokens=load.tokens,
        headers=headers,
        answer=answer,
    )
    if not answer.ended or answer.error or answer.count != load.tokens:
        outcome.failed += 1
        return
    outcome.answered += 1
    outcome.first.setdefault(rank, []).append(answer.times[0] - start)
    outcome.gaps.extend(b - a for a, b in zip(answer.times, answer.times[1:], strict=False))


def find_quantile(values: list[float], share: float) -> float:
    """:return: quantile of the values at ``share``, from 0 to 1; 0 if there are no values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


__all__ = [
    "RANK_NAMES",
    "Load",
    "MetricsSink",
    "Outcome",
    "apply_loads",
    "find_quantile",
]
