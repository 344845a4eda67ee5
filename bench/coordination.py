"""Measure the cost of the coordination components in one process."""

from __future__ import annotations

import asyncio
import random
import time
import tracemalloc
from collections.abc import Callable, Sequence

import attrs

from basilroad.coordination import (
    Backlog,
    Changes,
    Claimed,
    ClaimRequest,
    Claims,
    ClaimsSettings,
    FairPicker,
    FairQueue,
    FairSettings,
    Flow,
    Row,
    Write,
    WriteResult,
    choose_hosts,
)

RANKS = 3
WORKSPACES = 240
QUEUE_DEPTH = 20_000
OPERATIONS = 50_000
CLAIM_SECONDS = 3
MICROSECONDS = 1e6
MILLISECONDS = 1e3


class DelayedTable:
    """In-memory table whose commits return after a delay.

    :param delay_s: delay of each commit, in seconds
    """

    def __init__(self, delay_s: float) -> None:
        self.commits = 0
        self._delay_s = delay_s
        self._rows: dict[str, Row] = {}

    async def read(self, key: str) -> Row | None:
        """:return: the row."""
        return self._rows.get(key)

    async def scan(self, prefix: str) -> tuple[Row, ...]:
        """:return: the rows whose keys begin with a prefix."""
        return tuple(row for key, row in self._rows.items() if key.startswith(prefix))

    async def changes(self, prefix: str, since: int) -> Changes:
        """:return: the rows written after a revision."""
        rows = await self.scan(prefix)
        return Changes(self.commits, tuple(row for row in rows if row.revision > since))

    async def commit(
        self, writes: Sequence[Write], *, atomic: bool = False
    ) -> tuple[WriteResult, ...]:
        """:return: the results; every write succeeds."""
        assert not atomic
        await asyncio.sleep(self._delay_s)
        self.commits += 1
        return tuple(self._apply(write) for write in writes)

    def _apply(self, write: Write) -> WriteResult:
        row = Row(write.key, write.value, self.commits)
        self._rows[write.key] = row
        return WriteResult(True, row)


@attrs.frozen
class ClaimRun:
    """Parameters of one run of claims.

    :param rate: claims per second
    :param delay_s: delay of each commit of the table, in seconds
    """

    rate: int
    delay_s: float


def build_flows(callers: int) -> list[Flow]:
    """:return: one flow per caller, spread over all ranks and workspaces."""
    return [
        Flow(number % RANKS, f"workspace-{number % WORKSPACES}", f"caller-{number}")
        for number in range(callers)
    ]


def measure(run: Callable[[], object], count: int) -> float:
    """:return: microseconds per operation of a run that makes ``count`` operations."""
    started = time.perf_counter()
    run()
    return (time.perf_counter() - started) / count * MICROSECONDS


def measure_queue(callers: int) -> None:
    """Measure a queue that holds items of many callers."""
    rng = random.Random(1)
    flows = build_flows(callers)
    queue: FairQueue[int] = FairQueue(FairSettings())
    for item in range(QUEUE_DEPTH):
        queue.push(item, flows[item % callers], 500)

    def pop_and_push() -> None:
        for item in range(QUEUE_DEPTH, QUEUE_DEPTH + OPERATIONS):
            queue.pop()
            queue.push(item, rng.choice(flows), 500)

    cost = measure(pop_and_push, OPERATIONS)
    report = measure(queue.backlogs, 1) / MILLISECONDS
    waiting = len(queue.backlogs())
    print(f"queue callers={callers} pop_push_us={cost:.1f} report_ms={report:.2f} flows={waiting}")


def measure_memory() -> None:
    """Measure the memory that the queue keeps for callers that sent a single item."""
    tracemalloc.start()
    queue: FairQueue[int] = FairQueue(FairSettings())
    for item in range(4 * OPERATIONS):
        queue.push(item, Flow(item % RANKS, f"w{item % WORKSPACES}", f"c{item}"), 500)
        queue.pop()
    size = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    print(f"idle came={4 * OPERATIONS} kept={len(queue.policy)} megabytes={size:.2f}")


def measure_picker() -> None:
    """Measure the picker with the backlog reports of several entries."""
    picker = FairPicker(FairSettings())
    backlogs = [Backlog(flow, 50, 500) for flow in build_flows(1000)]

    def report() -> None:
        for entry in range(12):
            picker.report(f"entry-{entry}", backlogs)

    def pick() -> None:
        for _ in range(OPERATIONS):
            picker.pick()

    reported = measure(report, 12 * len(backlogs))
    print(f"picker report_us_per_flow={reported:.2f} pick_us={measure(pick, OPERATIONS):.1f}")


def measure_rendezvous(count: int) -> None:
    """Measure the choice of two hosts by rendezvous hashing."""
    hosts = [f"10.0.{number // 256}.{number % 256}" for number in range(count)]

    def choose() -> None:
        for number in range(1000):
            choose_hosts(f"key-{number}", hosts, 2)

    print(f"rendezvous hosts={count} choose_us={measure(choose, 1000):.1f}")


async def measure_claims(load: ClaimRun) -> None:
    """Measure claims made at a steady rate."""
    table = DelayedTable(load.delay_s)
    claims = Claims(table, ClaimsSettings())
    waits: list[float] = []

    async def claim(number: int) -> None:
        started = time.perf_counter()
        deadline = time.monotonic() + 5
        request = ClaimRequest("w", "c", f"k{number}", "f", "h", "a", "i", deadline)
        assert isinstance(await claims.claim(request), Claimed)
        waits.append(time.perf_counter() - started)

    count = load.rate * CLAIM_SECONDS
    async with claims:
        started, cpu_s = time.perf_counter(), time.process_time()
        async with asyncio.TaskGroup() as group:
            for number in range(count):
                group.create_task(claim(number))
                await asyncio.sleep(started + (number + 1) / load.rate - time.perf_counter())
        elapsed, cpu_s = time.perf_counter() - started, time.process_time() - cpu_s
    waits.sort()
    p50, p99 = waits[count // 2], waits[count * 99 // 100]
    print(
        f"claims rate={load.rate} table_ms={load.delay_s * MILLISECONDS:.0f}"
        f" commits_per_s={table.commits / elapsed:.0f}"
        f" writes_per_commit={count / table.commits:.1f}"
        f" p50_ms={p50 * MILLISECONDS:.1f} p99_ms={p99 * MILLISECONDS:.1f}"
        f" cpu_us={cpu_s / count * MICROSECONDS:.0f}"
    )


def run() -> None:
    """Run all measurements."""
    for callers in (100, 1000, 10_000):
        measure_queue(callers)
    measure_memory()
    measure_picker()
    for hosts in (20, 410):
        measure_rendezvous(hosts)
    for load in (ClaimRun(100, 0.005), ClaimRun(1000, 0.005), ClaimRun(1000, 0.1)):
        asyncio.run(measure_claims(load))


if __name__ == "__main__":
    run()

__all__ = ["run"]
