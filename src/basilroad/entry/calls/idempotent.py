"""Retries and hedging of idempotent calls."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from basilroad.entry.calls.servicecall import ServiceAnswer, ServiceCall, read_answer
from basilroad.entry.links.link import LinkLostError
from basilroad.errors import Effect, ErrorKind, RefusedError, refuse

if TYPE_CHECKING:
    from basilroad.coordination.budget import RetryBudget
    from basilroad.entry.context import CallSender
    from basilroad.entry.links.link import EndpointView

AttemptTasks = set[asyncio.Task[ServiceAnswer]]


class IdempotentRun:
    """Runs one idempotent call, retries it, and hedges it if it is slow.

    :param caller: sends the call
    :param call: call to run
    :param budget: limits the retries and hedges of the service
    """

    def __init__(self, caller: CallSender, call: ServiceCall, budget: RetryBudget) -> None:
        self._caller = caller
        self._call = call
        self._budget = budget
        self._avoided: set[str] = set()
        self._attempts: AttemptTasks = set()
        self._hedged = call.contract.hedge_after_s <= 0
        self._may_have_run = False

    async def run(self) -> ServiceAnswer:
        """Run the call.

        :return: the first answer of any attempt
        :raises RefusedError: no endpoint was available in time, or the last attempt failed and
            the budget allows no retry
        """
        self._budget.record_request()
        try:
            while True:
                if not self._attempts:
                    await self._start()
                answer = await self._wait()
                if answer is not None:
                    return answer
        finally:
            for task in self._attempts:
                task.cancel()

    async def _start(self) -> None:
        try:
            view = await self._caller.choose(self._call, self._avoided)
        except RefusedError as error:
            raise self._build_error(error) from error
        self._send(view)

    def _send(self, view: EndpointView) -> None:
        self._avoided.add(view.name)
        self._attempts.add(asyncio.ensure_future(self._attempt(view)))

    async def _attempt(self, view: EndpointView) -> ServiceAnswer:
        return read_answer(await self._caller.send(view, self._call))

    async def _wait(self) -> ServiceAnswer | None:
        limit_s = None if self._hedged else self._call.contract.hedge_after_s
        done, self._attempts = await asyncio.wait(
            self._attempts, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED
        )
        if not done:
            self._hedge()
            return None
        failures = [error for task in done if (error := task.exception()) is not None]
        if len(failures) < len(done):
            return next(task.result() for task in done if task.exception() is None)
        for error in failures:
            self._record_failure(error)
        return None

    def _hedge(self) -> None:
        self._hedged = True
        view = self._caller.choose_other(self._call, self._avoided)
        if view is not None and self._budget.take():
            self._send(view)

    def _record_failure(self, error: BaseException) -> None:
        if not isinstance(error, LinkLostError | RefusedError):
            raise error
        refusal = error if isinstance(error, RefusedError) else None
        effect = refusal.refusal.answer.effect if refusal else Effect.MAY_HAVE_RUN
        self._may_have_run = self._may_have_run or effect is not Effect.NOT_RUN
        if not self._attempts and not self._budget.take():
            raise self._build_error(refusal) from error

    def _build_error(self, error: RefusedError | None) -> RefusedError:
        if error is None:
            return refuse(
                ErrorKind.ENDPOINT_FAILED, "the connection to the endpoint's host was lost"
            )
        if self._may_have_run and error.refusal.answer.effect is Effect.NOT_RUN:
            # the last attempt did not run, but an earlier one may have
            return refuse(ErrorKind.ENDPOINT_FAILED, error.refusal.message)
        return error


__all__ = ["IdempotentRun"]
