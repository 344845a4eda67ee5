"""Check how far hosts are apart."""

from __future__ import annotations

import attrs

from basilroad.world.host import Host
from basilroad.world.link import Link, build_link_name
from basilroad.world.region import Distance, measure_distance

HOST = Host(name="a", address="10.0.0.1", region="riga", data_centre="riga-a")


def test_distance_counts_data_centre_before_region() -> None:
    assert measure_distance(HOST, HOST) is Distance.SAME_DATA_CENTRE
    near = attrs.evolve(HOST, data_centre="riga-b")
    assert measure_distance(HOST, near) is Distance.SAME_REGION
    far = attrs.evolve(HOST, region="kurzeme")
    assert measure_distance(HOST, far) is Distance.OTHER_REGION


def test_link_has_one_name_and_a_price() -> None:
    assert (
        build_link_name("riga", "kurzeme") == build_link_name("kurzeme", "riga") == "kurzeme--riga"
    )
    assert Link(name="a--b", price_per_gigabyte=2.0).price_bytes(500_000_000) == 1.0
