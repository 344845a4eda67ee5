"""Which engines each gateway prefers, so that gateways part without asking each other."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from basilroad.gateway.endpoint import Endpoint


@attrs.frozen
class EnginePreference:
    """Where one gateway begins on the ring of a region's engines.

    Gateways of one region begin at equal distances, so those that choose at the same moment take
    different engines though none knows of the others' choices yet. Gateways that differ for a while
    in what they know of each other only begin closer together.

    :param index: number of the gateway among those of its region, in an order that all know
    :param hosts: how many gateways its region has, as far as is known
    """

    index: int = 0
    hosts: int = 1

    @classmethod
    def find(cls, host: str, others: Iterable[str]) -> EnginePreference:
        """Find the territory of a host.

        :param host: its name
        :param others: names of the others of its region that are heard
        :return: its territory
        """
        hosts = sorted({host, *others})
        return cls(hosts.index(host), len(hosts))

    @property
    def is_shared(self) -> bool:
        """:return: whether other gateways of the region are known."""
        return self.hosts > 1

    def measure(
        self, endpoints: Iterable[Endpoint], regions: Mapping[str, str]
    ) -> dict[str, float]:
        """Measure how far engines lie from where this gateway begins.

        :param endpoints: the engines
        :param regions: region of each data centre
        :return: share of the ring of its region from the begin on, by the engine's id
        """
        rings: dict[str, list[str]] = defaultdict(list)
        for endpoint in endpoints:
            rings[regions.get(endpoint.entry.data_centre, "")].append(endpoint.id)
        begin = self.index / self.hosts
        return {
            endpoint_id: (number / len(ring) - begin) % 1.0
            for ring in rings.values()
            for number, endpoint_id in enumerate(sorted(ring))
        }


__all__ = ["EnginePreference"]
