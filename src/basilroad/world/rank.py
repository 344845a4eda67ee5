"""Priority classes (ranks) of requests."""

from __future__ import annotations

import attrs

from basilroad.world.name import make_name_field
from basilroad.world.validators import check_not_negative, check_share


@attrs.frozen(kw_only=True)
class Rank:
    """One rank.

    :param name: name of the rank
    :param order: position among the ranks; 0 is the most urgent
    :param floor_share: guaranteed minimum share of the slots under load of other ranks, 0 to 1
    :param first_token_target_s: target for the time to the first token, in seconds; 0 for none
    :param max_wait_s: longest time in a queue, in seconds; 0 for no limit
    """

    name: str = make_name_field()
    order: int = attrs.field(validator=check_not_negative)
    floor_share: float = attrs.field(default=0.1, validator=check_share)
    first_token_target_s: float = attrs.field(default=0.0, validator=check_not_negative)
    max_wait_s: float = attrs.field(default=0.0, validator=check_not_negative)


STANDARD_RANK = "standard"
"""Default rank of a workspace, also used if the rank of a workspace does not exist."""

DEFAULT_RANKS: tuple[Rank, ...] = (
    Rank(name="urgent", order=0, first_token_target_s=1.4, max_wait_s=10.0),
    Rank(name=STANDARD_RANK, order=1, first_token_target_s=5.0, max_wait_s=60.0),
    Rank(name="batch", order=2, max_wait_s=300.0),
)
"""Ranks that always exist; the settings may override them by name and add others."""

__all__ = ["DEFAULT_RANKS", "STANDARD_RANK", "Rank"]
