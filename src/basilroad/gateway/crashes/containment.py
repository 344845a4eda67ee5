"""Containment of calls that crash the endpoints they run at."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import time
from collections import deque
from typing import TYPE_CHECKING

from basilroad.coordination.crashledger import (
    CRASHES_TO_REFUSE,
    CrashLedger,
    CrashRecord,
    CrashSettings,
)
from basilroad.errors import ErrorKind, refuse
from basilroad.gateway.crashes.runs import Run
from basilroad.gateway.exchange.crashreports import CrashExchange
from basilroad.gateway.registry.endpoint import EndpointState
from basilroad.http.messages import ConnectError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Collection, Iterator, Sequence

    from basilroad.coordination.crashledger import RefusedKeys
    from basilroad.gateway.calls.call import Call
    from basilroad.gateway.crashes.latebreaks import LateBreak, LateBreaks
    from basilroad.gateway.metrics import GatewayMetrics
    from basilroad.gateway.registry.endpoint import Endpoint

RECONNECT_DELAY_S = 0.05
"""Time after which a new connection to an endpoint that broke others shows whether it is up: a
process that ends may close its listener last."""

RECONNECT_ATTEMPTS = 2
"""Connections that are opened to find out; the second one if the first one breaks at once."""

SAME_CRASH_S = 1.0
"""Time within which an endpoint crashes once; endpoints of these fleets are down for longer."""

LATE_CRASH_DELAY_S = 0.15
"""Time before a crash counts against a stream past its beginning: by then what caused it elsewhere
is known here, if it is refused."""

SILENCE_CONFIRMATION_S = 10.0
"""Time within which the listing shows that a silent endpoint ended or restarted; it takes three
heartbeats, and longer while the store is slow."""

MAX_SILENT_RUNS = 256
"""Runs at silent endpoints that wait for the listing; more of them are the failure of a data
centre or of this host's links."""

MAX_OWN_CRASHES = 256
"""Crashes that this gateway saw itself of which it knows so, the newest ones."""

REFUSED_MESSAGE = "endpoints crashed on requests with the same content or prompt part"

_LOGGER = logging.getLogger(__name__)


