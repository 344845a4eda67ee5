"""Measure tokens per second through an entry and an agent against a direct engine connection."""

from __future__ import annotations

import asyncio
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import aiohttp
import attrs
import psutil
import typer

from bench.fleets import open_fleet
from support.fleet import Fleet, Process

MODEL = "m"
STREAMS = (1, 32, 256)
SLOTS = 300
TOKENS_TOTAL = 24_000
TOKENS_MAX = 400
TOKEN_INTERVAL_S = 0.01
CHUNK_BYTES = 256 * 1024
MILLISECOND = 1e-3


@attrs.frozen
class StreamResult:
    """Result of one run.

    :param rate: tokens per second
    :param first_s: median seconds to the first token
    """

    rate: float
    first_s: float


async def _read_stream(session: aiohttp.ClientSession, url: str, body: dict[str, Any]) -> float:
    began = time.monotonic()
    async with session.post(url, json=body) as response:
        response.raise_for_status()
        await response.content.readany()
        first_s = time.monotonic() - began
        while await response.content.read(CHUNK_BYTES):
            pass
    return first_s


async def _run(url: str, streams: int, fields: dict[str, Any]) -> StreamResult:
    tokens = min(TOKENS_MAX, TOKENS_TOTAL // streams)
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        began = time.monotonic()
        bodies = [
            {**fields, "prompt": f"p {n}", "max_tokens": tokens, "request_id": f"{began}{n}"}
            for n in range(streams)
        ]
        firsts = await asyncio.gather(*(_read_stream(session, url, body) for body in bodies))
        elapsed_s = time.monotonic() - began
    return StreamResult(streams * tokens / elapsed_s, sorted(firsts)[len(firsts) // 2])


def _read_cpu_s(processes: list[Process]) -> dict[str, float]:
    times = {p.name: psutil.Process(p.pid).cpu_times() for p in processes}
    return {name: spent.user + spent.system for name, spent in times.items()}


def _compare(fleet: Fleet, streams: int) -> None:
    endpoint = fleet.endpoints[0]
    watched = [fleet.entries[0], endpoint.agent, endpoint.backend]
    direct = {"model": MODEL, "temperature": 0, "seed": 1}
    through = {**direct, "stream": True}
    with ThreadPoolExecutor(1) as pool:
        base = pool.submit(
            asyncio.run, _run(f"{endpoint.backend.control_url}/generate", streams, direct)
        ).result()
        before = _read_cpu_s(watched)
        url = f"{fleet.entries[0].url}/v1/completions"
        relayed = pool.submit(asyncio.run, _run(url, streams, through)).result()
    after = _read_cpu_s(watched)
    tokens = streams * min(TOKENS_MAX, TOKENS_TOTAL // streams)
    cpu_us = {name: 1e6 * (after[name] - before[name]) / tokens for name in after}
    typer.echo(
        f"{streams:4d} streams: direct {base.rate:8.0f} tokens/s, through {relayed.rate:8.0f}, "
        f"ratio {relayed.rate / base.rate:.2f}; first token +"
        f"{(relayed.first_s - base.first_s) / MILLISECOND:.1f} ms; processor us a token: "
        + ", ".join(f"{name} {us:.0f}" for name, us in cpu_us.items())
    )


def main(interval_s: float = TOKEN_INTERVAL_S) -> None:
    """Print the ratios of throughput.

    :param interval_s: seconds between the tokens of one generation; 0 for the highest rate
    """
    with open_fleet() as (fleet, _):
        fleet.add_platform()
        fleet.add_engine("engine", model=MODEL, slots=SLOTS, token_interval_s=interval_s)
        fleet.add_entry("entry")
        fleet.wait_ready()
        for streams in STREAMS:
            _compare(fleet, streams)


if __name__ == "__main__":
    typer.run(main)
