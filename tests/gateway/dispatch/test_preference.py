"""Engine preferences of gateways that use the same engines; no network."""

from __future__ import annotations

import pytest

from basilroad.gateway.dispatch.preference import EnginePreference
from basilroad.gateway.gateway import Gateway, GatewaySettings
from basilroad.gateway.registry.endpoint import Endpoint
from basilroad.platform.protocol import PlatformProtocol
from builders import PLACE, build_entry

HOSTS = ["g1", "g2", "g3", "g4"]


def build_ring(count: int, data_centre: str = "riga-a") -> list[Endpoint]:
    return [
        Endpoint(build_entry(f"{data_centre}-{n:02}", service="llm", data_centre=data_centre))
        for n in range(count)
    ]


def find_nearest(preference: EnginePreference, engines: list[Endpoint], count: int) -> list[str]:
    shares = preference.measure(engines, PLACE.regions)
    return sorted(shares, key=lambda engine: shares[engine])[:count]


@pytest.mark.parametrize("engines", [4, 8, 16])
def test_all_engines_are_divided_without_overlap(engines: int) -> None:
    ring = build_ring(engines)
    taken = [
        engine
        for host in HOSTS
        for engine in find_nearest(EnginePreference.find(host, HOSTS), ring, engines // len(HOSTS))
    ]
    assert sorted(taken) == [endpoint.id for endpoint in ring]


def test_the_order_in_which_engines_are_listed_does_not_matter() -> None:
    ring = build_ring(9)
    preference = EnginePreference.find("g3", HOSTS)
    assert preference.measure(ring, PLACE.regions) == preference.measure(ring[::-1], PLACE.regions)


def test_each_region_is_a_ring_of_its_own() -> None:
    near, far = build_ring(4), build_ring(4, "kurzeme-a")
    preference = EnginePreference.find("g2", HOSTS)
    alone = preference.measure(near, PLACE.regions)
    both = preference.measure([*near, *far], PLACE.regions)
    assert {engine: both[engine] for engine in alone} == alone
    assert sorted(both[endpoint.id] for endpoint in far) == sorted(alone.values())


def test_a_gateway_counts_the_gateways_of_its_region_only() -> None:
    gateway = Gateway(GatewaySettings("g2", PLACE), PlatformProtocol())
    assert not gateway.preference.is_shared
    gateway.update_known_hosts(
        5, {"g1": "riga-b", "g3": "kurzeme-a", "g4": "riga-a", "g0": "unknown"}
    )
    assert gateway.preference == EnginePreference(1, 3)
    assert gateway.known_hosts == 5


def test_a_gateway_without_known_peers_shares_no_ring() -> None:
    gateway = Gateway(GatewaySettings("g2", PLACE), PlatformProtocol())
    gateway.update_known_hosts(2, {"g1": "riga-b"})
    gateway.update_known_hosts(2, {})
    assert not gateway.preference.is_shared
