"""The engine from which the engine of an attempt fetches the prompt of its stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from basilroad.gateway.calls.log import log_prompt_plan
from basilroad.gateway.dispatch.promptplan import PromptAccess

if TYPE_CHECKING:
    from basilroad.gateway.calls.call import Call
    from basilroad.gateway.dispatch.promptplan import PromptPlan
    from basilroad.gateway.gateway import Gateway
    from basilroad.gateway.registry.endpoint import Endpoint


@attrs.frozen
class PromptSource:
    """Decides how the engines of one stream get its prompt.

    :param gateway: the gateway
    :param call: the call of the stream
    """

    gateway: Gateway
    call: Call

    async def plan(self, endpoint: Endpoint, *, is_first: bool) -> PromptPlan:
        """Plan how an engine gets the prompt, and log it.

        :param endpoint: engine of the next attempt
        :param is_first: whether no run of the prompt is known, unless it has a location
        :return: the plan; an engine from which the prompt is fetched has answered
        """
        plan = self.gateway.dispatcher.plan_prompt(self.call, endpoint)
        if plan.source is not None:
            plan = await self._confirm(endpoint, plan, plan.source)
        if plan.access is not PromptAccess.COMPUTED or not is_first:
            log_prompt_plan(self.call, endpoint, plan)
            self.gateway.metrics.prompts.labels(plan.access.value).inc()
        return plan

    async def _confirm(self, endpoint: Endpoint, plan: PromptPlan, source: Endpoint) -> PromptPlan:
        if not await self.gateway.source_check.confirm(source):
            return plan.without_source("its engine does not answer")
        # the engine may have been removed or listed anew meanwhile
        plan = self.gateway.dispatcher.plan_prompt(self.call, endpoint)
        is_confirmed = plan.source in (None, source)
        return plan if is_confirmed else plan.without_source("its engine has changed")


__all__ = ["PromptSource"]
