"""Base class of the invariants."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from soak.records import Record

OK = 200

UNCONNECTED = frozenset({"ClientConnectorError", "ConnectionTimeoutError"})
"""Details of requests for which no connection was opened."""


class Promise(ABC):
    """An invariant of the deployment."""

    @property
    def name(self) -> str:
        """:return: name used in reports."""
        return type(self).__name__

    @abstractmethod
    def find_breaches(self, record: Record) -> Iterator[str]:
        """:return: one line for each violation."""

    def explain_unjudged(self, _record: Record) -> str:
        """:return: why a run says nothing about it, neither kept nor broken; empty if it does."""
        return ""


__all__ = ["OK", "UNCONNECTED", "Promise"]
