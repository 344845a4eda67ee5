"""Command line of the soak test."""

from __future__ import annotations

import asyncio
import time
from typing import Annotated

import typer

from soak.run import Result, run_soak
from soak.settings import SoakSettings

RUN_S = 10.0


def main(
    seed: Annotated[int, typer.Option(help="Seed of the first run; each later run adds 1.")] = 1,
    for_s: Annotated[
        float, typer.Option("--for", help="Seconds after which no new run is started.")
    ] = 10.0,
    processes: Annotated[int, typer.Option(help="Gateway processes in each run.")] = 3,
    length_s: Annotated[
        float, typer.Option("--length", help="Seconds of faults in each run.")
    ] = RUN_S,
) -> None:
    """Inject random faults in one or more runs; exits with 1 if a promise was broken."""
    until = time.monotonic() + for_s
    broken = False
    while True:
        result = asyncio.run(run_soak(SoakSettings(seed, length_s, processes)))
        _print(result)
        broken = broken or bool(result.breaches)
        seed += 1
        if time.monotonic() >= until:
            raise typer.Exit(int(broken))


def _print(result: Result) -> None:
    state = "broken" if result.breaches else "kept"
    take_ups = result.take_ups
    print(
        f"seed {result.settings.seed}: {state}; {result.served} of {result.requests} served; "
        f"{take_ups.resumed} of {take_ups.taken_up} streams resumed, "
        f"{take_ups.began} of {take_ups.new} began beside them; "
        f"longest stall of the soak {result.longest_stall_s:.2f} s"
        + (f"; logs in {result.folder}" if result.breaches else ""),
        flush=True,
    )
    for name, lines in result.breaches.items():
        print(f"  {name}: {len(lines)}")
        for line in lines[:5]:
            print(f"    {line}", flush=True)


if __name__ == "__main__":
    typer.run(main)
