"""Hosts that run processes of the system."""

from __future__ import annotations

import attrs

from basilroad.world.validators import check_ip, check_name


@attrs.frozen(kw_only=True)
class Host:
    """One host.

    :param name: name of the host
    :param address: IP number at which peers reach the host
    :param region: region of the host
    :param data_centre: data centre of the host
    """

    name: str = attrs.field(validator=check_name)
    address: str = attrs.field(validator=check_ip)
    region: str = attrs.field(validator=check_name)
    data_centre: str = attrs.field(validator=check_name)


__all__ = ["Host"]
