"""Limits that endpoints name for all gateways together: how long they hold; no network."""

from __future__ import annotations

import math
import random
import time

import pytest

from basilroad.errors import ErrorKind, RefusedError
from basilroad.gateway.calls.call import PromptSize
from basilroad.gateway.calls.handler import CallHandler
from basilroad.gateway.dispatch.availability import find_service_pause
from basilroad.gateway.dispatch.selection import Chooser
from basilroad.gateway.registry.directory import Directory
from basilroad.gateway.registry.endpoint import Endpoint, Reservation
from basilroad.gateway.registry.limits import PERMIT_VALIDITY_S, RETURN_SPREAD_S, NamedLimit
from basilroad.gateway.registry.notices import (
    LIMIT_REPORT_S,
    MAX_LIMITS_SENT,
    NoticeRegister,
    Purpose,
    Source,
)
from builders import (
    ENGINE,
    PLACE,
    RecordingResponder,
    build_call,
    build_entry,
    build_route,
    build_stream_route,
)

NOW = 100.0


class Fleet:
    """A directory whose clock is set by the test."""

    def __init__(self, seed: int = 1) -> None:
        self.now = NOW
        register = NoticeRegister(random.Random(seed), clock=lambda: self.now)
        self.directory = Directory(lambda: self.now, register)

    def add(self, name: str = "e1", **changes: object) -> Endpoint:
        self.directory.put(build_entry(name, **changes))  # type: ignore[arg-type]
        endpoint = self.directory.get(name)
        assert endpoint is not None
        return endpoint

    def report(self, endpoint: Endpoint, per_s: float, asked_at: float) -> None:
        endpoint.notices.record_limit(NamedLimit(per_s, asked_at), Source.ANSWER, self.now)


def test_a_limited_endpoint_needs_a_permit_for_each_request() -> None:
    fleet = Fleet()
    endpoint = fleet.add()
    limit = endpoint.notices.limit
    assert limit.take_permit(NOW)
    fleet.report(endpoint, 2.0, NOW)
    assert not limit.take_permit(NOW)
    limit.add_permit(NOW)
    assert limit.take_permit(NOW)
    assert not limit.take_permit(NOW)


def test_a_permit_that_is_not_used_lapses() -> None:
    # fault: permits that are kept are used with those of later seconds
    fleet = Fleet()
    endpoint = fleet.add()
    fleet.report(endpoint, 2.0, NOW)
    for _ in range(3):
        endpoint.notices.limit.add_permit(NOW)
    assert not endpoint.notices.limit.has_permit(NOW + PERMIT_VALIDITY_S)


@pytest.mark.parametrize(("first", "older"), [(5.0, 1.0), (1.0, 5.0), (math.inf, 1.0)])
def test_the_answer_to_an_older_request_brings_back_no_older_limit(first, older) -> None:
    fleet = Fleet()
    endpoint = fleet.add()
    fleet.report(endpoint, 2.0, NOW - 3.0)
    fleet.report(endpoint, first, NOW - 1.0)
    fleet.report(endpoint, older, NOW - 2.0)
    assert endpoint.notices.limit.named.per_s == first


def test_a_limit_ends_with_an_answer_that_names_none() -> None:
    fleet = Fleet()
    endpoint = fleet.add()
    fleet.report(endpoint, 2.0, NOW)
    assert endpoint.notices.limit.is_in_force(NOW + 3600.0)
    fleet.report(endpoint, math.inf, NOW + 1.0)
    assert not endpoint.notices.limit.is_in_force(NOW + RETURN_SPREAD_S)


def test_gateways_return_at_different_times() -> None:
    # fault: a limit ends, and all gateways send what they have in the same instant
    ends = []
    for seed in range(40):
        fleet = Fleet(seed)
        endpoint = fleet.add()
        fleet.report(endpoint, 2.0, NOW)
        fleet.report(endpoint, math.inf, NOW)
        ends.append(endpoint.notices.limit.ends_at - NOW)
    assert min(ends) < 0.2 * RETURN_SPREAD_S
    assert max(ends) > 0.8 * RETURN_SPREAD_S


