"""Measure the cost of the log line of one attempt, by log level and rate limit."""

from __future__ import annotations

import logging
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "tests" / "gateway"))

from basilroad.gateway.calls.call import Reply
from basilroad.gateway.calls.log import AttemptRecord, log_attempt
from basilroad.gateway.registry.endpoint import Endpoint
from basilroad.logs import configure_logs
from basilroad.logwriter import LogWriter
from builders import build_call, build_entry, build_route

CALLS = 20_000
ROUNDS = 5


def measure() -> float:
    """:return: CPU microseconds per line, the minimum of several rounds."""
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
    """Print one line for each log configuration."""
    sink = os.open(os.devnull, os.O_WRONLY)
    no_limit = 10 * CALLS
    for name, level, rate in (
        ("no lines", logging.ERROR, no_limit),
        ("all lines written", logging.INFO, no_limit),
        ("200 lines of a kind a second", logging.INFO, 200),
    ):
        configure_logs("h", level, LogWriter(sink, lines_limit=no_limit, rate_limit=rate))
        print(f"{name}: {measure():.1f} us a line")


if __name__ == "__main__":
    main()
