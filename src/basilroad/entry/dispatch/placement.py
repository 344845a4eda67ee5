"""Placement of an attempt on an endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from basilroad.entry.links.link import EndpointView


class VersionGoneError(Exception):
    """All usable endpoints have another version of the model."""


@attrs.frozen
class Placement:
    """Endpoint assigned to an attempt.

    :param view: the endpoint
    :param credit: slot credit; empty for none
    """

    view: EndpointView
    credit: str = ""


__all__ = ["Placement", "VersionGoneError"]
