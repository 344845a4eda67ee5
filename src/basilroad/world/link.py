"""Links between regions, which are narrow and paid by volume."""

from __future__ import annotations

import attrs

from basilroad.world.name import make_name_field
from basilroad.world.validators import check_not_negative, check_positive, check_share

SEPARATOR = "--"
"""Stands between the names of the two regions in the name of a link."""

BITS_PER_BYTE = 8
BYTES_PER_GIGABYTE = 1_000_000_000


@attrs.frozen(kw_only=True)
class Link:
    """The link between two regions.

    :param name: the two regions in order of their names, as :func:`name_link` gives it
    :param bandwidth_bits_per_s: bits a second, each way
    :param share: share of the bandwidth that the system may use, from 0 to 1
    :param price_per_gigabyte: price of 10^9 bytes, in the operators' currency
    :param delay_s: one-way delay in seconds
    :param wait_price_per_s: what a second less of waiting is worth, in the operators' currency
    """

    name: str = make_name_field()
    bandwidth_bits_per_s: float = attrs.field(default=15_000_000.0, validator=check_positive)
    share: float = attrs.field(default=0.8, validator=check_share)
    price_per_gigabyte: float = attrs.field(default=0.0, validator=check_not_negative)
    delay_s: float = attrs.field(default=0.02, validator=check_not_negative)
    wait_price_per_s: float = attrs.field(default=0.001, validator=check_positive)

    @property
    def regions(self) -> tuple[str, str]:
        """:return: the names of the two regions."""
        one, _, other = self.name.partition(SEPARATOR)
        return one, other

    @property
    def bytes_per_s(self) -> float:
        """:return: bytes a second that the system may send each way."""
        return self.bandwidth_bits_per_s * self.share / BITS_PER_BYTE

    def price_bytes(self, count: int) -> float:
        """:return: the price of sending ``count`` bytes."""
        return self.price_per_gigabyte * count / BYTES_PER_GIGABYTE


def build_link_name(one: str, other: str) -> str:
    """:return: the name of the link between two regions, whichever comes first."""
    return SEPARATOR.join(sorted((one, other)))


__all__ = ["SEPARATOR", "Link", "build_link_name"]
