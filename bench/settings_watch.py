"""Measure how fast a setting reaches many watches that receive it only from the table."""

from __future__ import annotations

import argparse
import asyncio
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec

from basilroad.backing.table import HttpTable
from basilroad.coordination.table import TableError, Write
from basilroad.http.client import HttpClient, HttpRequest
from basilroad.settings.store import SettingsStore
from basilroad.settings.watch import SettingsWatch, WatchSettings

CHANGES = 5
TIMEOUT_S = 5.0
START_TIMEOUT_S = 10.0
MILLISECONDS = 1000


class WatchFleet:
    """Watches of many nodes in one process.

    :param url: base URL of the platform
    :param nodes: number of nodes
    """

    def __init__(self, url: str, nodes: int) -> None:
        self.tables = [HttpTable(url, TIMEOUT_S) for _ in range(nodes)]
        self.stores = [SettingsStore() for _ in range(nodes)]
        settings = WatchSettings()
        self.watches = [
            SettingsWatch(settings, table, store, lambda: nodes, lambda _: None)
            for table, store in zip(self.tables, self.stores, strict=True)
        ]

    async def wait_for(self, revision: int) -> list[float]:
        """:return: seconds until each node has applied a revision, sorted."""
        start = time.monotonic()
        waiting = set(range(len(self.stores)))
        delays: list[float] = []
        while waiting:
            done = {node for node in waiting if self.stores[node].revision >= revision}
            delays.extend([time.monotonic() - start] * len(done))
            waiting -= done
            await asyncio.sleep(0.01)
        return delays


async def wait_ready(table: HttpTable) -> None:
    """Wait until the platform responds."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            await table.read("settings/ranks/urgent")
        except TableError:
            await asyncio.sleep(0.1)
        else:
            return
    raise TimeoutError(f"the platform did not respond within {START_TIMEOUT_S} s")


async def count_reads(url: str) -> int:
    """:return: number of reads that the platform has served."""
    client = HttpClient(url, TIMEOUT_S)
    answer = await client.send(HttpRequest("GET", "/control/counters"))
    await client.close()
    return int(msgspec.json.decode(answer.body)["reads"])


async def measure(url: str, nodes: int) -> None:
    """Print the figures.

    :param url: base URL of the platform
    :param nodes: number of nodes
    """
    fleet = WatchFleet(url, nodes)
    operator = HttpTable(url, TIMEOUT_S)
    await wait_ready(operator)
    for watch in fleet.watches:
        await watch.start()
    await asyncio.sleep(fleet.watches[0].interval_s)
    reads, start, cpu_s = await count_reads(url), time.monotonic(), time.process_time()
    for number in range(CHANGES):
        text = f'{{"order": {number}}}'
        [written] = await operator.commit([Write("settings/ranks/urgent", text)])
        assert written.row is not None
        delays = await fleet.wait_for(written.row.revision)
        p50, last = delays[nodes // 2], delays[-1]
        print(f"change {number}: half of the nodes {p50:.2f} s, last {last:.2f} s")
    elapsed_s, cpu_s = time.monotonic() - start, time.process_time() - cpu_s
    reads = await count_reads(url) - reads
    print(f"{nodes} nodes: {reads / elapsed_s:.0f} reads a second, for all nodes together")
    print(f"processor time of a node: {cpu_s / reads * MILLISECONDS:.2f} ms a read")
    print(f"which is {cpu_s / elapsed_s / nodes * 100:.3f}% of a core for each node")
    for watch in fleet.watches:
        await watch.stop()
    for table in (*fleet.tables, operator):
        await table.close()


def main() -> None:
    """Run the platform stand-in in a process of its own and measure against it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=410)
    parser.add_argument("--listen", default="127.9.8.7:7000")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "platform.yaml"
        path.write_text(f"listen: {arguments.listen}\n")
        argv = [sys.executable, "-m", "basilroad", "standin", "platform", "--settings", str(path)]
        platform = subprocess.Popen(argv)
        try:
            asyncio.run(measure(f"http://{arguments.listen}", arguments.nodes))
        finally:
            platform.terminate()
            platform.wait()


if __name__ == "__main__":
    main()
