"""Event loop in a background thread, so that steps and fixtures can be synchronous."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Coroutine
from concurrent.futures import Future
from typing import Any, TypeVar

from support.timelimit import TimeLimit

DEFAULT_TIMEOUT_S = 60.0

T = TypeVar("T")


class Background:
    """Runs coroutines in a dedicated thread until it is closed."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def spawn(self, coroutine: Coroutine[Any, Any, T]) -> Future[T]:
        """Start a coroutine.

        :param coroutine: scheduled on the loop
        :return: future of its result; cancelling it cancels the coroutine
        """
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def run(self, coroutine: Coroutine[Any, Any, T], timeout: float = DEFAULT_TIMEOUT_S) -> T:
        """Run a coroutine to completion.

        :param coroutine: scheduled on the loop
        :param timeout: seconds, without those in which a process waits for a processor
        :return: its result
        :raises TimeoutError: the coroutine did not complete in time and was cancelled
        """
        return TimeLimit(timeout).wait_done(self.spawn(coroutine), "no result")

    def close(self) -> None:
        """Cancel the remaining tasks and stop the thread."""
        self.spawn(_cancel_others()).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


async def close_server(server: asyncio.Server) -> None:
    """Close a server in the loop that serves it, since its methods are not thread-safe.

    :param server: accepts no connections afterwards
    """
    server.close()


async def _cancel_others() -> None:
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


__all__ = ["Background", "close_server"]
