"""Writes log lines to a file descriptor without ever blocking who logs."""

from __future__ import annotations

import logging
import os
import sys
import threading
import time
from collections import Counter, deque

import msgspec

LINES_LIMIT = 2000
"""Lines that may wait for the writer; beyond, lines are dropped and counted."""

RATE_WINDOW_S = 1.0
"""Seconds over which lines of one kind are counted."""

RATE_LIMIT = 200
"""Lines of one kind that are written in a window; many times a calm second of one host."""

FLUSH_S = 0.2
"""Seconds between writes; each write wakes a thread."""


class LogWriter(logging.Handler):
    """Hands lines to a thread that writes them in batches.

    A reader that stops reading stops the thread alone.

    :param fd: file descriptor; standard output if left out
    :param lines_limit: lines that may wait
    :param rate_limit: lines of one kind in a second
    """

    def __init__(
        self,
        fd: int | None = None,
        lines_limit: int = LINES_LIMIT,
        rate_limit: int = RATE_LIMIT,
    ) -> None:
        super().__init__()
        self._fd = sys.stdout.fileno() if fd is None else fd
        self._lines_limit = lines_limit
        self._rate_limit = rate_limit
        self._lines: deque[str] = deque()
        self._dropped: Counter[str] = Counter()
        self._kinds: Counter[str] = Counter()
        self._window_end = 0.0
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._write_batches, daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Take a line, or drop and count it.

        :param record: the line
        """
        kind = str(record.msg)
        if not self._passes(kind, record.levelno):
            self._dropped[kind] += 1
            return
        try:
            self._lines.append(self.format(record))
        except Exception:
            self.handleError(record)

    def close(self) -> None:
        """Write what waits, for a moment at most, and stop."""
        self._closing.set()
        self._thread.join(2 * FLUSH_S)
        super().close()

    def _passes(self, kind: str, level: int) -> bool:
        if len(self._lines) >= self._lines_limit:
            return False
        now = time.monotonic()
        if now >= self._window_end:
            self._window_end = now + RATE_WINDOW_S
            self._kinds.clear()
        self._kinds[kind] += 1
        return level >= logging.ERROR or self._kinds[kind] <= self._rate_limit

    def _write_batches(self) -> None:
        closing = False
        while not closing:
            closing = self._closing.wait(FLUSH_S)
            try:
                self._write_batch()
            except OSError:
                # nobody reads any more, and there is no other place to tell it
                self._lines.clear()

    def _write_batch(self) -> None:
        lines = []
        while self._lines:
            lines.append(self._lines.popleft())
        if self._dropped:
            dropped, self._dropped = self._dropped, Counter()
            lines.append(
                msgspec.json.encode({"message": "lines dropped", "kinds": dict(dropped)}).decode()
            )
        if not lines:
            return
        data = ("\n".join(lines) + "\n").encode()
        while data:
            data = data[os.write(self._fd, data) :]


__all__ = ["FLUSH_S", "LINES_LIMIT", "LogWriter"]
