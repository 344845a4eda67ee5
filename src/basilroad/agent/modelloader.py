"""Loaded model of one engine, and the placement commands that change it."""

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
    build_command,
    read_command,
    read_health,
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

POLL_INTERVAL_S = 1.0
"""Seconds between polls of the engine's health."""

LOADING_POLL_INTERVAL_S = 0.1
"""Seconds between polls while the engine loads a model."""

COMMAND_WAIT_WARNING_S = 30.0
"""Seconds after which a warning is logged that a command is held up by running work."""

TOO_MANY_REQUESTS = 429
CONFLICT = 409

_LOGGER = logging.getLogger(__name__)


class ModelLoader(Service):
    """Tracks an engine's loaded model and executes the planner's commands, except stale ones.

    :param settings: the endpoint
    :param engine: the engine
    :param source: source of the planner's fencing number
    :param count_running: returns the number of generations running on the engine
    :param changed: called when any of this state has changed
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
        self._command: wire.PlaceModel | None = None
        self._command_received_s = 0.0
        self._warned = False
        self.failed_health_reads = 0
        self._last_request = 0
        self._last_applied_request = 0
        self._wake = asyncio.Event()
        self._backoff = Backoff(settings.name)

    @property
    def load_state(self) -> LoadState:
        """:return: the state reported by the engine, or ``LEAVING`` while a command is pending."""
        if self._command is not None and self._command.action != "role":
            return LoadState.LEAVING
        return self._reported

    @property
    def is_ready(self) -> bool:
        """:return: whether the engine accepts work."""
        return self.load_state is LoadState.READY

    @property
    def is_serving(self) -> bool:
        """:return: whether the engine has a model ready, even if it accepts no new work."""
        return self._reported is LoadState.READY

    def describe(self, state: wire.EndpointState) -> None:
        """Fill in the loaded and the pending model.

        :param state: the endpoint state sent to the entries
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

    def place(self, command: wire.PlaceModel) -> wire.ModelPlaced:
        """Accept or refuse a command; loads and unloads wait until running work has ended.

        :param command: from the planner
        :return: the result, with the error kind if refused
        """
        kind = self._refuse(command)
        if kind is None and command.action != "fence":
            self._accept_command(command)
        self._log(command, kind.value if kind is not None else "taken")
        self._changed()
        return wire.ModelPlaced(
            call=command.call, kind=kind.value if kind else "", fence=self.fence.highest
        )

    def wake(self) -> None:
        """Poll the engine without waiting for the interval."""
        self._wake.set()

    async def refresh(self) -> bool:
        """Read the engine's health.

        :return: whether it responded
        """
        self._last_request += 1
        number = self._last_request
        try:
            health = await self._engine.read_health()
        except EngineError:
            self.failed_health_reads += 1
            return False
        self.failed_health_reads = 0
        self._apply(health, number)
        return True

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            self._wake.clear()
            try:
                wait_s = await self._step()
            except Exception:
                _LOGGER.exception("polling of engine %s failed", self.settings.name)
                wait_s = POLL_INTERVAL_S
            try:
                await asyncio.wait_for(self._wake.wait(), wait_s)
            except TimeoutError:
                pass

    async def _step(self) -> float:
        if await self.fence.fetch_fence():
            self._changed()
        command = self._command
        if command is None or not self._may_send(command):
            await self.refresh()
        elif not await self._send(command):
            return self._backoff.draw()
        return LOADING_POLL_INTERVAL_S if self._reported is LoadState.LOADING else POLL_INTERVAL_S

    def _refuse(self, command: wire.PlaceModel) -> ErrorKind | None:
        if command.action not in ("fence", "load", "unload", "role"):
            return ErrorKind.BAD_REQUEST
        if not self.fence.known:
            return ErrorKind.STORE_UNAVAILABLE
        return None if self.fence.admit(command.fence) else ErrorKind.STALE_ORDER

    def _accept_command(self, command: wire.PlaceModel) -> None:
        self._command = None
        self._backoff.reset()
        if not self._is_fulfilled(command):
            self._command = command
            self._command_received_s = time.monotonic()
            self._warned = False
        self.wake()

    def _is_fulfilled(self, command: wire.PlaceModel) -> bool:
        if command.action == "role":
            return command.role == self.role
        if command.action == "unload":
            return self._reported is LoadState.EMPTY
        wanted = read_command(command)
        return self._reported is not LoadState.EMPTY and self.in_force == wanted

    def _may_send(self, command: wire.PlaceModel) -> bool:
        if command.action == "role" or self._count_running() == 0:
            return True
        if (
            not self._warned
            and time.monotonic() - self._command_received_s > COMMAND_WAIT_WARNING_S
        ):
            self._warned = True
            _LOGGER.warning(
                "command for %s is still waiting for running work to end", self.settings.name
            )
        return False

    async def _send(self, command: wire.PlaceModel) -> bool:
        self._last_request += 1
        number = self._last_request
        try:
            health = await self._engine.order(build_command(command))
        except EngineRefusedError as error:
            if error.status == CONFLICT:
                self._drop(command, str(error))
                return True
            return self._postpone(command, str(error))
        except EngineError as error:
            return self._postpone(command, str(error))
        self._backoff.reset()
        if self._command is command:
            self._command = None
        self._apply(health, number)
        self._changed()
        return True

    def _drop(self, command: wire.PlaceModel, reason: str) -> None:
        # the engine has received a newer fence than this agent
        if self._command is command:
            self._command = None
        self._log(command, reason)
        self._changed()

    def _postpone(self, command: wire.PlaceModel, reason: str) -> bool:
        self._backoff.fail()
        self._log(command, f"postponed: {reason}")
        return False

    def _apply(self, health: EngineHealth, number: int) -> None:
        if number < self._last_applied_request:
            return
        self._last_applied_request = number
        before = (self.in_force, self._reported, self.role, self.fence.highest)
        self.fence.record_reported_fence(health.fence)
        self.role = health.role
        state = read_state(health)
        if state is not LoadState.READY or health.model:
            self._reported = state
            self.in_force = read_health(health)
        if before != (self.in_force, self._reported, self.role, self.fence.highest):
            _LOGGER.info(
                "engine %s: model %s, state %s",
                self.settings.name,
                self.in_force,
                self._reported.value,
            )
            self._changed()

    def _read_pending(self) -> Loaded | None:
        if self._command is not None and self._command.action == "load":
            return read_command(self._command)
        return self.in_force if self._reported is LoadState.LOADING else None

    def _log(self, command: wire.PlaceModel, reason: str) -> None:
        what = f"{command.action} {read_command(command)} fence={command.fence}: {reason}"
        log_decision(_LOGGER, Decision(what="place", chosen=self.settings.name, reason=what))


__all__ = ["ModelLoader"]