def test_a_limit_ends_with_the_lifetime_of_its_endpoint() -> None:
    fleet = Fleet()
    endpoint = fleet.add()
    fleet.report(endpoint, 2.0, NOW)
    assert not fleet.add(started_ms=2).notices.limit.is_in_force(NOW)
    # an older entry again, as from a store that is behind
    assert fleet.add(started_ms=1).notices.limit.is_in_force(NOW)


def test_a_limit_survives_an_entry_that_lapses_and_returns() -> None:
    fleet = Fleet()
    fleet.report(fleet.add(), 2.0, NOW)
    fleet.directory.remove("e1")
    assert fleet.add().notices.limit.is_in_force(NOW)


def test_reports_and_probes_need_permits_too() -> None:
    # fault: reports before each placement use up the limit of an engine
    fleet = Fleet()
    endpoint = fleet.add(service="llm")
    fleet.report(endpoint, 2.0, NOW)
    notices = endpoint.notices
    assert not notices.permits(Purpose.PROBE, NOW)
    notices.limit.add_permit(NOW)
    assert not notices.permits(Purpose.REPORT, NOW)
    assert notices.permits(Purpose.PROBE, NOW)
    notices.record_probe()
    assert not notices.permits(Purpose.PROBE, NOW)


def test_endpoints_with_room_come_before_those_that_need_a_permit() -> None:
    fleet = Fleet()
    limited, free = fleet.add("e1"), fleet.add("e2")
    fleet.report(limited, 2.0, NOW)
    chosen = Chooser(PLACE).choose(fleet.directory, build_call(), None, NOW)
    assert chosen is free
    limited.notices.limit.record_refused(1.0, NOW)
    free.full_until = NOW + 2.0
    assert Chooser(PLACE).choose(fleet.directory, build_call(), None, NOW) is None
    assert Chooser(PLACE).choose(fleet.directory, build_call(), None, NOW + 1.0) is limited


def test_an_endpoint_with_a_limit_keeps_no_backups() -> None:
    fleet = Fleet()
    engines = [
        fleet.add(f"e{number}", service="llm", data_centre=at)
        for number, at in enumerate(("riga-a", "riga-b", "kurzeme-a"))
    ]
    fleet.report(engines[1], 2.0, NOW)
    chooser = Chooser(PLACE)
    size = PromptSize(8000, 1000)
    assert chooser.choose_backup_endpoint(engines, engines[0], size, ENGINE, NOW) is engines[2]
    fleet.report(engines[2], 2.0, NOW)
    assert chooser.choose_backup_endpoint(engines, engines[0], size, ENGINE, NOW) is None


# fault: a stream is moved from its slow engine, and no other one has a permit for it
async def test_an_endpoint_without_a_permit_in_hand_is_no_room_to_move_to(gateway) -> None:
    gateway.directory.put(build_entry("i-1", service="llm", slots=48))
    [endpoint] = gateway.directory
    call = build_call(build_stream_route())
    now = time.monotonic()
    endpoint.notices.record_limit(NamedLimit(2.0, now), Source.ANSWER, now)
    assert not gateway.dispatcher.has_room(call, ())
    endpoint.notices.limit.add_permit(now)
    assert gateway.dispatcher.has_room(call, ())


def test_a_service_without_permits_is_paused_until_the_first_one() -> None:
    fleet = Fleet()
    endpoints = [fleet.add(f"e{number}") for number in range(3)]
    for number, endpoint in enumerate(endpoints):
        fleet.report(endpoint, 2.0, NOW)
        assert find_service_pause(endpoints, NOW) is None
        endpoint.notices.limit.record_refused(1.0 + number, NOW)
    pause = find_service_pause(endpoints, NOW)
    assert pause is not None
    assert (pause.until, pause.limited, pause.paused) == (NOW + 1.0, 3, 0)
    assert not pause.outlasts(NOW + 1.5)
    assert pause.after(1).outlasts(NOW + 1.5)
    assert not pause.after(1).outlasts(NOW + 1.6)


