"""What was planned for the prompt of one attempt, and what happened."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from basilroad.gateway.calls.call import Call
    from basilroad.gateway.dispatch.promptplan import PromptPlan
    from basilroad.gateway.metrics import GatewayMetrics
    from basilroad.gateway.registry.endpoint import Endpoint
    from basilroad.gateway.route import EngineLimits

_LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class PromptReading:
    """Compares the plan for the prompt of one attempt with its first event.

    :param call: the call
    :param endpoint: its engine
    :param plan: how the engine is to get the prompt
    :param engine: limits of the engine; ``None`` if unknown
    :param metrics: metrics of this gateway
    :param calls_there: calls at the engine when the attempt began
    :param memory_share: share of its memory in use then
    :param has_begun: whether there was a first event
    """

    call: Call
    endpoint: Endpoint
    plan: PromptPlan
    engine: EngineLimits | None
    metrics: GatewayMetrics
    calls_there: int = attrs.field(init=False)
    memory_share: float = attrs.field(init=False)
    _sent_at: float = attrs.field(init=False, factory=time.monotonic)
    _is_over: bool = attrs.field(init=False, default=False)
    has_begun: bool = attrs.field(init=False, default=False)

    def __attrs_post_init__(self) -> None:
        load = self.endpoint.estimate_load(self._sent_at)
        self.calls_there = load.calls
        memory_tokens = self.engine.memory_tokens if self.engine else 0
        self.memory_share = load.memory_tokens / memory_tokens if memory_tokens else 0.0

    def record_event(self) -> None:
        """Record an event; only the first one counts."""
        if self._is_over:
            return
        self.has_begun = True
        took_s = self._finish()
        self.metrics.prompt_s.labels(self.plan.access.value).observe(took_s)

    def end(self, *, was_sent: bool) -> None:
        """Record the end of the attempt.

        :param was_sent: whether its engine may have got the call
        """
        if was_sent and not self._is_over:
            self._finish()

    def _finish(self) -> float:
        self._is_over = True
        took_s = time.monotonic() - self._sent_at
        self._log(took_s)
        return took_s

    def _log(self, took_s: float) -> None:
        _LOGGER.info(
            "prompt read",
            extra={
                "request": self.call.id,
                "endpoint": self.endpoint.id,
                "access": self.plan.access.value,
                "source": self.plan.source.id if self.plan.source else None,
                "has_begun": self.has_begun,
                "tokens": self.call.size.prompt_tokens,
                "planned_ms": round(1000 * self.plan.duration_s),
                "took_ms": round(1000 * took_s),
                "calls_there": self.calls_there,
                "memory_share": round(self.memory_share, 2),
            },
        )


__all__ = ["PromptReading"]
