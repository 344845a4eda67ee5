"""Generations that an engine stand-in runs in one batch."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from time import monotonic

import attrs

from basilroad.endpoints.messages import EngineFinish, EngineLoad, EngineToken, GenerateRequest
from basilroad.standin.cache import PrefixCache
from basilroad.standin.settings import EngineStandinSettings
from basilroad.standin.slots import PrioritySlots
from basilroad.standin.tokens import TokenChain
from basilroad.world.prefix import hash_prefixes

MAX_BEHIND_S = 0.1
"""Delay of a generation that it still makes up for."""

NOISE_BITS = 64
"""Size of the random number in an answer that is not repeatable."""

SendToken = Callable[[EngineToken], Awaitable[None]]


@attrs.define(eq=False)
class Generation:
    """One generation at the engine.

    :param order: what was asked for
    :param task: task that runs it
    :param ended_by: why it is cut short; empty while it is not
    """

    order: GenerateRequest
    task: asyncio.Task[object] | None
    ended_by: str = ""

    def end(self, reason: str) -> None:
        """Cut the generation short.

        :param reason: ``cancelled`` or ``unloaded``
        """
        if not self.ended_by and self.task is not None:
            self.ended_by = reason
            self.task.cancel()


@attrs.frozen
class EngineFaults:
    """What a batch asks about the faults of its engine.

    :param wait_thawed: waits while the engine is frozen
    :param survive_prefill: called at the end of a prefill; may end the engine
    """

    wait_thawed: Callable[[], Awaitable[None]]
    survive_prefill: Callable[[GenerateRequest], Awaitable[None]]


class Batch:
    """Runs generations, as many at once as there are slots.

    :param settings: settings of the engine
    :param faults: faults of the engine
    """

    def __init__(self, settings: EngineStandinSettings, faults: EngineFaults) -> None:
        self._settings = settings
        self._faults = faults
        self._random = Random(settings.seed)
        self._slots = PrioritySlots(settings.slots)
        self._decoded_tokens = 0
        self._prefilled_tokens = 0
        self._cached_tokens = 0
        self.cache = PrefixCache(settings)

    def measure(self) -> EngineLoad:
        """:return: what there is to do now, and what was done."""
        return EngineLoad(
            running=self._slots.running,
            waiting=self._slots.waiting,
            slots=self._slots.slots,
            decoded_tokens=self._decoded_tokens,
            prefilled_tokens=self._prefilled_tokens,
            cached_tokens=self._cached_tokens,
        )

    async def run(self, order: GenerateRequest, send: SendToken) -> EngineFinish:
        """Wait for a slot and generate.

        :param order: what to generate
        :param send: called with each token
        :return: the end of the answer
        """
        async with self._slots.hold(order.priority):
            cached_tokens = await self._prefill(order)
            reason, answer = await self._decode(order, send)
        self.cache.add(hash_prefixes(order.prompt + "".join(answer)))
        return EngineFinish(reason, len(order.prompt.split()), len(answer), cached_tokens)

    async def _prefill(self, order: GenerateRequest) -> int:
        text = order.prompt + "".join(order.prior)
        prefixes = hash_prefixes(text)
        cached_tokens = self.cache.count_cached(prefixes)
        computed_tokens = len(text.split()) - cached_tokens
        await asyncio.sleep(computed_tokens * self._settings.prefill_s_per_token)
        await self._faults.wait_thawed()
        await self._faults.survive_prefill(order)
        self._prefilled_tokens += computed_tokens
        self._cached_tokens += cached_tokens
        self.cache.add(prefixes)
        return cached_tokens

    async def _decode(self, order: GenerateRequest, send: SendToken) -> tuple[str, list[str]]:
        answer = list(order.prior)
        if answer and answer[-1] in order.stop:
            return "stop", answer
        chain = self._start_chain(order)
        due = monotonic()
        while len(answer) < order.max_tokens:
            due = max(due, monotonic() - MAX_BEHIND_S) + self._settings.token_interval_s
            await asyncio.sleep(due - monotonic())
            await self._faults.wait_thawed()
            token = chain.draw()
            self._decoded_tokens += 1
            await send(EngineToken(len(answer), token))
            answer.append(token)
            if token in order.stop:
                return "stop", answer
        return "length", answer

    def _start_chain(self, order: GenerateRequest) -> TokenChain:
        repeatable = order.temperature == 0 or order.seed is not None
        chain = TokenChain(
            order.model,
            order.adapter,
            order.version,
            order.prompt,
            order.seed,
            noise=0 if repeatable else self._random.getrandbits(NOISE_BITS),
        )
        chain.follow(order.prior)
        return chain


__all__ = ["Batch", "EngineFaults", "Generation"]
