"""Retry delay of refused streams by the stops that other gateways announce; no network."""

from __future__ import annotations

import time
from pathlib import Path

import attrs
import pytest

from basilroad.errors import RefusedError
from basilroad.gateway.exchange.state import StateMessage
from basilroad.gateway.shutdown import OTHER_HOST_RETRY_S
from basilroad.peers.address import Address
from basilroad.platform.run import PlatformService
from builders import build_stream_route
from support.gatewayrig import GatewayRig

STOPPING_FOR_S = 1.5
"""Time since SIGTERM at which a stream of usual length is refused."""


def build_stopping_service(*peers_stopping: bool) -> PlatformService:
    rig = GatewayRig()
    rig.store.port = 1
    settings = attrs.evolve(rig._build_settings(), peers=Address("127.0.0.1", 9000))
    service = PlatformService(settings, Path("absent"))
    assert service.gossip is not None
    for number, stopping in enumerate(peers_stopping, 1):
        address = Address("127.0.0.1", 9000 + number)
        message = StateMessage(f"g{number}", 1, 1, str(address), {}, {}, [], stopping=stopping)
        service.gossip.take(message, address, [])
    service.gateway.shutdown.signal.received_at = time.monotonic() - STOPPING_FOR_S
    return service


def find_retry_delay(service: PlatformService) -> float:
    with pytest.raises(RefusedError) as caught:
        service.gateway.check_draining(build_stream_route())
    assert caught.value.refusal.retry_after is not None
    return caught.value.refusal.retry_after


# fault: streams that were refused while all hosts stopped were retried at once, and lost
def test_a_refused_stream_waits_for_the_restart_while_most_hosts_stop() -> None:
    service = build_stopping_service(True, True, False)
    schedule = service.gateway.shutdown_schedule
    assert schedule is not None
    assert time.monotonic() + find_retry_delay(service) > schedule.ends_at


def test_a_refused_stream_is_retried_at_once_while_other_hosts_are_running() -> None:
    assert find_retry_delay(build_stopping_service(True, False, False)) == OTHER_HOST_RETRY_S
