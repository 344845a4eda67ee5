"""Timer service for periodic callbacks."""

from __future__ import annotations

import asyncio
import heapq
import inspect
import itertools
import logging
import random
import time
from collections.abc import Awaitable, Callable

from mode import Service

logger = logging.getLogger(__name__)

Callback = Callable[[], Awaitable[object] | object]


class Subscription:
    """A callback that a timer calls periodically.

    :param timer: timer that calls it
    :param interval_s: seconds between calls
    :param callback: function or coroutine function without arguments
    :param jitter: maximum deviation of each wait, as a fraction of the interval
    :param seed: seed of the jitter
    """

    def __init__(
        self,
        timer: Timer,
        interval_s: float,
        callback: Callback,
        jitter: float,
        seed: int | None,
    ) -> None:
        self.interval_s = interval_s
        self.callback = callback
        self.cancelled = False
        self.due = 0.0
        self._timer = timer
        self._jitter = jitter
        self._random = random.Random(seed)
        self._task: asyncio.Task[None] | None = None
        self._rerun = False

    def cancel(self) -> None:
        """Stop the calls; a running call is not interrupted."""
        self.cancelled = True
        self._rerun = False

    def fire_soon(self) -> None:
        """Call immediately, or right after the running call."""
        if self.cancelled:
            return
        if self.is_running():
            self._rerun = True
            return
        self._timer.schedule(self, 0.0)

    def is_running(self) -> bool:
        """:return: whether an asynchronous call is still running."""
        return self._task is not None and not self._task.done()

    def next_wait(self) -> float:
        """:return: seconds until the next call."""
        return self.interval_s * (1.0 + self._random.uniform(-self._jitter, self._jitter))

    def fire(self) -> asyncio.Task[None] | None:
        """Call the callback unless its previous call is still running.

        :return: the task of an asynchronous call
        """
        if self.is_running():
            return None
        try:
            result = self.callback()
        except Exception:
            logger.exception("timer callback failed callback=%r", self.callback)
            return None
        if not inspect.isawaitable(result):
            return None
        self._task = asyncio.ensure_future(self._await_result(result))
        return self._task

    async def _await_result(self, result: Awaitable[object]) -> None:
        try:
            await result
        except Exception:
            logger.exception("timer callback failed callback=%r", self.callback)
        finally:
            self._task = None
        if self._rerun:
            self._rerun = False
            self.fire_soon()


class Timer(Service):
    """Calls its subscribers from a single task.

    :param clock: monotonic clock in seconds
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._clock = clock
        self._heap: list[tuple[float, int, Subscription]] = []
        self._serial = itertools.count()
        self._wake = asyncio.Event()
        self._running_calls: set[asyncio.Task[None]] = set()

    def subscribe(
        self,
        interval_s: float,
        callback: Callback,
        *,
        jitter: float = 0.1,
        seed: int | None = None,
    ) -> Subscription:
        """Call a callback periodically.

        :param interval_s: seconds between calls
        :param callback: function or coroutine function without arguments; never overlaps itself
        :param jitter: maximum deviation of each wait, as a fraction of the interval
        :param seed: seed of the jitter
        :return: handle that cancels the calls
        :raises ValueError: the interval is not positive
        """
        if interval_s <= 0:
            raise ValueError(f"interval must be positive: got {interval_s} s")
        subscription = Subscription(self, interval_s, callback, jitter, seed)
        self.schedule(subscription, subscription.next_wait())
        return subscription

    def schedule(self, subscription: Subscription, wait_s: float) -> None:
        """Reschedule the next call of a subscription.

        :param subscription: the subscription
        :param wait_s: seconds from now
        """
        subscription.due = self._clock() + wait_s
        heapq.heappush(self._heap, (subscription.due, next(self._serial), subscription))
        self._wake.set()

    def fire_due(self) -> int:
        """Call every subscriber that is due.

        :return: number of subscribers that were due
        """
        now = self._clock()
        fired = 0
        while self._heap and self._heap[0][0] <= now:
            due, _, subscription = heapq.heappop(self._heap)
            if subscription.cancelled or due != subscription.due:
                continue
            self._fire(subscription)
            fired += 1
        return fired

    def next_due(self) -> float | None:
        """:return: seconds until the next call; ``None`` if there are no subscribers."""
        if not self._heap:
            return None
        return max(0.0, self._heap[0][0] - self._clock())

    async def on_stop(self) -> None:
        """Cancel the running calls."""
        running = list(self._running_calls)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def _fire(self, subscription: Subscription) -> None:
        self.schedule(subscription, subscription.next_wait())
        task = subscription.fire()
        if task is None:
            return
        self._running_calls.add(task)
        task.add_done_callback(self._running_calls.discard)

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            self._wake.clear()
            self.fire_due()
            await self._wait()

    async def _wait(self) -> None:
        try:
            await asyncio.wait_for(self._wake.wait(), self.next_due())
        except TimeoutError:
            pass


__all__ = ["Callback", "Subscription", "Timer"]