def test_limits_are_reported_to_other_gateways_with_their_age() -> None:
    fleet = Fleet()
    for number in range(2 * MAX_LIMITS_SENT):
        fleet.report(fleet.add(f"e{number}"), 2.0, NOW)
    fleet.report(fleet.add("unknown", started_ms=0), 2.0, NOW)
    listed = [n.lifetime.id for n in fleet.directory.notices.list_limited(NOW + 1.0)]
    assert listed == [f"e{n}" for n in range(MAX_LIMITS_SENT, 2 * MAX_LIMITS_SENT)]
    assert not fleet.directory.notices.list_limited(NOW + LIMIT_REPORT_S + 1.0)


# fault: calls wait to their limit for a turn that can't come in time
@pytest.mark.by_turns
async def test_calls_beyond_all_limits_are_refused_at_once(gateway, start_server) -> None:
    servers = [await start_server(f"i-{n}", limit="0.5") for n in range(2)]
    route = build_route(latency_target_s=4.0, timeout_s=6.0)
    refusals, began = [], time.monotonic()
    for number in range(30):
        call = build_call(route, id=f"c{number}", body=b"%d" % number)
        try:
            await CallHandler(gateway).handle(call, RecordingResponder())
        except RefusedError as error:
            refusals.append(error.refusal)
    assert time.monotonic() - began < 4.0
    assert len(refusals) >= 25
    assert {refusal.kind for refusal in refusals} == {ErrorKind.NO_ENDPOINT}
    assert all(0 < refusal.retry_after <= 5.0 for refusal in refusals)
    assert "2 limited" in refusals[-1].message
    assert sum(len(server.seen) for server in servers) <= 5


async def test_limits_are_counted_and_rendered(gateway, start_server) -> None:
    await start_server("i-1", limit="3")
    await CallHandler(gateway).handle(build_call(), RecordingResponder())
    text = gateway.render_metrics().decode()
    assert 'basilroad_endpoint_notices_total{kind="limit",source="answer"} 1.0' in text


# fault: an endpoint that announces its exit while a permit is asked for gets the call all the same
async def test_an_endpoint_that_leaves_while_a_permit_is_asked_for_is_not_used(gateway) -> None:
    gateway.directory.put(build_entry("i-1"))
    [endpoint] = gateway.directory
    now = time.monotonic()
    endpoint.notices.record_limit(NamedLimit(2.0, now), Source.ANSWER, now)

    class Granting:
        async def acquire(self, endpoint: Endpoint) -> bool:
            endpoint.notices.limit.add_permit(time.monotonic())
            endpoint.notices.record_leaving(Source.ANSWER, time.monotonic())
            return True

    gateway.dispatcher._permits = Granting()
    assert await gateway.dispatcher.place(build_call(), now) is None
    assert endpoint.notices.limit.has_permit(time.monotonic())


# fault: a permit was lost if its call ended before anything was sent
def test_a_permit_that_is_given_back_is_used_by_another_call() -> None:
    fleet = Fleet()
    endpoint = fleet.add()
    fleet.report(endpoint, 2.0, NOW)
    limit, user = endpoint.notices.limit, Reservation(endpoint, PromptSize(1, 1))
    limit.add_permit(NOW)
    assert limit.take_permit(NOW, user)
    limit.give_back(user)
    limit.give_back(user)
    assert limit.take_permit(NOW)
    assert not limit.has_permit(NOW)


def test_a_permit_that_is_given_back_lapses_as_before() -> None:
    fleet = Fleet()
    endpoint = fleet.add()
    fleet.report(endpoint, 2.0, NOW)
    limit, user = endpoint.notices.limit, Reservation(endpoint, PromptSize(1, 1))
    limit.add_permit(NOW)
    assert limit.take_permit(NOW, user)
    limit.give_back(user)
    assert not limit.has_permit(NOW + PERMIT_VALIDITY_S)


def test_a_call_that_needed_no_permit_gives_none_back() -> None:
    fleet = Fleet()
    endpoint = fleet.add()
    limit, user = endpoint.notices.limit, Reservation(endpoint, PromptSize(1, 1))
    assert limit.take_permit(NOW, user)
    fleet.report(endpoint, 2.0, NOW)
    limit.give_back(user)
    assert not limit.has_permit(NOW)
