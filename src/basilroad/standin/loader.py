"""Models that an engine stand-in loads and unloads by order."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import attrs

from basilroad.backing.weights import (
    HttpWeightStore,
    WeightsDeferred,
    WeightStore,
    WeightStoreError,
)
from basilroad.endpoints.messages import EngineCommand, EngineHealth, GenerateRequest
from basilroad.standin.settings import EngineStandinSettings

PULL_RETRY_S = 1.0
"""Pause after a pull that failed."""

PULL_TIMEOUT_S = 30.0
"""Longest time of one pull."""

logger = logging.getLogger(__name__)


class OrderRefusedError(Exception):
    """The engine does not obey an order."""


class Loader:
    """Holds what is loaded and obeys orders to change it.

    :param settings: settings of the engine
    :param unloaded: called when what was loaded no longer is
    """

    def __init__(self, settings: EngineStandinSettings, unloaded: Callable[[], None]) -> None:
        self._settings = settings
        self._unloaded = unloaded
        self._task: asyncio.Task[None] | None = None
        self.health = EngineHealth(
            name=settings.name,
            state="ready" if settings.model else "empty",
            model=settings.model,
            adapter=settings.adapter,
            version=settings.version if settings.model else "",
            role=settings.role,
        )

    def serves(self, order: GenerateRequest) -> bool:
        """:return: whether just what an order asks for is loaded."""
        asked = (order.model, order.adapter, order.version)
        return self.health.state == "ready" and asked == self._get_loaded()

    def execute(self, order: EngineCommand) -> None:
        """Carry out an order; a load goes on after this returns.

        :param order: the order
        :raises OrderRefusedError: its fencing number is old, or the action is not known
        """
        if self._settings.checks_fence and order.fence < self.health.fence:
            raise OrderRefusedError(f"fence {order.fence} is older than {self.health.fence}")
        if order.action not in ("load", "unload", "role"):
            raise OrderRefusedError(f"unknown action {order.action!r}")
        fence = max(order.fence, self.health.fence)
        self.health = attrs.evolve(self.health, fence=fence)
        if order.action == "role":
            self.health = attrs.evolve(self.health, role=order.role)
        elif order.action == "unload":
            self._unload()
        elif self._get_loaded() != (order.model, order.adapter, order.version):
            self._load(order)

    def stop(self) -> None:
        """Give up a load that goes on."""
        if self._task is not None:
            self._task.cancel()

    def _get_loaded(self) -> tuple[str, str, str]:
        return self.health.model, self.health.adapter, self.health.version

    def _unload(self) -> None:
        self.stop()
        self.health = attrs.evolve(self.health, state="empty", model="", adapter="", version="")
        self._unloaded()

    def _load(self, order: EngineCommand) -> None:
        self._unload()
        self.health = attrs.evolve(
            self.health,
            state="loading",
            model=order.model,
            adapter=order.adapter,
            version=order.version,
        )
        self._task = asyncio.create_task(self._finish_load(order))

    async def _finish_load(self, order: EngineCommand) -> None:
        if self._settings.weights_url:
            await self._pull(order)
        await asyncio.sleep(self._settings.model_load_s)
        self.health = attrs.evolve(self.health, state="ready")

    async def _pull(self, order: EngineCommand) -> None:
        store = HttpWeightStore(self._settings.weights_url, PULL_TIMEOUT_S)
        try:
            while (pause_s := await _try_pull(store, order)) > 0:
                await asyncio.sleep(pause_s)
        finally:
            await store.close()


async def _try_pull(store: WeightStore, order: EngineCommand) -> float:
    try:
        pulled = await store.pull(order.model, order.version)
    except WeightStoreError as error:
        logger.warning("pull of %s %s failed: %s", order.model, order.version, error)
        return PULL_RETRY_S
    return pulled.retry_after_s if isinstance(pulled, WeightsDeferred) else 0.0


__all__ = ["Loader", "OrderRefusedError"]
