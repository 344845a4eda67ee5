"""Service that holds a lease while it runs."""

from __future__ import annotations

import logging
from collections.abc import Callable

from mode import Service

from basilroad.coordination.lease import Lease

logger = logging.getLogger(__name__)


def _do_nothing() -> None:
    """Default callback."""


class LeaseKeeper(Service):
    """Acquires a lease, renews it, and releases it on stop.

    The callbacks are only hints; ``lease.is_held`` must be checked before each action.

    :param lease: the lease
    :param on_gained: called after the lease was acquired
    :param on_lost: called after the loss of the lease was detected
    """

    def __init__(
        self,
        lease: Lease,
        on_gained: Callable[[], object] = _do_nothing,
        on_lost: Callable[[], object] = _do_nothing,
    ) -> None:
        super().__init__()
        self.lease = lease
        self._on_gained = on_gained
        self._on_lost = on_lost
        self._was_held = False

    async def keep(self) -> float:
        """Acquire or renew once.

        :return: seconds until the next attempt
        """
        held = await self.lease.acquire()
        if held and not self._was_held:
            self._was_held = True
            self._on_gained()
        if not held and self._was_held:
            self._was_held = False
            self._on_lost()
        settings = self.lease.settings
        return settings.renew_s if held else settings.retry_s

    async def on_stop(self) -> None:
        """Release the lease."""
        await self.lease.release()

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            wait_s = await self.keep()
            await self.sleep(wait_s)


__all__ = ["LeaseKeeper"]
