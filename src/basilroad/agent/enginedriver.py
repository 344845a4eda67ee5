"""Driver of one model engine."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from mode import Service

from basilroad.agent.cache import CacheFollower
from basilroad.agent.fencing import FenceSource
from basilroad.agent.modelloader import ModelLoader
from basilroad.agent.queuedcounts import QueuedCounts
from basilroad.agent.run import Run
from basilroad.agent.slots import Slots, SlotSettings
from basilroad.coordination.decay import DecayedSum
from basilroad.coordination.poison import PoisonMark
from basilroad.coordination.stalldetector import StallDetector, StallSettings
from basilroad.endpoints.engine import (
    EngineConnectionError,
    EngineRefusedError,
    EngineTimeoutError,
    EngineUnreachableError,
    HttpEngine,
)
from basilroad.endpoints.messages import EngineFinish, GenerateRequest
from basilroad.peers.failreason import FailReason
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.settings.fairness import build_fairness
from basilroad.world.loaded import Loaded

if TYPE_CHECKING:
    from mode.types import ServiceT

    from basilroad.agent.link import EntryLink
    from basilroad.settings.daemon import EndpointSettings
    from basilroad.settings.view import SettingsView

PROBE_INTERVAL_S = 0.25
"""Seconds between health probes of a failed engine."""

STALL_SETTINGS = StallSettings(multiple=8.0, floor_s=0.5, ceiling_s=2.0, first_s=8.0)
"""Time without a token after which a run counts as stalled."""

MAX_FAILED_HEALTH_READS = 3
"""Consecutive failed health reads after which an idle engine counts as failed."""

RATE_WINDOW_S = 5.0
"""Seconds over which the decoding rate is averaged."""

_LOGGER = logging.getLogger(__name__)


class EngineDriver(Service):
    """Runs generations on one engine and detects its failure and recovery.

    :param settings: the endpoint
    :param incarnation: incarnation of this process, part of failure identifiers
    :param announce: called when the endpoint's state has changed
    :param fences: source of the planner's fencing number
    :param record_mark: called for each run that a failure of the engine ends, before its end is
        sent, so that an entry that finds no copy here knows of the failure
    """

    def __init__(
        self,
        settings: EndpointSettings,
        incarnation: str,
        announce: Callable[[], None],
        fences: FenceSource,
        record_mark: Callable[[PoisonMark], None],
    ) -> None:
        super().__init__()
        self.settings = settings
        self.slots = Slots(settings.name, settings.slots, SlotSettings())
        self.alive = True
        self.draining = False
        self.death = ""
        self._deaths = 0
        self._incarnation = incarnation
        self._announce = announce
        self._record_mark = record_mark
        self._engine = HttpEngine(settings.url)
        self._queued = QueuedCounts()
        self.loads = ModelLoader(
            settings, self._engine, fences, lambda: len(self.slots.running), self._on_load_change
        )
        self._last_in_force = self.loads.in_force
        self.cache = CacheFollower(settings.name, self._engine)
        self._stall_detectors: dict[Run, StallDetector] = {}
        self._decoded_tokens = DecayedSum(RATE_WINDOW_S)

    def on_init_dependencies(self) -> list[ServiceT]:
        """:return: child services."""
        return [self.loads, self.cache]

    async def on_shutdown(self) -> None:
        """Close the engine's connections, after all child services have stopped."""
        await self._engine.close()

    def configure(self, view: SettingsView) -> None:
        """Apply the operators' floors, weights and limits.

        :param view: settings in force
        """
        limits = view.limits(self.settings.service)
        self.slots.configure(SlotSettings(build_fairness(view), limits.preemption))

    def build_state(self) -> wire.EndpointState:
        """:return: the endpoint's state for the entries."""
        state = wire.EndpointState(
            endpoint=self.settings.name,
            kind=self.settings.kind,
            slots=self.slots.total,
            running=len(self.slots.running),
            reserved=self.slots.reserved,
            draining=self.draining,
            alive=self.alive,
            tokens_per_second=self._decoded_tokens.value / RATE_WINDOW_S,
            running_by_rank=self.slots.count_by_rank(),
            starting_by_rank=self.slots.count_starting(),
            death=self.death,
            alone=self.slots.alone,
            waiting=self._queued.list_queued(),
        )
        self.loads.describe(state)
        return state

    def refuse(self, start: wire.StartGeneration) -> FailReason | None:
        """Check whether a generation can start now; redeems its credit and preempts if needed.

        :param start: request of the entry
        :return: the reason for refusal; ``None`` if it can start
        """
        start.credit = start.credit if self.slots.use_credit(start.credit) else ""
        if self.draining or not self.loads.is_ready:
            return FailReason.DRAINING
        if not self.alive or not self._matches(start):
            return FailReason.UNKNOWN_ENDPOINT
        if self.slots.alone:
            return FailReason.BUSY
        if start.alone:
            self._stop_all_for(start)
            return None
        if start.credit or self.slots.may_start(start.rank) or self._preempt_for(start):
            return None
        return FailReason.BUSY

    def begin(self, run: Run) -> None:
        """Start a generation.

        :param run: a new attempt that :meth:`refuse` has accepted
        """
        self.slots.occupy(run, credited=bool(run.start.credit))
        self._stall_detectors[run] = StallDetector(STALL_SETTINGS)
        run.task = self.add_future(self._drive(run))  # type: ignore[assignment]
        self._announce()

    def cancel(self, run: Run, reason: FailReason, detail: str = "") -> None:
        """End a run early.

        :param run: the run
        :param reason: sent to its readers
        :param detail: text for logs
        """
        self._stop(run, reason, detail)
        self.grant()
        self._announce()

    def report(self, link: EntryLink, demand: wire.Demand) -> None:
        """Record the queued requests of an entry and grant free slots.

        :param link: stream to the entry
        :param demand: its backlogs
        """
        if self._queued.report(link, demand):
            self._announce()
        self.slots.report(link, demand, self._last_in_force.model if self._last_in_force else "")
        self.grant()

    def grant(self) -> None:
        """Grant free slots, if the endpoint accepts work."""
        if self.alive and not self.draining and self.loads.is_ready:
            self.slots.grant()

    def return_credit(self, credit: str) -> None:
        """Accept the return of an unneeded credit.

        :param credit: identifier of the credit
        """
        if self.slots.return_credit(credit):
            self.grant()
            self._announce()

    def expire_credits(self) -> None:
        """Revoke expired credits and grant their slots again."""
        if self.slots.expire():
            self.grant()
            self._announce()

    def drop_link(self, link: EntryLink) -> None:
        """Remove a disconnected entry.

        :param link: the stream that ended
        """
        self.slots.drop_link(link)
        self._queued.drop_link(link)
        self.grant()

    async def check_health(self) -> None:
        """Probe an idle engine and record its failure."""
        if self.alive and not self.slots.running and not await self._probe():
            self._record_death("health check failed")

    def check_stalls(self) -> None:
        """End stalled runs and record the failure of an unreachable idle engine."""
        if self.loads.failed_health_reads >= MAX_FAILED_HEALTH_READS and not self.slots.running:
            self._record_death("unreachable")
        stalled = [run for run, detector in self._stall_detectors.items() if detector.is_stalled()]
        if stalled:
            self._end_stalled(stalled)

    def _end_stalled(self, stalled: list[Run]) -> None:
        others = [run for run in self.slots.running if run not in stalled]
        progressing = [run for run in others if run.decoded]
        death = "" if progressing else self._record_death("silent")
        neighbours = len(self.slots.running) - 1
        victims = stalled if progressing else list(self.slots.running)
        for run in victims:
            self._mark_death(run, death, neighbours)
            run.fail(
                FailReason.ENDPOINT_SILENT,
                "no token within the stall limit",
                death=death,
                neighbours=neighbours,
            )
            if run.task is not None:
                run.task.cancel()
            self._release_slot(run)

    def _matches(self, start: wire.StartGeneration) -> bool:
        return Loaded(start.model, start.adapter, start.version) == self.loads.in_force

    def _on_load_change(self) -> None:
        if self.loads.in_force != self._last_in_force:
            self._last_in_force = self.loads.in_force
            self.slots.clear_demand()
        self._announce()
        self.grant()

    def _preempt_for(self, start: wire.StartGeneration) -> bool:
        victim = self.slots.find_victim(start)
        if victim is None:
            return False
        _LOGGER.info(
            "preempt",
            extra={"what": "preempt", "generation": victim.generation, "by": start.generation},
        )
        # no grant here, since the preempting request takes the slot at once
        self._stop(victim, FailReason.PREEMPTED)
        return True

    def _stop_all_for(self, start: wire.StartGeneration) -> None:
        for run in list(self.slots.running):
            _LOGGER.info(
                "move", extra={"what": "move", "generation": run.generation, "by": start.generation}
            )
            self._stop(run, FailReason.MOVED, "moved to isolate a suspected request")

    async def _drive(self, run: Run) -> None:
        try:
            await self._receive_events(run)
        except EngineRefusedError as error:
            run.fail(FailReason.ENDPOINT_REFUSED, str(error))
        except EngineUnreachableError as error:
            self._record_death(str(error))
            run.fail(FailReason.UNKNOWN_ENDPOINT, str(error))
        except (EngineConnectionError, EngineTimeoutError) as error:
            await self._end_failed(run, str(error))
        except Exception:
            # an unexpected error in one request must not stop the agent
            _LOGGER.exception("run failed", extra={"generation": run.generation})
            run.fail(FailReason.ENDPOINT_REFUSED, "internal error")
        finally:
            self._release_slot(run)

    async def _receive_events(self, run: Run) -> None:
        async for event in self._engine.generate(_build_request(run)):
            if run.end is not None:
                return
            if isinstance(event, EngineFinish):
                run.finish(event.finish, event.prompt_tokens, event.cached_tokens)
                return
            self._stall_detectors[run].record_tokens()
            self._decoded_tokens.add(1)
            run.add_token(event.token)
        raise EngineConnectionError("token stream ended without a finish event")

    async def _end_failed(self, run: Run, detail: str) -> None:
        # a broken connection alone does not mean that the engine failed, so it is probed first
        neighbours = len(self.slots.running) - 1
        death = "" if await self._probe() else self._record_death(detail)
        self._mark_death(run, death, neighbours)
        run.fail(FailReason.ENDPOINT_DIED, detail, death=death, neighbours=neighbours)

    def _mark_death(self, run: Run, death: str, neighbours: int) -> None:
        if not death or run.end is not None:
            return
        mark = PoisonMark(
            run.start.fingerprint,
            death,
            alone=not neighbours,
            progress=run.decoded,
            offset=len(run.tokens),
        )
        self._record_mark(mark)

    def _record_death(self, cause: str) -> str:
        if self.alive:
            self._deaths += 1
            self.alive = False
            self.cache.forget()
            self.death = f"{self._incarnation}/{self.settings.name}/{self._deaths}"
            _LOGGER.warning(
                "endpoint failed",
                extra={"what": "death", "endpoint": self.settings.name, "reason": cause},
            )
            self._announce()
            self.add_future(self._await_recovery())
        return self.death

    async def _await_recovery(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(PROBE_INTERVAL_S)
            if await self.loads.refresh():
                break
        self.alive = True
        self.death = ""
        _LOGGER.info(
            "endpoint recovered", extra={"what": "recovery", "endpoint": self.settings.name}
        )
        self._announce()
        self.grant()

    async def _probe(self) -> bool:
        return await self.loads.refresh() and self.loads.is_serving

    def _stop(self, run: Run, reason: FailReason, detail: str = "") -> None:
        run.fail(reason, detail)
        if run.task is not None:
            run.task.cancel()
        self.slots.release(run)
        self._stall_detectors.pop(run, None)

    def _release_slot(self, run: Run) -> None:
        # a run that was stopped has already released its slot, which may be in use again
        if run not in self.slots.running:
            return
        self.slots.release(run)
        self._stall_detectors.pop(run, None)
        self.grant()
        self._announce()
        if not self.slots.running:
            self.loads.wake()


def _build_request(run: Run) -> GenerateRequest:
    start = run.start
    return GenerateRequest(
        request_id=f"{start.generation}.{start.attempt}",
        prompt=start.prompt,
        prior=tuple(start.prior),
        max_tokens=start.max_tokens,
        temperature=start.temperature,
        seed=start.seed if start.HasField("seed") else None,
        stop=tuple(start.stop),
        priority=start.rank,
        model=start.model,
        adapter=start.adapter,
        version=start.version,
    )


__all__ = ["EngineDriver"]
