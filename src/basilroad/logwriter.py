"""Log handler that writes to a file descriptor without blocking its callers."""

from __future__ import annotations

import logging
import os
import sys
import threading
import time
from collections import Counter, deque

import msgspec

LINES_LIMIT = 2000
"""Maximum number of queued lines; further lines are dropped and counted."""

RATE_WINDOW_S = 1.0
"""Seconds over which lines with the same message template are counted."""

RATE_LIMIT = 200
"""Lines per message template and window; many times a host's rate in normal operation."""

FLUSH_INTERVAL_S = 0.2
"""Seconds between writes; the writer thread wakes once per interval, also without lines."""


class LogWriter(logging.Handler):
    """Queues lines for a thread that writes them in batches.

    A reader that stops reading blocks only this thread.

    :param fd: file descriptor; standard output by default
    :param lines_limit: maximum number of queued lines
    :param rate_limit: maximum number of lines per second with the same message template; lines of
        level ERROR and above are exempt
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
        self._template_counts: Counter[str] = Counter()
        self._window_end = 0.0
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._write_batches, daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line, or drop and count it if a limit is reached.

        :param record: the log record
        """
        template = str(record.msg)
        if not self._is_admitted(template, record.levelno):
            self._dropped[template] += 1
            return
        try:
            self._lines.append(self.format(record))
        except Exception:
            self.handleError(record)

    def close(self) -> None:
        """Write the queued lines, waiting two flush intervals at most, and stop."""
        self._closing.set()
        self._thread.join(2 * FLUSH_INTERVAL_S)
        super().close()

    def _is_admitted(self, template: str, level: int) -> bool:
        if len(self._lines) >= self._lines_limit:
            return False
        now = time.monotonic()
        if now >= self._window_end:
            self._window_end = now + RATE_WINDOW_S
            self._template_counts.clear()
        self._template_counts[template] += 1
        return level >= logging.ERROR or self._template_counts[template] <= self._rate_limit

    def _write_batches(self) -> None:
        closing = False
        while not closing:
            closing = self._closing.wait(FLUSH_INTERVAL_S)
            try:
                self._write_batch()
            except OSError:
                # The reader has closed the pipe, and there is no other log to report it to.
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


__all__ = ["FLUSH_INTERVAL_S", "LINES_LIMIT", "LogWriter"]
