"""Measure how CPU time, memory and traffic grow with the number of links and requests."""

from __future__ import annotations

import asyncio
import time

import attrs
import numpy as np
import psutil
import typer

from bench.fleets import open_fleet
from support.background import Background
from support.callers import stream_completion
from support.fleet import Fleet, Process

MODEL = "m"
ENTRIES = 2
AGENTS = (2, 8, 24)
IDLE_S = 10.0
WARM_UP_S = 6.0
REQUESTS = 400
TOKENS = (1, 41)
CONCURRENT = 16
MEBIBYTE = 1024 * 1024
LOOPBACK = "lo"


@attrs.frozen
class RoleUsage:
    """Resources that one process of a role used.

    :param core: fraction of one core
    :param memory: resident memory, in bytes
    """

    core: float
    memory: float


def _read_cpu(processes: list[Process]) -> float:
    times = [psutil.Process(p.pid).cpu_times() for p in processes]
    return sum(spent.user + spent.system for spent in times) / len(processes)


def _read_memory(processes: list[Process]) -> float:
    return sum(psutil.Process(p.pid).memory_info().rss for p in processes) / len(processes)


def _read_bytes() -> int:
    return int(psutil.net_io_counters(pernic=True)[LOOPBACK].bytes_sent)


def _start(fleet: Fleet, agents: int, heartbeat_s: float) -> dict[str, list[Process]]:
    fleet.add_platform()
    agent_settings = {"heartbeat_s": heartbeat_s}
    for number in range(agents):
        name = f"engine-{number}"
        fleet.add_engine(name, model=MODEL, slots=8, token_interval_s=0.01, agent=agent_settings)
    for number in range(ENTRIES):
        fleet.add_entry(f"entry-{number}", heartbeat_s=heartbeat_s)
    fleet.wait_ready()
    time.sleep(WARM_UP_S)
    return {"entry": fleet.entries, "agent": [e.agent for e in fleet.endpoints]}


def _measure_idle(agents: int, heartbeat_s: float) -> tuple[dict[str, RoleUsage], float]:
    with open_fleet() as (fleet, _):
        roles = _start(fleet, agents, heartbeat_s)
        before = {role: _read_cpu(processes) for role, processes in roles.items()}
        sent, began = _read_bytes(), time.monotonic()
        time.sleep(IDLE_S)
        elapsed_s = time.monotonic() - began
        rate = (_read_bytes() - sent) / elapsed_s
        spent = {
            role: RoleUsage(
                (_read_cpu(processes) - before[role]) / elapsed_s, _read_memory(processes)
            )
            for role, processes in roles.items()
        }
    return spent, rate


async def _send_requests(url: str, tokens: int) -> None:
    semaphore = asyncio.Semaphore(CONCURRENT)

    async def send(number: int) -> None:
        async with semaphore:
            await stream_completion(url, f"p {number}", model=MODEL, max_tokens=tokens)

    await asyncio.gather(*(send(number) for number in range(REQUESTS)))


def _measure_work(fleet: Fleet, background: Background, tokens: int) -> dict[str, float]:
    roles = {"entry": fleet.entries[:1], "agent": [e.agent for e in fleet.endpoints]}
    before = {role: _read_cpu(processes) for role, processes in roles.items()}
    background.run(_send_requests(fleet.entries[0].url, tokens))
    return {
        role: (_read_cpu(processes) - before[role]) * len(processes) / REQUESTS
        for role, processes in roles.items()
    }


def _print_work(heartbeat_s: float) -> None:
    with open_fleet() as (fleet, background):
        _start(fleet, 4, heartbeat_s)
        short, long = (_measure_work(fleet, background, tokens) for tokens in TOKENS)
    for role in short:
        token = (long[role] - short[role]) / (TOKENS[1] - TOKENS[0])
        request = short[role] - token * TOKENS[0]
        typer.echo(f"{role}: {1e6 * request:.0f} us a request, {1e6 * token:.1f} us a token")


def main(heartbeat_s: float = 0.25) -> None:
    """Print the cost per agent, link, request and token.

    :param heartbeat_s: seconds between heartbeats of entries and agents
    """
    points = {agents: _measure_idle(agents, heartbeat_s) for agents in AGENTS}
    for role in ("entry", "agent"):
        cores = [points[agents][0][role].core for agents in AGENTS]
        sizes = [points[agents][0][role].memory / MEBIBYTE for agents in AGENTS]
        core_slope, core_base = np.polyfit(AGENTS, cores, 1)
        size_slope, size_base = np.polyfit(AGENTS, sizes, 1)
        typer.echo(
            f"{role}, idle, {ENTRIES} entries and {AGENTS} agents: core "
            f"{[f'{100 * core:.2f}%' for core in cores]}, {100 * core_base:.2f}% + "
            f"{100 * core_slope:.4f}% an agent; resident {[f'{size:.1f}' for size in sizes]} MiB, "
            f"{size_base:.1f} + {size_slope:.3f} MiB an agent"
        )
    rates = [points[agents][1] for agents in AGENTS]
    links = [ENTRIES * agents for agents in AGENTS]
    slope, base = np.polyfit(links, rates, 1)
    typer.echo(
        f"loopback, TCP and IP headers included: {[f'{rate:.0f}' for rate in rates]} bytes/s, "
        f"{base:.0f} + {slope:.0f} bytes/s a link, both directions, polls of the table included"
    )
    _print_work(heartbeat_s)


if __name__ == "__main__":
    typer.run(main)
