"""For how long versions matter after they were last listed."""

from __future__ import annotations

import pytest

from basilroad.gateway.gateway import Gateway
from basilroad.gateway.versions.windows import FORGET_S, VERSION_MEMORY_S, StreamWindows
from builders import build_stream_route, build_table


def test_short_limits_leave_the_times_as_they_are() -> None:
    windows = StreamWindows()
    windows.extend({"llm": 25.0})
    assert windows.find_memory("llm") == VERSION_MEMORY_S
    assert windows.find_forget("llm") == FORGET_S


def test_a_limit_that_is_shortened_counts_on_for_streams_that_began_before() -> None:
    windows = StreamWindows()
    for limit_s in (300.0, 25.0):
        windows.extend({"llm": limit_s})
    assert windows.find_memory("llm") == 330.0
    assert windows.find_forget("llm") == 360.0
    assert windows.find_memory("other") == VERSION_MEMORY_S


async def test_a_configuration_extends_the_times(
    gateway: Gateway, monkeypatch: pytest.MonkeyPatch
) -> None:
    applied: list[dict[str, float]] = []
    monkeypatch.setattr(gateway.stream_versions, "apply_limits", applied.append)
    gateway.apply_table(build_table(2, build_stream_route(timeout_s=300.0)))
    assert applied == [{"llm": 300.0}]
