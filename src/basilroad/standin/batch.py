"""Continuous batch of generations of an engine stand-in."""

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

MAX_CATCH_UP_S = 0.1
"""Longest delay for which a generation catches up by decoding faster."""

NOISE_BITS = 64
"""Size of the random number mixed into a non-deterministic completion."""

SendToken = Callable[[EngineToken], Awaitable[None]]


@attrs.define(eq=False)
class Generation:
    """One generation at the engine.

    :param order: the generation request
    :param task: task that runs it
    :param abort_reason: why it was aborted; empty if it was not
    """

    order: GenerateRequest
    task: asyncio.Task[object] | None
    abort_reason: str = ""

    def abort(self, reason: str) -> None:
        """Abort the generation.

        :param reason: ``cancelled`` or ``unloaded``
        """
        if not self.abort_reason and self.task is not None:
            self.abort_reason = reason
            self.task.cancel()


@attrs.frozen
class EngineFaults:
    """Hooks through which a batch applies the faults of its engine.

    :param wait_thawed: waits while the engine is suspended
    :param survive_prefill: called at the end of a prefill; may crash the engine
    """

    wait_thawed: Callable[[], Awaitable[None]]
    survive_prefill: Callable[[GenerateRequest], Awaitable[None]]


class Batch:
    """Runs at most as many generations at once as there are slots.

    :param settings: settings of the engine; the token interval can be changed later
    :param faults: fault hooks of the engine
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
        self.token_interval_s = settings.token_interval_s

    def measure(self) -> EngineLoad:
        """:return: current load and token counters since the start."""
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
        :return: finish message of the completion
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
            due = max(due, monotonic() - MAX_CATCH_UP_S) + self.token_interval_s
            await asyncio.sleep(due - monotonic())
            await self._faults.wait_thawed()
            token = chain.next_token()
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
        chain.extend(order.prior)
        return chain


__all__ = ["Batch", "EngineFaults", "Generation"]
