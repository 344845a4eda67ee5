"""Workspaces of callers."""

from __future__ import annotations

import attrs
from attrs.validators import and_, deep_iterable

from basilroad.world.name import make_name_field
from basilroad.world.rank import STANDARD_RANK
from basilroad.world.validators import (
    check_name,
    check_not_negative,
    check_positive,
    check_sha256,
    check_unique,
)


@attrs.frozen(kw_only=True)
class Workspace:
    """One workspace.

    :param name: name of the workspace
    :param rank: rank of its work that names none
    :param weight: its part of the fleet, against the weights of the others of the same rank
    :param tokens: SHA-256 digests, in hex, of the bearer tokens that belong to it
    :param max_concurrent: requests that it may have in flight at one entry; 0 for no limit
    """

    name: str = make_name_field()
    rank: str = attrs.field(default=STANDARD_RANK, validator=check_name)
    weight: float = attrs.field(default=1.0, validator=check_positive)
    tokens: tuple[str, ...] = attrs.field(
        default=(), repr=False, validator=and_(deep_iterable(check_sha256), check_unique)
    )
    max_concurrent: int = attrs.field(default=0, validator=check_not_negative)


__all__ = ["Workspace"]
