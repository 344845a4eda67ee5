"""Gives calls their endpoints; urgent calls first."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import time
from collections.abc import Callable, Collection
from typing import TYPE_CHECKING

import attrs

from basilroad.gateway.endpoint import Reservation
from basilroad.gateway.recentruns import RecentRuns

if TYPE_CHECKING:
    from basilroad.gateway.call import Call
    from basilroad.gateway.choice import Chooser
    from basilroad.gateway.directory import Directory
    from basilroad.gateway.endpoint import Endpoint
    from basilroad.gateway.route import EngineLimits

SWEEP_S = 0.02
"""Seconds between looks at what waits: endpoints also become free without a call of this gateway
that ends."""


@attrs.define(order=False, eq=False)
class Ticket:
    """A call that waits for an endpoint.

    :param call: the call
    :param avoid: endpoints that won't do
    :param placed: result for who waits
    """

    call: Call
    avoid: Collection[str]
    placed: asyncio.Future[Reservation]


class Dispatcher:
    """Holds the calls that wait, by service, rank and time of arrival.

    :param directory: the endpoints
    :param chooser: chooses among them
    :param find_engine: limits of a service's engines by its name
    :param clock: monotonic seconds
    """

    def __init__(
        self,
        directory: Directory,
        chooser: Chooser,
        find_engine: Callable[[str], EngineLimits | None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.directory = directory
        self.chooser = chooser
        self.find_engine = find_engine
        self.recent_runs = RecentRuns(clock)
        self._clock = clock
        self._queues: dict[str, list[tuple[int, float, int, Ticket]]] = {}
        self._serial = itertools.count()

    @property
    def waiting(self) -> int:
        """:return: how many calls wait."""
        return sum(len(queue) for queue in self._queues.values())

    async def place(
        self, call: Call, wait_until: float, avoid: Collection[str] = ()
    ) -> Reservation | None:
        """Wait for an endpoint with room.

        :param call: the call
        :param wait_until: monotonic seconds until which it may wait
        :param avoid: endpoints that won't do
        :return: room at an endpoint; ``None`` if there was none in time
        """
        if not self._is_blocked(call):
            endpoint = self._choose(call, avoid)
            if endpoint is not None:
                return Reservation(endpoint, call.size)
        left_s = wait_until - self._clock()
        if left_s <= 0:
            return None
        return await self._wait(call, avoid, left_s)

    def has_room(self, call: Call, avoid: Collection[str]) -> bool:
        """:return: whether a call could be sent to one of the other endpoints at once."""
        return not self._is_blocked(call) and self._choose(call, avoid) is not None

    def release(self, reservation: Reservation) -> None:
        """Give room back and pass it on.

        :param reservation: what was taken
        """
        reservation.release()
        self.serve_waiting()

    def serve_waiting(self) -> None:
        """Place the calls that wait, as far as there is room."""
        for service in [name for name, queue in self._queues.items() if queue]:
            self._serve(service)

    def _is_blocked(self, call: Call) -> bool:
        queue = self._queues.get(call.service)
        return queue is not None and len(queue) > 0 and queue[0][0] <= call.rank

    async def _wait(self, call: Call, avoid: Collection[str], left_s: float) -> Reservation | None:
        placed: asyncio.Future[Reservation] = asyncio.get_running_loop().create_future()
        ticket = Ticket(call, avoid, placed)
        queue = self._queues.setdefault(call.service, [])
        heapq.heappush(queue, (call.rank, call.arrived_at, next(self._serial), ticket))
        try:
            async with asyncio.timeout(left_s):
                return await placed
        except TimeoutError:
            return _take_result(placed)
        except asyncio.CancelledError:
            # room may have been given in the same moment
            given = _take_result(placed)
            if given is not None:
                given.release()
            raise
        finally:
            queue[:] = [item for item in queue if item[3] is not ticket]
            heapq.heapify(queue)
            self.serve_waiting()

    def _serve(self, service: str) -> None:
        queue = self._queues[service]
        held: list[tuple[int, float, int, Ticket]] = []
        while queue:
            item = heapq.heappop(queue)
            ticket = item[3]
            if ticket.placed.done():
                continue
            endpoint = self._choose(ticket.call, ticket.avoid)
            if endpoint is not None:
                ticket.placed.set_result(Reservation(endpoint, ticket.call.size))
                continue
            held.append(item)
            if not ticket.avoid:
                break
        for item in held:
            heapq.heappush(queue, item)

    def _choose(self, call: Call, avoid: Collection[str]) -> Endpoint | None:
        endpoints = self.directory.of_service(call.service)
        engine = self.find_engine(call.service)
        read_at = self.recent_runs.find(call.prompt_key)
        return self.chooser.choose(endpoints, call, engine, self._clock(), avoid, read_at)


def _take_result(placed: asyncio.Future[Reservation]) -> Reservation | None:
    if placed.done() and not placed.cancelled():
        return placed.result()
    return None


__all__ = ["SWEEP_S", "Dispatcher", "Ticket"]
