"""Prompts that callers of several workspaces name; no network."""

from __future__ import annotations

import random

from basilroad.gateway.dispatch.dispatcher import Dispatcher
from basilroad.gateway.dispatch.selection import Chooser
from basilroad.gateway.registry.directory import Directory
from builders import ENGINE, PLACE, build_call, build_entry, build_stream_route

ROUTE = build_stream_route()


# fault: a workspace learnt by its faster answers which prompts another one had sent
def test_a_prompt_of_another_workspace_does_not_draw_a_call() -> None:
    directory = Directory()
    for name in ("e1", "e2"):
        directory.put(build_entry(name, service="llm", slots=48))
    dispatcher = Dispatcher(directory, Chooser(PLACE, random.Random(1)), lambda _: ENGINE)
    call = build_call(ROUTE, workspace="w", prompt_key="p")
    endpoint = directory.get("e2")
    assert endpoint is not None
    dispatcher.prompt_locations.begin(call.cache_key, endpoint, 25.0)
    candidates = dispatcher._candidates
    assert candidates.find_holder(call).endpoint is endpoint
    other = build_call(ROUTE, workspace="x", prompt_key="p")
    assert candidates.find_holder(other).endpoint is None
