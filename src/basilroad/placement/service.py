"""Placement planner service, active on the entry that holds its lease."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import defaultdict
from typing import TYPE_CHECKING

from mode import Service

from basilroad.agent.fencing import PLANNER_LEASE
from basilroad.coordination.lease import Lease, LeaseSettings
from basilroad.coordination.leasekeeper import LeaseKeeper
from basilroad.placement.commands import CommandSender
from basilroad.placement.loadlimiter import LoadRateLimiter, LoadRateSettings
from basilroad.placement.plan import EngineReport, Plan, PlanningInput
from basilroad.placement.planner import make_plan
from basilroad.placement.trackers import DemandTracker, EngineTracker
from basilroad.world.loaded import Loaded

if TYPE_CHECKING:
    from mode.types import ServiceT

    from basilroad.coordination.table import Table
    from basilroad.entry.context import EntryContext
    from basilroad.entry.links.link import EndpointView
    from basilroad.placement.plan import Change
    from basilroad.settings.view import SettingsView
    from basilroad.world.model import Model

PLANNING_INTERVAL_S = 1.0
"""Seconds between two planning rounds."""

OBSERVATION_PERIOD_S = 3.0
"""Seconds for which a new planner collects reports before its first plan."""

LEASE = LeaseSettings(lease_s=5.0, margin_s=0.5, renew_s=1.5, retry_s=2.0)
"""Lease of the planner; short, since running engines are not affected when it lapses."""

_LOGGER = logging.getLogger(__name__)


class PlannerLeaseKeeper(LeaseKeeper):
    """Keeps the planner's lease while any model is subject to placement.

    :param planner: the planner
    :param lease: the lease
    """

    def __init__(self, planner: Planner, lease: Lease) -> None:
        super().__init__(lease, planner.on_gained, planner.on_lost)
        self._planner = planner

    async def keep(self) -> float:
        """Acquire or renew once, or release the lease if no model is subject to placement.

        :return: seconds until the next time
        """
        if self._planner.list_models():
            return await super().keep()
        if self.lease.is_held():
            await self.lease.release()
            self._had = False
            self._planner.on_lost()
        return self.lease.settings.retry_s


class Planner(Service):
    """Plans in rounds while this entry holds the lease.

    :param entry: the process
    :param table: holds the lease
    """

    def __init__(self, entry: EntryContext, table: Table) -> None:
        super().__init__()
        self.entry = entry
        holder = f"{entry.settings.host}/{entry.incarnation}"
        self.lease = Lease(table, PLANNER_LEASE, holder, LEASE)
        self.keeper = PlannerLeaseKeeper(self, self.lease)
        self.plan = Plan()
        self._commands = CommandSender(self.lease)
        self._load_limiter = LoadRateLimiter(LoadRateSettings())
        self._engine_tracker = EngineTracker()
        self._demand_tracker = DemandTracker()
        self._fence = 0
        self._gained_s = 0.0

    def on_init_dependencies(self) -> list[ServiceT]:
        """:return: the services that run below this one."""
        return [self.keeper]

    def list_models(self) -> dict[str, Model]:
        """:return: the models subject to placement, by name."""
        return _select_models(self.entry.store.view)

    def describe_shortages(self) -> tuple[str, ...]:
        """:return: the shortages, for the status; empty if this entry does not hold the lease."""
        if not self.lease.is_held():
            return ()
        return tuple(f"{s.model} in {s.region}: {s.reason}" for s in self.plan.shortages)

    def on_gained(self) -> None:
        """Log that this entry has become the planner."""
        _LOGGER.info("this entry plans", extra={"fence": self.lease.fence()})

    def on_lost(self) -> None:
        """Discard the plan, since another entry may be the planner now."""
        self.plan = Plan()
        _LOGGER.info("this entry plans no longer")

    @Service.task
    async def _plan(self) -> None:
        while not self.should_stop:
            await self.sleep(PLANNING_INTERVAL_S)
            try:
                await self.run_round()
            except Exception:
                _LOGGER.exception("planning round failed")

    async def run_round(self) -> None:
        """Plan once and send the commands that the rate limit allows."""
        fence = self.lease.fence()
        models = self.list_models()
        if fence is None or not models:
            return
        if fence != self._fence:
            self._reset_trackers(fence)
        views = self._find_views()
        # Above the own number if the table lost the row of a later planner; the lease is then
        # renewed with a higher one, or found to be lost.
        self.lease.raise_fence(max((view.state.fence for view in views.values()), default=0))
        await self._announce_fence(views, fence)
        engines = self._engine_tracker.update(
            build_report(view, fence) for view in views.values() if view.state.alive
        )
        waiting = self._demand_tracker.update(_read_waiting(views))
        if time.monotonic() - self._gained_s < OBSERVATION_PERIOD_S:
            return
        self._record_plan(make_plan(PlanningInput(models, engines, waiting)))
        granted = self._load_limiter.admit(self.plan.changes)
        await asyncio.gather(*(self._send_change(views, change) for change in granted))

    def _reset_trackers(self, fence: int) -> None:
        # also after a suspension in which the lease was not taken: earlier reports are outdated
        self._fence = fence
        self._gained_s = time.monotonic()
        self._engine_tracker = EngineTracker()
        self._demand_tracker = DemandTracker()

    async def _announce_fence(self, views: dict[str, EndpointView], fence: int) -> None:
        outdated_views = [view for view in views.values() if view.state.fence < fence]
        await asyncio.gather(*(self._commands.announce(view) for view in outdated_views))

    async def _send_change(self, views: dict[str, EndpointView], change: Change) -> None:
        view = views.get(change.endpoint)
        if view is None:
            return
        result = await self._commands.change(view, change)
        if result.accepted and change.follows_demand:
            self._demand_tracker.record_move(change.region)

    def _record_plan(self, plan: Plan) -> None:
        for shortage in set(plan.shortages) - set(self.plan.shortages):
            _LOGGER.warning(
                "placement target not reached",
                extra={"model": shortage.model, "region": shortage.region, "why": shortage.reason},
            )
        self.plan = plan

    def _find_views(self) -> dict[str, EndpointView]:
        return {
            view.name: view
            for link in self.entry.links.values()
            if link.is_up
            for view in link.endpoints.values()
            if view.state.kind == "engine"
        }


def build_report(view: EndpointView, fence: int) -> EngineReport:
    """Describe an engine for the plan.

    :param view: the engine as reported by its agent
    :param fence: fencing number of this planner
    :return: the report; accepts commands if the agent refuses all former planners
    """
    state = view.state
    hello = view.link.hello
    assert hello is not None
    loaded = Loaded(state.service, state.adapter, state.version) if state.service else None
    pending = state.pending
    return EngineReport(
        endpoint=state.endpoint,
        host=hello.host,
        region=hello.region,
        data_centre=hello.data_centre,
        loaded=loaded,
        pending=(
            Loaded(pending.model, pending.adapter, pending.version)
            if state.HasField("pending")
            else None
        ),
        ready=state.state == "ready",
        running=state.running,
        slots=state.slots,
        draining=state.draining,
        accepts_commands=state.fence == fence,
    )


def _select_models(view: SettingsView) -> dict[str, Model]:
    return {
        name: model
        for name, model in view.models.items()
        if model.replicas and view.limits(name).placement
    }


def _read_waiting(views: dict[str, EndpointView]) -> dict[tuple[str, str], int]:
    # each agent receives the queues of all entries, so the largest sum is the most complete one
    waiting: dict[tuple[str, str], int] = defaultdict(int)
    for view in views.values():
        for each in view.state.waiting:
            key = (each.model, each.region)
            waiting[key] = max(waiting[key], each.requests)
    return dict(waiting)


__all__ = ["LEASE", "Planner", "PlannerLeaseKeeper", "build_report"]
