"""Retries that all gateways of a fleet share; no network."""

from __future__ import annotations

import pytest

from basilroad.coordination.budget import RetrySettings
from basilroad.gateway.gateway import Gateway, GatewaySettings
from basilroad.platform.protocol import PlatformProtocol
from builders import PLACE

SLACK = 150.0
WINDOW_S = 10.0


def build_gateway(hosts: int) -> Gateway:
    retries = RetrySettings(ratio=0.0, minimum_per_s=SLACK / WINDOW_S, window_s=WINDOW_S)
    gateway = Gateway(GatewaySettings("h", PLACE, retries=retries), PlatformProtocol())
    gateway.known_hosts = hosts
    return gateway


def use_up(gateway: Gateway) -> int:
    budget, taken = gateway.budget_of("s"), 0
    while budget.take():
        taken += 1
    return taken


@pytest.mark.parametrize("hosts", [1, 4, 28, 410])
def test_all_hosts_together_stay_within_the_slack(hosts: int) -> None:
    # pattern: servers fail while there are few calls, and every host retries as often as it may
    taken = [use_up(build_gateway(hosts)) for _ in range(min(hosts, 20))]
    assert sum(taken) / len(taken) * hosts <= SLACK


def test_few_hosts_leave_room_for_those_that_they_do_not_know_yet() -> None:
    assert use_up(build_gateway(1)) == SLACK / 10
