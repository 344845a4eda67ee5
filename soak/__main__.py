"""Command line of the soak test."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
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
    has_pauses: Annotated[
        bool, typer.Option("--pauses/--no-pauses", help="Half of the engines fall silent at once.")
    ] = True,
) -> None:
    """Inject random faults in one or more runs; exits with 1 unless all promises were kept."""
    until = time.monotonic() + for_s
    states: Counter[str] = Counter()
    while True:
        settings = SoakSettings(seed, length_s, processes, has_pauses=has_pauses)
        result = asyncio.run(run_soak(settings))
        _print(result)
        states[result.state] += 1
        seed += 1
        if time.monotonic() >= until:
            print(", ".join(f"{count} {state}" for state, count in states.items()), flush=True)
            raise typer.Exit(int(set(states) != {"kept"}))


def _print(result: Result) -> None:
    take_ups, prompts = result.take_ups, result.prompt_reads
    served = f"{result.served} of {result.requests} served"
    print(
        f"seed {result.settings.seed}: {result.state}; {served}; "
        f"{take_ups.resumed} of {take_ups.taken_up} streams resumed, "
        f"{take_ups.began} of {take_ups.new} began beside them; "
        f"{prompts.read_anew} of {prompts.cached} cached prompts read anew at a take-up, "
        f"{prompts.read_twice} read twice; "
        f"longest stall of the soak {result.longest_stall_s:.2f} s"
        + (f"; logs in {result.folder}" if not result.is_kept else ""),
        flush=True,
    )
    for name, lines in result.breaches.items():
        print(f"  {name}: {len(lines)}")
        for line in lines[:5]:
            print(f"    {line}", flush=True)
    for name, reason in result.unjudged.items():
        print(f"  {name}: not judged, {reason}", flush=True)


if __name__ == "__main__":
    typer.run(main)
