"""Contracts: what a plain service allows its callers."""

from __future__ import annotations

import functools
import re

import attrs

from basilroad.world.name import make_name_field
from basilroad.world.validators import check_not_negative, check_positive, check_share

ANY_METHOD = "*"

_METHOD = re.compile(r"\*|[A-Z]+")
_PATH = re.compile(r"/[A-Za-z0-9._~*/-]*")
_UNCLEAR = re.compile(r"//|%|\\|;|(^|/)\.{1,2}(/|$)")
"""Parts of a path that a service may read in another way than its contract does."""


def _check_method(_instance: object, _field: attrs.Attribute[str], value: str) -> None:
    if not _METHOD.fullmatch(value):
        raise ValueError(f"{value!r} is no method in capitals, nor *")


def _check_path(_instance: object, _field: attrs.Attribute[str], value: str) -> None:
    if not _PATH.fullmatch(value) or _UNCLEAR.search(value):
        raise ValueError(f"{value!r} is no pattern of a path such as /stock/* or /stock/**")


@attrs.frozen(kw_only=True)
class CallRule:
    """Whether calls that match are idempotent.

    :param method: HTTP method in capitals, or ``*`` for any
    :param path: pattern of the path; ``*`` stands for one part or less, ``**`` for any rest
    :param idempotent: whether such a call may be run again
    """

    method: str = attrs.field(default=ANY_METHOD, validator=_check_method)
    path: str = attrs.field(validator=_check_path)
    idempotent: bool

    def match(self, method: str, path: str) -> bool:
        """:return: whether the rule speaks of a call with this method and path."""
        if self.method not in (ANY_METHOD, method):
            return False
        return _compile_pattern(self.path).fullmatch(path) is not None


@attrs.frozen(kw_only=True)
class Contract:
    """What one plain service allows.

    :param name: name of the service
    :param calls: rules of its calls; the first one that matches decides
    :param timeout_s: seconds for the whole of a call
    :param patience_s: seconds for which a call waits for an endpoint or for the store
    :param retry_ratio: retries and hedges allowed for each call, from 0 to 1
    :param hedge_after_s: seconds after which an idempotent call is sent a second time; 0 for never
    """

    name: str = make_name_field()
    calls: tuple[CallRule, ...] = ()
    timeout_s: float = attrs.field(default=30.0, validator=check_positive)
    patience_s: float = attrs.field(default=2.0, validator=check_not_negative)
    retry_ratio: float = attrs.field(default=0.1, validator=check_share)
    hedge_after_s: float = attrs.field(default=0.0, validator=check_not_negative)

    def __attrs_post_init__(self) -> None:
        if self.hedge_after_s >= self.timeout_s:
            raise ValueError("hedge_after_s must be below timeout_s")

    def is_idempotent(self, method: str, path: str) -> bool:
        """Tell whether a call may be run again.

        :param method: HTTP method in capitals
        :param path: path of the call below the service, from ``/``; a query string is left out
        :return: what the first rule that matches says; ``False`` when none does or the path
            can be read in two ways
        """
        bare = path.partition("?")[0].partition("#")[0]
        if _UNCLEAR.search(bare):
            return False
        for rule in self.calls:
            if rule.match(method, bare):
                return rule.idempotent
        return False


@functools.lru_cache(maxsize=1024)
def _compile_pattern(pattern: str) -> re.Pattern[str]:
    parts = re.split(r"(\*\*|\*)", pattern)
    wild = {"**": ".*", "*": "[^/]*"}
    return re.compile("".join(wild.get(part, re.escape(part)) for part in parts))


__all__ = ["ANY_METHOD", "CallRule", "Contract"]
