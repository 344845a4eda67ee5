"""Drives one model engine."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from mode import Service

from basilroad.agent.cache import CacheFollower
from basilroad.agent.fencing import FenceSource
from basilroad.agent.modelloader import ModelLoader
from basilroad.agent.queuedcounts import WaitingCounts
from basilroad.agent.run import Run
from basilroad.agent.slots import Slots, SlotSettings
from basilroad.coordination.decay import DecayedSum
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

PROBE_S = 0.25
"""Seconds between health probes of a dead engine."""

SILENCE = StallSettings(multiple=8.0, floor_s=0.5, ceiling_s=2.0, first_s=8.0)
"""Silence of a run after which its engine is taken for dead."""

MISSES_MAX = 3
"""Looks that an idle engine may leave unanswered before it is taken for dead."""

RATE_WINDOW_S = 5.0
"""Seconds over which the decoding rate is counted."""

_LOGGER = logging.getLogger(__name__)


class EngineDriver(Service):
    """Runs generations on one engine and watches that it lives.

    :param settings: the endpoint
    :param incarnation: names this process, for the names of deaths
    :param announce: called when the endpoint's state has changed
    :param fences: tells the planner's fencing number after a start
    """

    def __init__(
        self,
        settings: EndpointSettings,
        incarnation: str,
        announce: Callable[[], None],
        fences: FenceSource,
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
        self._engine = HttpEngine(settings.url)
        self._waiting = WaitingCounts()
        self.loads = ModelLoader(
            settings, self._engine, fences, lambda: len(self.slots.running), self._on_loads
        )
        self._served = self.loads.in_force
        self.cache = CacheFollower(settings.name, self._engine)
        self._silence: dict[Run, StallDetector] = {}
        self._decoded = DecayedSum(RATE_WINDOW_S)

    def on_init_dependencies(self) -> list[ServiceT]:
        """:return: the services that run below this one."""
        return [self.loads, self.cache]

    async def on_shutdown(self) -> None:
        """Close the engine's connections, after all parts have stopped."""
        await self._engine.close()

    def configure(self, view: SettingsView) -> None:
        """Take the operators' floors, weights and limits.

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
            tokens_per_second=self._decoded.value / RATE_WINDOW_S,
            running_by_rank=self.slots.count_by_rank(),
            starting_by_rank=self.slots.count_starting(),
            death=self.death,
            alone=self.slots.alone,
            waiting=self._waiting.list_waiting(),
        )
        self.loads.describe(state)
        return state

    def refuse(self, start: wire.StartGeneration) -> FailReason | None:
        """Tell why a generation can't start here now.

        :param start: what the entry asks for
        :return: the reason, or ``None`` if it can; a credit is used up
        """
        start.credit = start.credit if self.slots.use_credit(start.credit) else ""
        if self.draining or not self.loads.is_ready:
            return FailReason.DRAINING
        if not self.alive or not self._matches(start):
            return FailReason.UNKNOWN_ENDPOINT
        if self.slots.alone:
            return FailReason.BUSY
        if start.alone:
            self._clear_for(start)
            return None
        if start.credit or self.slots.may_start(start.rank) or self._preempt_for(start):
            return None
        return FailReason.BUSY

    def begin(self, run: Run) -> None:
        """Run a generation.

        :param run: a new attempt that :meth:`refuse` let through
        """
        self.slots.occupy(run, credited=bool(run.start.credit))
        self._silence[run] = StallDetector(SILENCE)
        run.task = self.add_future(self._drive(run))  # type: ignore[assignment]
        self._announce()

    def cancel(self, run: Run, reason: FailReason, detail: str = "") -> None:
        """End a run early.

        :param run: what runs
        :param reason: told to its readers
        :param detail: text for logs
        """
        self._stop(run, reason, detail)
        self.grant()
        self._announce()

    def report(self, link: EntryLink, demand: wire.Demand) -> None:
        """Note what an entry has waiting and hand out free slots.

        :param link: stream to the entry
        :param demand: its backlogs
        """
        if self._waiting.report(link, demand):
            self._announce()
        self.slots.report(link, demand, self._served.model if self._served else "")
        self.grant()

    def grant(self) -> None:
        """Hand out free slots, if the endpoint takes work."""
        if self.alive and not self.draining and self.loads.is_ready:
            self.slots.grant()

    def return_credit(self, credit: str) -> None:
        """Take a promise back that an entry does not need.

        :param credit: what the entry was given
        """
        if self.slots.return_credit(credit):
            self.grant()
            self._announce()

    def expire_credits(self) -> None:
        """Hand out anew what entries were promised and did not use in time."""
        if self.slots.expire():
            self.grant()
            self._announce()

    def drop_link(self, link: EntryLink) -> None:
        """Forget a lost entry.

        :param link: the stream that ended
        """
        self.slots.drop_link(link)
        self._waiting.drop_link(link)
        self.grant()

    async def check_health(self) -> None:
        """Notice the death of an engine that runs nothing."""
        if self.alive and not self.slots.running and not await self._probe():
            self._note_death("no health")

    def check_silence(self) -> None:
        """End the runs whose engine has stopped sending; note an idle engine that is gone."""
        if self.loads.misses >= MISSES_MAX and not self.slots.running:
            self._note_death("unreachable")
        silent = [run for run, detector in self._silence.items() if detector.is_stalled()]
        if silent:
            self._end_silent(silent)

    def _end_silent(self, silent: list[Run]) -> None:
        others = [run for run in self.slots.running if run not in silent]
        progressing = [run for run in others if run.decoded]
        death = "" if progressing else self._note_death("silent")
        neighbours = len(self.slots.running) - 1
        victims = silent if progressing else list(self.slots.running)
        for run in victims:
            run.fail(FailReason.ENDPOINT_SILENT, "no token", death=death, neighbours=neighbours)
            if run.task is not None:
                run.task.cancel()
            self._leave(run)

    def _matches(self, start: wire.StartGeneration) -> bool:
        return Loaded(start.model, start.adapter, start.version) == self.loads.in_force

    def _on_loads(self) -> None:
        if self.loads.in_force != self._served:
            self._served = self.loads.in_force
            self.slots.forget_demand()
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
        # the slot is not granted to others: the urgent work takes it at once
        self._stop(victim, FailReason.PREEMPTED)
        return True

    def _clear_for(self, start: wire.StartGeneration) -> None:
        for run in list(self.slots.running):
            _LOGGER.info(
                "move", extra={"what": "move", "generation": run.generation, "by": start.generation}
            )
            self._stop(run, FailReason.MOVED, "a suspect runs alone")

    async def _drive(self, run: Run) -> None:
        try:
            await self._follow_engine(run)
        except EngineRefusedError as error:
            run.fail(FailReason.ENDPOINT_REFUSED, str(error))
        except EngineUnreachableError as error:
            self._note_death(str(error))
            run.fail(FailReason.UNKNOWN_ENDPOINT, str(error))
        except (EngineConnectionError, EngineTimeoutError) as error:
            await self._end_broken(run, str(error))
        except Exception:
            # one request that can't be driven must not end the others' agent
            _LOGGER.exception("run failed", extra={"generation": run.generation})
            run.fail(FailReason.ENDPOINT_REFUSED, "internal error")
        finally:
            self._leave(run)

    async def _follow_engine(self, run: Run) -> None:
        async for event in self._engine.generate(_build_order(run)):
            if run.end is not None:
                return
            if isinstance(event, EngineFinish):
                run.finish(event.finish, event.prompt_tokens, event.cached_tokens)
                return
            self._silence[run].record_tokens()
            self._decoded.add(1)
            run.add_token(event.token)
        raise EngineConnectionError("stream ended early")

    async def _end_broken(self, run: Run, detail: str) -> None:
        # one broken connection is no death: the engine itself is asked first
        neighbours = len(self.slots.running) - 1
        death = "" if await self._probe() else self._note_death(detail)
        run.fail(FailReason.ENDPOINT_DIED, detail, death=death, neighbours=neighbours)

    def _note_death(self, cause: str) -> str:
        if self.alive:
            self._deaths += 1
            self.alive = False
            self.cache.forget()
            self.death = f"{self._incarnation}/{self.settings.name}/{self._deaths}"
            _LOGGER.warning(
                "endpoint died",
                extra={"what": "death", "endpoint": self.settings.name, "reason": cause},
            )
            self._announce()
            self.add_future(self._await_recovery())
        return self.death

    async def _await_recovery(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(PROBE_S)
            if await self.loads.refresh():
                break
        self.alive = True
        self.death = ""
        _LOGGER.info("endpoint back", extra={"what": "recovery", "endpoint": self.settings.name})
        self._announce()
        self.grant()

    async def _probe(self) -> bool:
        return await self.loads.refresh() and self.loads.is_serving

    def _stop(self, run: Run, reason: FailReason, detail: str = "") -> None:
        run.fail(reason, detail)
        if run.task is not None:
            run.task.cancel()
        self.slots.leave(run)
        self._silence.pop(run, None)

    def _leave(self, run: Run) -> None:
        # a run that was stopped has left already, and its slot may be taken
        if run not in self.slots.running:
            return
        self.slots.leave(run)
        self._silence.pop(run, None)
        self.grant()
        self._announce()
        if not self.slots.running:
            self.loads.wake()


def _build_order(run: Run) -> GenerateRequest:
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
