"""What one engine has loaded, and the orders that change it."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from mode import Service

from basilroad.agent.backoff import Backoff
from basilroad.agent.fencing import EngineFence, FenceSource
from basilroad.agent.loadstate import (
    LoadState,
    build_order,
    read_health,
    read_order,
    read_settings,
    read_state,
)
from basilroad.endpoints.engine import EngineError, EngineRefusedError
from basilroad.endpoints.messages import EngineHealth
from basilroad.errors import ErrorKind
from basilroad.logs import Decision, log_decision
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.world.loaded import Loaded

if TYPE_CHECKING:
    from basilroad.endpoints.engine import Engine
    from basilroad.settings.daemon import EndpointSettings

FOLLOW_S = 1.0
"""Seconds between looks at what the engine has loaded."""

LOADING_S = 0.1
"""Seconds between looks while the engine loads."""

LEAVE_WARN_S = 30.0
"""Seconds after which a log line tells that an order still waits for running work."""

TOO_MANY_REQUESTS = 429
CONFLICT = 409

_LOGGER = logging.getLogger(__name__)


class ModelLoader(Service):
    """Follows what an engine reports and obeys the planner's orders, newest fence first.

    :param settings: the endpoint
    :param engine: the engine
    :param source: tells the planner's fencing number after a start
    :param count_running: tells how many generations run on the engine
    :param changed: called when anything here has changed
    """

    def __init__(
        self,
        settings: EndpointSettings,
        engine: Engine,
        source: FenceSource,
        count_running: Callable[[], int],
        changed: Callable[[], None],
    ) -> None:
        super().__init__()
        self.settings = settings
        self.fence = EngineFence(settings, source)
        self.in_force: Loaded | None = read_settings(settings)
        self.role = ""
        self._engine = engine
        self._count_running = count_running
        self._changed = changed
        self._reported = LoadState.READY
        self._order: wire.PlaceModel | None = None
        self._ordered_s = 0.0
        self._warned = False
        self.misses = 0
        self._asked = 0
        self._applied = 0
        self._wake = asyncio.Event()
        self._backoff = Backoff(settings.name)

    @property
    def load_state(self) -> LoadState:
        """:return: whether the engine takes work."""
        if self._order is not None and self._order.action != "role":
            return LoadState.LEAVING
        return self._reported

    @property
    def is_ready(self) -> bool:
        """:return: whether the engine takes work."""
        return self.load_state is LoadState.READY

    @property
    def is_serving(self) -> bool:
        """:return: whether the engine has a model ready, also if it takes no new work."""
        return self._reported is LoadState.READY

    def describe(self, state: wire.EndpointState) -> None:
        """Fill in what is loaded and what is on its way.

        :param state: told to the entries
        """
        loaded = self.in_force or Loaded("")
        state.service, state.adapter, state.version = loaded.model, loaded.adapter, loaded.version
        state.state = self.load_state.value
        state.role = self.role
        state.fence = self.fence.highest
        state.changing = self.load_state in (LoadState.LEAVING, LoadState.LOADING)
        pending = self._read_pending()
        if pending is not None:
            message = wire.Loaded(
                model=pending.model, adapter=pending.adapter, version=pending.version
            )
            state.pending.CopyFrom(message)

    def place(self, order: wire.PlaceModel) -> wire.ModelPlaced:
        """Take or refuse an order; what runs ends first.

        :param order: from the planner
        :return: what became of it
        """
        kind = self._refuse(order)
        if kind is None and order.action != "fence":
            self._take_order(order)
        self._log(order, kind.value if kind is not None else "taken")
        self._changed()
        return wire.ModelPlaced(
            call=order.call, kind=kind.value if kind else "", fence=self.fence.highest
        )

    def wake(self) -> None:
        """Look again at once."""
        self._wake.set()

    async def refresh(self) -> bool:
        """Ask the engine what it has loaded.

        :return: whether it answered
        """
        self._asked += 1
        number = self._asked
        try:
            health = await self._engine.read_health()
        except EngineError:
            self.misses += 1
            return False
        self.misses = 0
        self._apply(health, number)
        return True

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            self._wake.clear()
            try:
                wait_s = await self._step()
            except Exception:
                _LOGGER.exception("following %s failed", self.settings.name)
                wait_s = FOLLOW_S
            try:
                await asyncio.wait_for(self._wake.wait(), wait_s)
            except TimeoutError:
                pass

    async def _step(self) -> float:
        if await self.fence.learn():
            self._changed()
        order = self._order
        if order is None or not self._may_send(order):
            await self.refresh()
        elif not await self._send(order):
            return self._backoff.draw()
        return LOADING_S if self._reported is LoadState.LOADING else FOLLOW_S

    def _refuse(self, order: wire.PlaceModel) -> ErrorKind | None:
        if order.action not in ("fence", "load", "unload", "role"):
            return ErrorKind.BAD_REQUEST
        if not self.fence.known:
            return ErrorKind.STORE_UNAVAILABLE
        return None if self.fence.admit(order.fence) else ErrorKind.STALE_ORDER

    def _take_order(self, order: wire.PlaceModel) -> None:
        self._order = None
        self._backoff.reset()
        if not self._is_fulfilled(order):
            self._order = order
            self._ordered_s = time.monotonic()
            self._warned = False
        self.wake()

    def _is_fulfilled(self, order: wire.PlaceModel) -> bool:
        if order.action == "role":
            return order.role == self.role
        if order.action == "unload":
            return self._reported is LoadState.EMPTY
        wanted = read_order(order)
        return self._reported is not LoadState.EMPTY and self.in_force == wanted

    def _may_send(self, order: wire.PlaceModel) -> bool:
        if order.action == "role" or self._count_running() == 0:
            return True
        if not self._warned and time.monotonic() - self._ordered_s > LEAVE_WARN_S:
            self._warned = True
            _LOGGER.warning("%s is still in use, so its order waits", self.settings.name)
        return False

    async def _send(self, order: wire.PlaceModel) -> bool:
        self._asked += 1
        number = self._asked
        try:
            health = await self._engine.order(build_order(order))
        except EngineRefusedError as error:
            if error.status == CONFLICT:
                self._drop(order, str(error))
                return True
            return self._put_off(order, str(error))
        except EngineError as error:
            return self._put_off(order, str(error))
        self._backoff.reset()
        if self._order is order:
            self._order = None
        self._apply(health, number)
        self._changed()
        return True

    def _drop(self, order: wire.PlaceModel, reason: str) -> None:
        # the engine has seen a newer planner than this host
        if self._order is order:
            self._order = None
        self._log(order, reason)
        self._changed()

    def _put_off(self, order: wire.PlaceModel, reason: str) -> bool:
        self._backoff.fail()
        self._log(order, f"put off: {reason}")
        return False

    def _apply(self, health: EngineHealth, number: int) -> None:
        if number < self._applied:
            return
        self._applied = number
        before = (self.in_force, self._reported, self.role, self.fence.highest)
        self.fence.hear(health.fence)
        self.role = health.role
        state = read_state(health)
        if state is not LoadState.READY or health.model:
            self._reported = state
            self.in_force = read_health(health)
        if before != (self.in_force, self._reported, self.role, self.fence.highest):
            _LOGGER.info("%s has %s, %s", self.settings.name, self.in_force, self._reported.value)
            self._changed()

    def _read_pending(self) -> Loaded | None:
        if self._order is not None and self._order.action == "load":
            return read_order(self._order)
        return self.in_force if self._reported is LoadState.LOADING else None

    def _log(self, order: wire.PlaceModel, reason: str) -> None:
        what = f"{order.action} {read_order(order)} fence={order.fence}: {reason}"
        log_decision(_LOGGER, Decision(what="place", chosen=self.settings.name, reason=what))


__all__ = ["ModelLoader"]
