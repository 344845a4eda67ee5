"""Ranks of work."""

from __future__ import annotations

import attrs

from basilroad.world.name import make_name_field
from basilroad.world.validators import check_not_negative, check_share


@attrs.frozen(kw_only=True)
class Rank:
    """One rank of work.

    :param name: name of the rank
    :param order: place among the ranks; 0 is the most urgent
    :param floor_share: share of the slots that this rank keeps in a flood of any other, 0 to 1
    :param first_token_target_s: seconds within which the first token is due; 0 for no target
    :param max_wait_s: longest wait in a queue, in seconds; 0 for no limit
    """

    name: str = make_name_field()
    order: int = attrs.field(validator=check_not_negative)
    floor_share: float = attrs.field(default=0.1, validator=check_share)
    first_token_target_s: float = attrs.field(default=0.0, validator=check_not_negative)
    max_wait_s: float = attrs.field(default=0.0, validator=check_not_negative)


STANDARD_RANK = "standard"
"""Rank of work that names none."""

DEFAULT_RANKS: tuple[Rank, ...] = (
    Rank(name="urgent", order=0, first_token_target_s=1.4, max_wait_s=10.0),
    Rank(name=STANDARD_RANK, order=1, first_token_target_s=5.0, max_wait_s=60.0),
    Rank(name="batch", order=2, max_wait_s=300.0),
)
"""Ranks that are there while the operators set none."""

__all__ = ["DEFAULT_RANKS", "STANDARD_RANK", "Rank"]
