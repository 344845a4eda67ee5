"""Which claim each order began under, for a time."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable

import attrs

RETAIN_S = 600.0
"""Seconds for which the key of an order is remembered."""

LIMIT = 20_000
"""Most keys that are remembered."""


@attrs.frozen
class _Begun:
    ticket: str
    at_s: float


class KeyMemory:
    """Remembers the claim under which each order began.

    :param limit: most keys that are remembered
    :param clock: seconds that only grow
    """

    def __init__(self, limit: int = LIMIT, clock: Callable[[], float] = time.monotonic) -> None:
        self._limit = limit
        self._clock = clock
        self._begun: OrderedDict[str, _Begun] = OrderedDict()
        self._forgot_s = float("-inf")

    @property
    def is_whole(self) -> bool:
        """:return: whether every order that began within ``RETAIN_S`` is remembered."""
        return self._forgot_s < self._clock() - RETAIN_S

    def note(self, key: str, ticket: str) -> None:
        """Remember that an order begins.

        :param key: names the order
        :param ticket: ticket of its claim
        """
        self._begun[key] = _Begun(ticket, self._clock())
        self._begun.move_to_end(key)
        while len(self._begun) > self._limit:
            _, begun = self._begun.popitem(last=False)
            self._forgot_s = begun.at_s

    def find(self, key: str) -> str | None:
        """:return: ticket of the claim under which an order began last, if it is remembered."""
        begun = self._begun.get(key)
        return begun.ticket if begun is not None else None


__all__ = ["LIMIT", "RETAIN_S", "KeyMemory"]
