"""Regions and their data centres."""

from __future__ import annotations

import enum

import attrs

from basilroad.world.host import Host
from basilroad.world.validators import check_name


class Distance(enum.IntEnum):
    """How far apart two hosts are, near first."""

    SAME_DATA_CENTRE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


@attrs.frozen(kw_only=True)
class DataCentre:
    """One data centre.

    :param name: name of the data centre
    :param region: region that it stands in
    """

    name: str = attrs.field(validator=check_name)
    region: str = attrs.field(validator=check_name)


@attrs.frozen(kw_only=True)
class Region:
    """One region.

    :param name: name of the region
    :param data_centres: its data centres
    """

    name: str = attrs.field(validator=check_name)
    data_centres: tuple[DataCentre, ...] = ()


def measure_distance(one: Host, other: Host) -> Distance:
    """:return: how far apart two hosts are."""
    if one.region != other.region:
        return Distance.OTHER_REGION
    if one.data_centre != other.data_centre:
        return Distance.SAME_REGION
    return Distance.SAME_DATA_CENTRE


__all__ = ["DataCentre", "Distance", "Region", "measure_distance"]
