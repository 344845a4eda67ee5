"""Operators' settings that configure this system itself: owners, drains and limits."""

from __future__ import annotations

import attrs
from attrs.validators import and_, deep_iterable

from basilroad.world.name import make_name_field
from basilroad.world.validators import (
    check_name,
    check_not_negative,
    check_positive,
    check_share,
    check_unique,
)


def _check_not_empty(_instance: object, _field: attrs.Attribute[object], value: object) -> None:
    if not value:
        raise ValueError("must not be empty")


@attrs.frozen(kw_only=True)
class Owners:
    """Who may write the settings below a prefix.

    :param name: the prefix, without ``settings/``
    :param authors: names of the authors that may write there
    """

    name: str = make_name_field()
    authors: tuple[str, ...] = attrs.field(
        validator=and_(deep_iterable(check_name), check_unique, _check_not_empty)
    )


@attrs.frozen(kw_only=True)
class Drain:
    """A host or an endpoint that gets no new work.

    :param name: name of the host or endpoint
    :param limit_s: seconds after which requests still in flight move to another endpoint
    :param reason: text for the log and the status
    """

    name: str = make_name_field()
    limit_s: float = attrs.field(default=30.0, validator=check_positive)
    reason: str = ""


@attrs.frozen(kw_only=True)
class Limits:
    """Queue limits and policy switches.

    :param name: ``default``, or the model or plain service that these apply to
    :param queue_length: maximum number of requests queued at one entry, over all ranks
    :param retry_ratio: resumes and retries allowed per request, from 0 to 1
    :param early_refusal: whether requests that can't meet their target are refused at once
    :param preemption: whether urgent requests may preempt less urgent ones
    :param placement: whether models are placed on engines
    """

    name: str = make_name_field()
    queue_length: int = attrs.field(default=1000, validator=check_not_negative)
    retry_ratio: float = attrs.field(default=0.2, validator=check_share)
    early_refusal: bool = True
    preemption: bool = True
    placement: bool = True


DEFAULT_LIMITS = "default"
"""Name of the limits that apply to models and plain services without their own."""

__all__ = ["DEFAULT_LIMITS", "Drain", "Limits", "Owners"]
