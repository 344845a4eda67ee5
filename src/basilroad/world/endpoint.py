"""Endpoints: model engines and plain services."""

from __future__ import annotations

from typing import Literal

import attrs

from basilroad.world.host import Host
from basilroad.world.validators import check_name, check_positive

EndpointKind = Literal["engine", "service"]


@attrs.frozen(kw_only=True)
class Endpoint:
    """One endpoint.

    :param name: name of the endpoint, unique in the fleet
    :param kind: model engine or plain service
    :param service: name of the model or of the plain service
    :param adapter: adapter that the engine has loaded; empty for none
    :param version: version of the model
    :param slots: requests that the endpoint runs at once
    :param checks_fence: whether the endpoint itself refuses an order with an old fencing number
    :param host: where the endpoint runs
    """

    name: str = attrs.field(validator=check_name)
    kind: EndpointKind
    service: str = attrs.field(validator=check_name)
    adapter: str = ""
    version: str = "1"
    slots: int = attrs.field(default=16, validator=check_positive)
    checks_fence: bool = False
    host: Host


__all__ = ["Endpoint", "EndpointKind"]
