"""Models and how many replicas of them the operators want."""

from __future__ import annotations

from collections.abc import Mapping

import attrs
from attrs.validators import and_, deep_iterable, deep_mapping

from basilroad.world.name import make_name_field
from basilroad.world.validators import (
    allow_empty,
    check_name,
    check_not_negative,
    check_positive,
    check_unique,
)


@attrs.frozen(kw_only=True)
class ReplicaBounds:
    """How many replicas of a model a region has.

    :param min: fewest replicas
    :param max: most replicas; 0 for no limit
    """

    min: int = attrs.field(default=0, validator=check_not_negative)
    max: int = attrs.field(default=0, validator=check_not_negative)

    def __attrs_post_init__(self) -> None:
        if self.max and self.min > self.max:
            raise ValueError("min must not be above max")


@attrs.frozen(kw_only=True)
class Model:
    """One model.

    :param name: name of the model, as callers write it
    :param adapter: adapter that its engines load; empty for none
    :param versions: versions that may serve, the preferred one first; empty for any
    :param max_prompt_tokens: longest prompt, in tokens; 0 for no limit
    :param max_tokens_default: longest answer when the caller names none, in tokens
    :param max_tokens_limit: longest answer that a caller may ask for, in tokens
    :param replicas: bounds of the replicas, by region; a region that is absent is left alone
    """

    name: str = make_name_field()
    adapter: str = attrs.field(default="", validator=allow_empty(check_name))
    versions: tuple[str, ...] = attrs.field(
        default=(), validator=and_(deep_iterable(check_name), check_unique)
    )
    max_prompt_tokens: int = attrs.field(default=0, validator=check_not_negative)
    max_tokens_default: int = attrs.field(default=1024, validator=check_positive)
    max_tokens_limit: int = attrs.field(default=16384, validator=check_positive)
    replicas: Mapping[str, ReplicaBounds] = attrs.field(
        factory=dict, validator=deep_mapping(check_name, None)
    )

    def __attrs_post_init__(self) -> None:
        if self.max_tokens_default > self.max_tokens_limit:
            raise ValueError("max_tokens_default must not be above max_tokens_limit")


__all__ = ["Model", "ReplicaBounds"]
