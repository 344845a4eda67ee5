"""Time limits of tests, in which waits for a processor do not count."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from concurrent.futures import Future, wait
from pathlib import Path
from typing import TypeVar

from soak.rundelay import RunLimit, read_threads
from support.turnclock import TurnLoop

POLL_S = 0.02
"""Seconds between two checks of a limit."""

T = TypeVar("T")

logger = logging.getLogger(__name__)


def list_started(pid: int | None = None) -> list[int]:
    """List the processes that a process has started, and those that these have started.

    :param pid: id of the process; by default this one
    :return: ids of those that have not ended
    """
    started: list[int] = []
    for tasks in Path(f"/proc/{pid or os.getpid()}/task").glob("*/children"):
        # a thread or process that ends meanwhile has no file, or one that can't be read
        with contextlib.suppress(FileNotFoundError, ProcessLookupError):
            started += map(int, tasks.read_text().split())
    return started + [later for each in started for later in list_started(each)]


class TimeLimit(RunLimit):
    """Time limit of a wait of a test, for this process and all that it has started.

    :param limit_s: seconds, without those in which one of them waits for a processor
    :param list_pids: ids of the processes that are awaited, if it is not all of them
    """

    def __init__(
        self, limit_s: float, list_pids: Callable[[], Iterable[int]] = list_started
    ) -> None:
        self.limit_s = limit_s
        super().__init__(limit_s, list_pids, read_threads)

    def check(self, what: str) -> None:
        """Fail if the limit has passed.

        :param what: what has not happened
        :raises TimeoutError: the limit has passed
        """
        if self.is_over():
            raise TimeoutError(f"{what} within {self.limit_s:g} s, {self.describe()}")

    def wait_until(self, condition: Callable[[], T], what: str) -> T:
        """Wait in this thread until a condition holds.

        :param condition: returns a true value once it holds
        :param what: what has not happened in time
        :return: that value
        :raises TimeoutError: it does not hold in time
        """
        while not (found := condition()):
            self.check(what)
            time.sleep(POLL_S)
        return found

    def wait_done(self, future: Future[T], what: str) -> T:
        """Wait in this thread for work in another one, which is cancelled if it is late.

        :param future: the work
        :param what: what has not happened in time
        :return: its result
        :raises TimeoutError: it is not done in time
        """
        while not future.done():
            try:
                self.check(what)
            except TimeoutError:
                future.cancel()
                raise
            wait([future], POLL_S)
        return future.result()


@contextlib.asynccontextmanager
async def limit_time(
    limit_s: float, list_pids: Callable[[], Iterable[int]] = list_started
) -> AsyncIterator[None]:
    """Limit the time of what is awaited, as ``asyncio.timeout`` does.

    :param limit_s: seconds, without those in which a process waits for a processor
    :param list_pids: as in ``TimeLimit``
    :raises TimeoutError: the limit has passed
    """
    loop = asyncio.get_running_loop()
    if isinstance(loop, TurnLoop):
        # its clock leaves out these waits
        async with asyncio.timeout(limit_s):
            yield
        return
    limit = TimeLimit(limit_s, list_pids)
    async with asyncio.timeout(None) as timeout:
        watch = asyncio.ensure_future(_watch(limit, timeout))
        try:
            yield
        finally:
            watch.cancel()


async def await_within(awaitable: Awaitable[T], limit_s: float) -> T:
    """Wait for a result, as ``asyncio.wait_for`` does.

    :param awaitable: cancelled if it is late
    :param limit_s: seconds, as in ``limit_time``
    :return: its result
    :raises TimeoutError: the limit has passed
    """
    async with limit_time(limit_s):
        return await awaitable


async def _watch(limit: TimeLimit, timeout: asyncio.Timeout) -> None:
    try:
        while not limit.is_over():
            await asyncio.sleep(POLL_S)
    except OSError:
        logger.exception("a time limit can't be checked, and ends")
    timeout.reschedule(asyncio.get_running_loop().time())


__all__ = ["POLL_S", "TimeLimit", "await_within", "limit_time", "list_started"]
