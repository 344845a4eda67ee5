"""Engine preferences that spread gateways over engines without coordination."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from basilroad.gateway.registry.endpoint import Endpoint


@attrs.frozen
class EnginePreference:
    """Preferred engines of one gateway, as its position on the ring of a region's engines.

    Gateways of one region have equidistant positions, so gateways that select at the same moment
    take different engines though none knows the others' selections yet. If their views of each
    other differ for a while, positions only get closer together.

    :param index: index of the gateway in the sorted list of its region's gateways
    :param hosts: number of known gateways in the region
    """

    index: int = 0
    hosts: int = 1

    @classmethod
    def find(cls, host: str, others: Iterable[str]) -> EnginePreference:
        """Compute the preference of a host.

        :param host: its name
        :param others: names of the known other hosts in its region
        :return: its preference
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
        """Compute the ring distance of engines from this position.

        :param endpoints: the engines
        :param regions: region of each data centre
        :return: distance as a fraction of the ring of the engine's region, by engine id
        """
        rings: dict[str, list[str]] = defaultdict(list)
        for endpoint in endpoints:
            rings[regions.get(endpoint.entry.data_centre, "")].append(endpoint.id)
        start = self.index / self.hosts
        return {
            endpoint_id: (number / len(ring) - start) % 1.0
            for ring in rings.values()
            for number, endpoint_id in enumerate(sorted(ring))
        }


__all__ = ["EnginePreference"]
