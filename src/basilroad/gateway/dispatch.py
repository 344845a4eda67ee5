"""Gives calls their endpoints: urgent calls first, then by the shares of workspaces."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Collection
from typing import TYPE_CHECKING

import attrs

from basilroad.coordination.fairpolicy import FairSettings, Flow
from basilroad.coordination.fairqueue import FairQueue
from basilroad.gateway.endpoint import Reservation
from basilroad.gateway.promptlocations import PromptLocations

if TYPE_CHECKING:
    from basilroad.gateway.call import Call
    from basilroad.gateway.directory import Directory
    from basilroad.gateway.endpoint import Endpoint
    from basilroad.gateway.route import EngineLimits
    from basilroad.gateway.selection import Chooser

SWEEP_INTERVAL_S = 0.02
"""Seconds between looks at what waits: endpoints also become free without a call of this gateway
that ends."""

STRICT_RANKS = FairSettings(floor=0.0)
"""Ranks without a floor: less urgent calls wait as long as urgent ones do."""


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

    @property
    def flow(self) -> Flow:
        """:return: whose share the call uses."""
        return Flow(self.call.rank, self.call.workspace, "")

    @property
    def cost(self) -> float:
        """:return: tokens of a generation; one for a call of a plain service."""
        return float(self.call.size.total or 1)


class Dispatcher:
    """Holds the calls that wait, by service, rank and workspace, then by time of arrival.

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
        self.prompt_locations = PromptLocations(clock)
        self._clock = clock
        self._queues: dict[str, FairQueue[Ticket]] = {}

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
        for queue in list(self._queues.values()):
            self._serve(queue)

    def _is_blocked(self, call: Call) -> bool:
        queue = self._queues.get(call.service)
        return queue is not None and any(rank <= call.rank for rank in queue.ranks())

    async def _wait(self, call: Call, avoid: Collection[str], left_s: float) -> Reservation | None:
        placed: asyncio.Future[Reservation] = asyncio.get_running_loop().create_future()
        ticket = Ticket(call, avoid, placed)
        queue = self._queues.get(call.service)
        if queue is None:
            queue = self._queues[call.service] = FairQueue(STRICT_RANKS)
        queue.push(ticket, ticket.flow, ticket.cost)
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
            queue.remove(ticket)
            self.serve_waiting()

    def _serve(self, queue: FairQueue[Ticket]) -> None:
        held: list[Ticket] = []
        while (ticket := queue.peek()) is not None:
            if ticket.placed.done():
                queue.remove(ticket)
                continue
            endpoint = self._choose(ticket.call, ticket.avoid)
            if endpoint is None and not ticket.avoid:
                break
            if endpoint is None:
                # others may go where this one must not
                held.append(ticket)
                queue.remove(ticket)
                continue
            queue.pop()
            ticket.placed.set_result(Reservation(endpoint, ticket.call.size))
        for ticket in reversed(held):
            queue.push_front(ticket, ticket.flow, ticket.cost)

    def _choose(self, call: Call, avoid: Collection[str]) -> Endpoint | None:
        endpoints = self.directory.of_service(call.service)
        engine = self.find_engine(call.service)
        read_at = self.prompt_locations.find(call.prompt_key)
        return self.chooser.choose(endpoints, call, engine, self._clock(), avoid, read_at)


def _take_result(placed: asyncio.Future[Reservation]) -> Reservation | None:
    if placed.done() and not placed.cancelled():
        return placed.result()
    return None


__all__ = ["SWEEP_INTERVAL_S", "Dispatcher", "Ticket"]
