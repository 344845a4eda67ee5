"""Check that log lines are written without blocking."""

from __future__ import annotations

import json
import logging
import math
import os
import time

import pytest

from basilroad.logwriter import FLUSH_INTERVAL_S, RATE_WINDOW_S, LogWriter


class Pipe:
    """A logger that writes into a pipe."""

    def __init__(self, **options: int) -> None:
        self.reader, self.fd = os.pipe()
        self.writer = LogWriter(self.fd, **options)
        self.writer.setFormatter(logging.Formatter('{"message": "%(message)s"}'))
        self.logger = logging.getLogger(f"pipe-{self.fd}")
        self.logger.propagate = False
        self.logger.setLevel(logging.INFO)
        self.logger.addHandler(self.writer)

    def read(self) -> list[dict[str, object]]:
        """Close the writer and read all lines."""
        self.writer.close()
        os.close(self.fd)
        with os.fdopen(self.reader) as lines:
            return [json.loads(line) for line in lines]


@pytest.fixture
def pipe() -> Pipe:
    return Pipe()


def test_lines_come_out_in_order(pipe: Pipe) -> None:
    for number in range(50):
        pipe.logger.info("line %d", number)
    assert [line["message"] for line in pipe.read()] == [f"line {n}" for n in range(50)]


def test_logging_does_not_block_if_the_reader_stops() -> None:
    pipe = Pipe(lines_limit=500, rate_limit=10**9)
    started = time.monotonic()
    for _ in range(4):
        for _ in range(1000):
            pipe.logger.info("x" * 500)
        time.sleep(FLUSH_INTERVAL_S * 1.5)
    assert time.monotonic() - started < 4 * FLUSH_INTERVAL_S * 1.5 + 2.0
    lines = 0
    os.set_blocking(pipe.reader, False)
    for _ in range(40):
        try:
            lines += os.read(pipe.reader, 1 << 20).count(b"\n")
        except BlockingIOError:
            time.sleep(FLUSH_INTERVAL_S / 4)
    assert 500 <= lines < 4000
    pipe.writer.close()
    os.close(pipe.fd)
    os.close(pipe.reader)


def test_lines_over_the_rate_limit_are_dropped_and_counted() -> None:
    pipe = Pipe(rate_limit=20)
    started = time.monotonic()
    for number in range(1000):
        pipe.logger.info("flood %d", number)
    windows = 1 + math.ceil((time.monotonic() - started) / RATE_WINDOW_S)
    pipe.logger.info("other")
    lines = pipe.read()
    written = sum(str(line["message"]).startswith("flood") for line in lines)
    assert 20 <= written <= 20 * windows
    assert {"message": "other"} in lines
    # A batch written during the loop reports the lines dropped so far.
    reported = [line["kinds"] for line in lines if line["message"] == "lines dropped"]
    assert all(set(kinds) == {"flood %d"} for kinds in reported)
    assert sum(kinds["flood %d"] for kinds in reported) == 1000 - written


def test_errors_bypass_the_rate_limit() -> None:
    pipe = Pipe(rate_limit=5)
    for _ in range(50):
        pipe.logger.info("flood")
    pipe.logger.error("flood")
    assert len([line for line in pipe.read() if line["message"] == "flood"]) == 6


def test_logging_continues_after_the_reader_closes(pipe: Pipe) -> None:
    os.close(pipe.reader)
    pipe.logger.info("nobody reads")
    time.sleep(FLUSH_INTERVAL_S * 1.5)
    pipe.logger.info("still nobody")
    pipe.writer.close()
    os.close(pipe.fd)