class Containment:
    """Finds out which contents and prompt parts crash endpoints, and refuses them.

    :param host: name of this gateway
    :param metrics: metrics of this gateway
    """

    def __init__(self, host: str, metrics: GatewayMetrics) -> None:
        self.ledger = CrashLedger(CrashSettings())
        self.exchange = CrashExchange(host, self.ledger, self._apply_reports)
        self._metrics = metrics
        self._runs: set[Run] = set()
        self._silent: deque[tuple[Run, float]] = deque(maxlen=MAX_SILENT_RUNS)
        self._checks: dict[str, asyncio.Task[bool]] = {}
        self._known: tuple[RefusedKeys, ...] = ()
        self._own: deque[str] = deque(maxlen=MAX_OWN_CRASHES)
        self._subscribers: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call a function when other keys are refused than before.

        :param callback: the function
        """
        self._subscribers.append(callback)

    def has_recorded(self, crash: str) -> bool:
        """:return: whether this gateway saw a crash itself."""
        return crash in self._own

    def restore(self, records: Sequence[CrashRecord]) -> None:
        """Record crashes that gateways saw before.

        :param records: the crashes
        """
        self._apply_reports(self.ledger.merge(records))

    def find_refusal(self, call: Call) -> RefusedKeys | None:
        """:return: why a call is refused; ``None`` if it may run."""
        if not self.ledger.refused:
            return None
        return self.ledger.find_refusal(call.crash_keys)

    def refuses_content(self, call: Call) -> bool:
        """:return: whether the content of a call is refused, not only one of its parts."""
        refused = self.find_refusal(call)
        return refused is not None and call.content_key in refused.keys

    def check(self, call: Call) -> None:
        """Refuse a call whose content or parts crash endpoints.

        :param call: the call, which was not sent
        :raises RefusedError: it is refused
        """
        refused = self.find_refusal(call)
        if refused is not None:
            left_s = max(1.0, refused.refused_until - time.monotonic())
            raise refuse(ErrorKind.CRASHES_ENDPOINTS, REFUSED_MESSAGE, math.ceil(left_s))

    @contextlib.contextmanager
    def watch(self, run: Run) -> Iterator[None]:
        """Cancel a run without an event when its call is refused.

        :param run: the run
        """
        self._runs.add(run)
        try:
            yield
        finally:
            self._runs.discard(run)

    @contextlib.asynccontextmanager
    async def watch_queued(self, call: Call) -> AsyncIterator[None]:
        """End the wait for an endpoint when a call is refused.

        :param call: the call
        :raises TimeoutError: it is refused
        """
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(None) as stop:
            with self.watch(Run(call, cancel=lambda: stop.reschedule(loop.time()))):
                yield

    def record_event(self, run: Run) -> None:
        """Record an event of a stream; past its beginning, its parts are sound.

        :param run: the run
        """
        if run.passed:
            return
        now = time.monotonic()
        if run.first_event_at is None:
            run.first_event_at = now
            self._runs.discard(run)
        elif not run.is_at_beginning(now):
            run.passed = True
            self._record_passed(run.call.prompt_parts)

    def record_whole(self, run: Run) -> None:
        """Record a complete response; its content and parts are sound.

        :param run: the run
        """
        run.passed = True
        # contents are different from each other as a rule, so they are not kept without need
        is_named = len(self.ledger) and self.ledger.is_named(run.call.content_key)
        self._record_passed(run.call.crash_keys if is_named else run.call.prompt_parts)

    def _record_passed(self, keys: Collection[str]) -> None:
        cleared = [key for key in keys if self.ledger.record_passed(key)]
        if cleared:
            self.exchange.announce_passed(self.ledger.list_passed(cleared))
            self._apply_refusals()

    async def record_break(self, run: Run) -> None:
        """Record a connection that its endpoint broke, if the endpoint crashed.

        :param run: the run
        """
        broken_at = time.monotonic()
        if not run.is_at_beginning(broken_at) or not await self._has_crashed(run):
            return
        crash, number = run.crash, 1
        while self.ledger.has_crash(crash, time.monotonic() - broken_at + SAME_CRASH_S):
            # its entry does not distinguish its starts
            number += 1
            crash = f"{run.crash}#{number}"
        self._record_own(self._build_record(run, crash, broken_at), run.call)

    async def record_late_break(self, found: LateBreak, breaks: LateBreaks) -> None:
        """Record a connection that its endpoint broke after the beginning of a stream.

        Endpoints crash for other reasons too, more often in a long stream, so crashes count against
        its content only if there are enough of them at similar positions.

        :param found: the break
        :param breaks: breaks of the same stream
        """
        similar = breaks.add(found)
        if len(similar) < CRASHES_TO_REFUSE - 1:
            return
        if not await self._has_crashed(found.run):
            breaks.discard(found)
            return
        if len(similar) < CRASHES_TO_REFUSE:
            return
        await asyncio.sleep(LATE_CRASH_DELAY_S)
        for known in similar:
            run = known.run
            ran_s, age_s = known.broken_at - run.started_at, time.monotonic() - known.broken_at
            record = CrashRecord(
                run.crash, run.call.content_key, frozenset(), ran_s=ran_s, age_s=age_s
            )
            self._record_own(record, run.call)

    def record_silence(self, run: Run) -> None:
        """Record a run at an endpoint that sends nothing more.

        Lost links look the same, so it counts as a crash once the listing shows that the endpoint
        has ended.

        :param run: the run
        """
        now = time.monotonic()
        if run.endpoint is not None and run.is_at_beginning(now):
            self._silent.append((run, now))

    def check_silent(self, now: float) -> None:
        """Record the crashes of silent endpoints that the listing shows; to be called periodically.

        :param now: monotonic seconds
        """
        for _ in range(len(self._silent)):
            run, silent_at = self._silent.popleft()
            if run.has_left or now - silent_at > SILENCE_CONFIRMATION_S:
                continue
            if not run.has_ended:
                self._silent.append((run, silent_at))
                continue
            self._record_own(self._build_record(run, run.crash, silent_at), run.call)

    def _build_record(self, run: Run, crash: str, crashed_at: float) -> CrashRecord:
        call = run.call
        parts = frozenset(p for p in call.prompt_parts if self.ledger.find_passed(p) is None)
        ran_s, age_s = crashed_at - run.started_at, time.monotonic() - crashed_at
        return CrashRecord(crash, call.content_key, parts, run.began, ran_s, age_s)

    def _record_own(self, record: CrashRecord, call: Call) -> None:
        if self.ledger.merge([record]):
            _log_crash(record, call.id)
            self._own.append(record.crash)
            self._metrics.crashes.labels("own").inc()
            self.exchange.announce_crash(record)
            self._apply_refusals()

    async def _has_crashed(self, run: Run) -> bool:
        endpoint = run.endpoint
        if endpoint is None or endpoint.entry.state is EndpointState.DRAINING or run.has_left:
            return False
        return await self._is_down(endpoint)

    async def _is_down(self, endpoint: Endpoint) -> bool:
        check = self._checks.get(endpoint.id)
        if check is None:
            check = asyncio.ensure_future(_is_refusing_connections(endpoint))
            self._checks[endpoint.id] = check
            check.add_done_callback(lambda _: self._checks.pop(endpoint.id, None))
        return await asyncio.shield(check)

    def _apply_reports(self, records: Sequence[CrashRecord]) -> None:
        for record in records:
            _log_crash(record)
            self._metrics.crashes.labels("heard").inc()
        self._apply_refusals()

    def _apply_refusals(self) -> None:
        known, self._known = self._known, self.ledger.refused
        before, after = {r.keys for r in known}, {r.keys for r in self._known}
        for keys in before - after:
            _LOGGER.info("part cleared", extra={"keys": sorted(keys)})
        for refused in self._known:
            if refused.keys not in before:
                _LOGGER.warning(
                    "part refused",
                    extra={
                        "keys": sorted(refused.keys),
                        "crashes": refused.crashes,
                        "explained": refused.explained,
                    },
                )
                self._metrics.refused_parts.inc()
        if after != before:
            for callback in self._subscribers:
                callback()
        if after - before:
            for run in [run for run in self._runs if self.find_refusal(run.call) is not None]:
                run.cancel()


async def _is_refusing_connections(endpoint: Endpoint) -> bool:
    for _ in range(RECONNECT_ATTEMPTS):
        try:
            channel = await endpoint.pool.open(0)
        except ConnectError as error:
            # an endpoint that can't be reached may be up behind a lost link
            if not isinstance(error.__cause__, ConnectionRefusedError):
                return False
            endpoint.record_unreachable(time.monotonic())
            return True
        await asyncio.sleep(RECONNECT_DELAY_S)
        if channel.usable:
            channel.idle_since = time.monotonic()
            endpoint.pool.keep(channel)
            return False
        channel.close()
    endpoint.record_unreachable(time.monotonic())
    return True


def _log_crash(record: CrashRecord, request_id: str | None = None) -> None:
    _LOGGER.warning(
        "endpoint crashed",
        extra={
            "request": request_id,
            "crash": record.crash,
            "keys": sorted(record.keys),
            "began": record.began,
            "age_ms": round(1000 * record.age_s),
        },
    )


__all__ = ["REFUSED_MESSAGE", "Containment"]
