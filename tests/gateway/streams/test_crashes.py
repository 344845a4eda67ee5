"""Reports of one stream's runs to the containment; no network."""

from __future__ import annotations

import time

import attrs
import pytest

from basilroad.gateway.crashes.runs import BEGINNING_S, Run
from basilroad.gateway.registry.endpoint import Endpoint
from basilroad.gateway.streams.crashes import StreamCrashes
from builders import build_call, build_entry, build_stream_route


@attrs.define
class Containment:
    """Containment that keeps what it is given."""

    breaks: list[Run] = attrs.field(factory=list)
    late_positions: list[tuple[int, int]] = attrs.field(factory=list)
    silences: list[Run] = attrs.field(factory=list)
    refused: bool = False
    refused_content: bool = False

    async def record_break(self, run: Run) -> None:
        """Keep a break at the beginning."""
        self.breaks.append(run)

    async def record_late_break(self, found, _breaks) -> None:
        """Keep the position of a later break."""
        self.late_positions.append((found.progress, found.offset))

    def record_silence(self, run: Run) -> None:
        """Keep a run at a silent endpoint."""
        self.silences.append(run)

    def find_refusal(self, _call) -> object | None:
        """:return: something if the call is refused."""
        return object() if self.refused else None

    def refuses_content(self, _call) -> bool:
        """:return: whether the content itself is refused."""
        return self.refused_content


CALL = build_call(build_stream_route())


@pytest.fixture
def containment() -> Containment:
    return Containment()


@pytest.fixture
def crashes(containment: Containment) -> StreamCrashes:
    return StreamCrashes(CALL, containment)  # type: ignore[arg-type]


async def test_breaks_at_the_beginning_and_later_ones_are_recorded_separately(
    containment: Containment, crashes: StreamCrashes
) -> None:
    run = Run(CALL, first_event_at=time.monotonic(), resumed_after=4)
    await crashes.record_failure(run, 6, is_cut_off=True)
    assert containment.breaks == [run]
    run.first_event_at = time.monotonic() - 2 * BEGINNING_S
    await crashes.record_failure(run, 9, is_cut_off=True)
    assert containment.breaks == [run]
    assert containment.late_positions == [(5, 9)]


async def test_after_the_beginning_of_one_run_no_other_run_is_at_the_beginning(
    containment: Containment, crashes: StreamCrashes
) -> None:
    await crashes.record_failure(Run(CALL, passed=True), 5, is_cut_off=False)
    assert crashes.has_passed
    await crashes.record_failure(Run(CALL, resumed_after=5), 5, is_cut_off=True)
    assert not containment.breaks
    assert containment.late_positions == [(0, 5)]


async def test_a_stream_past_its_beginning_is_only_refused_for_its_content(
    containment: Containment, crashes: StreamCrashes
) -> None:
    containment.refused = True
    assert crashes.is_refused
    await crashes.record_failure(Run(CALL, passed=True), 5, is_cut_off=False)
    assert not crashes.is_refused
    containment.refused_content = True
    assert crashes.is_refused


async def test_only_an_endpoint_lost_during_the_run_is_silent(
    containment: Containment, crashes: StreamCrashes
) -> None:
    endpoint = Endpoint(build_entry(service="llm", slots=48))
    run = Run(CALL, endpoint)
    await crashes.record_failure(run, 0, is_cut_off=False)
    assert not containment.silences
    endpoint.lost_at = time.monotonic()
    await crashes.record_failure(run, 0, is_cut_off=False)
    assert containment.silences == [run]
