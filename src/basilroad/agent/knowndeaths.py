"""Deaths of endpoints that one entry knows."""

from __future__ import annotations

from collections import OrderedDict

KNOWN_CONTENTS_MAX = 1000
"""Contents per entry whose known deaths are kept."""


class KnownDeaths:
    """Deaths that one entry knows, by content; the content looked up longest ago is evicted."""

    def __init__(self) -> None:
        self._deaths: OrderedDict[str, frozenset[str]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._deaths)

    def put(self, fingerprint: str, deaths: frozenset[str]) -> None:
        """Record the deaths that the entry knows.

        :param fingerprint: fingerprint of the content
        :param deaths: identifiers of the deaths
        """
        self._deaths[fingerprint] = deaths
        self._deaths.move_to_end(fingerprint)
        if len(self._deaths) > KNOWN_CONTENTS_MAX:
            self._deaths.popitem(last=False)

    def includes(self, fingerprint: str, deaths: frozenset[str]) -> bool:
        """:return: whether the entry knows all of these deaths."""
        return deaths <= self._deaths.get(fingerprint, frozenset())


__all__ = ["KNOWN_CONTENTS_MAX", "KnownDeaths"]
