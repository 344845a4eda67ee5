"""Hosts that run processes of the system."""

from __future__ import annotations

import attrs

from basilroad.world.validators import check_ip, check_name


@attrs.frozen(kw_only=True)
class Host:
    """One host.

    :param name: name of the host
    :param address: IP number of the host, as peers reach it
    :param region: region that the host stands in
    :param data_centre: data centre that the host stands in
    """

    name: str = attrs.field(validator=check_name)
    address: str = attrs.field(validator=check_ip)
    region: str = attrs.field(validator=check_name)
    data_centre: str = attrs.field(validator=check_name)


__all__ = ["Host"]
