"""Start time and resident memory of the zipapp."""

from __future__ import annotations

import os
import shutil
import statistics
import subprocess
import tempfile
import time
from pathlib import Path
from typing import Annotated

import attrs
import psutil
import typer

_MIB = 1024 * 1024
_KIB = 1024
_WARM_UP_S = 3.0


@attrs.frozen
class StartCost:
    """Cost of one run of a command that exits by itself.

    :param seconds: time from start to exit
    :param resident_bytes: peak resident memory
    """

    seconds: float
    resident_bytes: int


def run_once(program: list[str], root: Path) -> StartCost:
    """Run ``version`` once.

    :param program: command line of the program
    :param root: directory that the zipapp unpacks into
    :return: the cost of the run
    """
    began = time.perf_counter()
    child = subprocess.Popen(
        [*program, "version"], env={**os.environ, "SHIV_ROOT": str(root)}, stdout=subprocess.DEVNULL
    )
    _, status, usage = os.wait4(child.pid, 0)
    seconds = time.perf_counter() - began
    if status:
        raise RuntimeError(f"the program exited with wait status {status}, expected 0")
    return StartCost(seconds, usage.ru_maxrss * _KIB)


def start_daemon(command: list[str], root: Path) -> psutil.Process:
    """Start a daemon and wait until its memory is stable.

    :param command: command line of the daemon
    :param root: directory that the zipapp unpacks into
    :return: the process
    """
    child = subprocess.Popen(
        command, env={**os.environ, "SHIV_ROOT": str(root)}, stderr=subprocess.DEVNULL
    )
    time.sleep(_WARM_UP_S)
    return psutil.Process(child.pid)


def measure(
    program: Annotated[str, typer.Argument(help="Command line of the program.")],
    runs: Annotated[
        int, typer.Option(help="Number of warm starts, of which the median is printed.")
    ] = 10,
    daemon: Annotated[
        list[str] | None, typer.Option(help="Arguments that start a daemon, such as 'entry ...'.")
    ] = None,
) -> None:
    """Print time and memory of cold and warm starts."""
    words = program.split()
    root = Path(tempfile.mkdtemp())
    try:
        cold = run_once(words, root)
        warm = [run_once(words, root) for _ in range(runs)]
        typer.echo(f"cold start {cold.seconds:.2f} s, {cold.resident_bytes / _MIB:.0f} MiB")
        seconds = statistics.median(start.seconds for start in warm)
        resident_bytes = statistics.median(start.resident_bytes for start in warm)
        typer.echo(f"warm start {seconds:.2f} s, {resident_bytes / _MIB:.0f} MiB ({runs} runs)")
        for command in daemon or ():
            _print_usage(command, start_daemon([*words, *command.split()], root))
    finally:
        shutil.rmtree(root)


def _print_usage(command: str, process: psutil.Process) -> None:
    memory = process.memory_full_info()
    typer.echo(
        f"{command}: {memory.rss / _MIB:.0f} MiB resident, {memory.uss / _MIB:.0f} MiB of its own, "
        f"{process.num_threads()} threads, {len(process.children(recursive=True))} children"
    )
    process.terminate()
    process.wait()


if __name__ == "__main__":
    typer.run(measure)


__all__ = ["StartCost", "measure", "run_once", "start_daemon"]
