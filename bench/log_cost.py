"""Measure what the log line of one attempt costs, with and without a reader that keeps up."""

from __future__ import annotations

import logging
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "tests" / "gateway"))

from basilroad.gateway.call import Reply
from basilroad.gateway.calllog import AttemptRecord, log_attempt
from basilroad.gateway.endpoint import Endpoint
from basilroad.logs import configure_logs
from basilroad.logwriter import LogWriter
from builders import build_call, build_entry, build_route

CALLS = 20_000
ROUNDS = 5


def measure() -> float:
    """:return: microseconds of one line, the least of several rounds."""
    attempt = AttemptRecord(
        build_call(build_route()), Endpoint(build_entry("e1")), Reply(200, (), b""), 0.05
    )
    times = []
    for _ in range(ROUNDS):
        started = time.process_time()
        for _ in range(CALLS):
            log_attempt(attempt)
        times.append((time.process_time() - started) / CALLS)
        time.sleep(1.2)
    return min(times) * 1e6


def main() -> None:
    """Print one line for each way of writing."""
    sink = os.open(os.devnull, os.O_WRONLY)
    wide = 10 * CALLS
    for name, level, rate in (
        ("no lines", logging.ERROR, wide),
        ("all lines written", logging.INFO, wide),
        ("200 lines of a kind a second", logging.INFO, 200),
    ):
        configure_logs("h", level, LogWriter(sink, lines_limit=wide, rate_limit=rate))
        print(f"{name}: {measure():.1f} us a line")


if __name__ == "__main__":
    main()
