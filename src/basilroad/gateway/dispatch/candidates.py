"""Endpoints that may run a call, by software version."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import TYPE_CHECKING

import attrs

from basilroad.gateway.dispatch.promptplan import find_holder, plan_prompt

if TYPE_CHECKING:
    from basilroad.gateway.calls.call import Call
    from basilroad.gateway.dispatch.promptlocations import PromptLocations
    from basilroad.gateway.dispatch.promptplan import PromptHolder, PromptPlan
    from basilroad.gateway.dispatch.selection import Chooser
    from basilroad.gateway.registry.directory import Directory
    from basilroad.gateway.registry.endpoint import Endpoint
    from basilroad.gateway.route import EngineLimits


@attrs.frozen
class EndpointCriteria:
    """Endpoints that a call may use.

    :param avoid: ids of excluded endpoints
    :param version: the only version that may run the call; ``None`` for any
    :param claimed: versions that are left to other calls unless ``version`` names them
    """

    avoid: Collection[str] = ()
    version: str | None = None
    claimed: Collection[str] = ()


@attrs.frozen
class Candidates:
    """Lists and chooses endpoints for calls.

    :param directory: known endpoints
    :param chooser: selects among them
    :param find_engine: returns the engine limits of a service by its name
    :param prompt_locations: endpoints that processed recent prompts
    :param may_begin: checks whether new streams of a service may be placed at a version
    :param clock: monotonic seconds
    """

    directory: Directory
    chooser: Chooser
    find_engine: Callable[[str], EngineLimits | None]
    prompt_locations: PromptLocations
    may_begin: Callable[[str, str], bool]
    clock: Callable[[], float]

    def list_all(self, call: Call, criteria: EndpointCriteria) -> list[Endpoint]:
        """:return: endpoints of a call's service and of the versions that it may use."""
        endpoints = self.directory.list_by_service(call.service)
        if criteria.version is not None:
            return [e for e in endpoints if e.entry.version == criteria.version]
        return [e for e in endpoints if e.entry.version not in criteria.claimed]

    def list_preferred(self, call: Call, criteria: EndpointCriteria) -> list[Endpoint]:
        """:return: the same, without versions that take no new streams."""
        return self._filter_preferred(call, criteria, self.list_all(call, criteria))

    def choose(
        self, call: Call, criteria: EndpointCriteria, *, at_once: bool = False
    ) -> Endpoint | None:
        """Choose an endpoint with capacity.

        :param call: the call
        :param criteria: the endpoints that it may use
        :param at_once: whether only those count for which there is a permit, if they need one
        :return: the endpoint; ``None`` if there is none
        """
        endpoints = self.list_all(call, criteria)
        if at_once:
            now = self.clock()
            endpoints = [e for e in endpoints if e.notices.limit.has_permit(now)]
        preferred = self._filter_preferred(call, criteria, endpoints)
        found = self._choose_among(preferred, call, criteria)
        if found is None and len(preferred) < len(endpoints):
            found = self._choose_among(endpoints, call, criteria)
        return found

    def find_holder(self, call: Call) -> PromptHolder:
        """:return: the engine that has the prompt of a call."""
        return find_holder(call, self.prompt_locations, self.directory)

    def plan_prompt(self, call: Call, endpoint: Endpoint) -> PromptPlan:
        """:return: how an engine gets the prompt of a call."""
        engine = self.find_engine(call.service)
        return plan_prompt(endpoint, call, engine, self.find_holder(call))

    def _filter_preferred(
        self, call: Call, criteria: EndpointCriteria, endpoints: list[Endpoint]
    ) -> list[Endpoint]:
        if criteria.version is not None or not (call.route.streams and call.route.repeatable):
            return endpoints
        return [e for e in endpoints if self.may_begin(call.service, e.entry.version)]

    def _choose_among(
        self, endpoints: Collection[Endpoint], call: Call, criteria: EndpointCriteria
    ) -> Endpoint | None:
        return self.chooser.choose(
            endpoints,
            call,
            self.find_engine(call.service),
            self.clock(),
            criteria.avoid,
            self.find_holder(call),
        )


__all__ = ["Candidates", "EndpointCriteria"]
