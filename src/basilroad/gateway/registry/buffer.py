"""Limit of the bytes of responses that are being buffered."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


class BufferLimit:
    """Counts the bytes of all responses that share a limit.

    :param max_bytes: the limit
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._bytes = 0

    @contextlib.contextmanager
    def count(self) -> Iterator[Callable[[int], bool]]:
        """Count the bytes of one response while it is being buffered.

        :return: function that counts a part by its size; false if the limit is exceeded
        """
        counted = 0

        def count(size: int) -> bool:
            nonlocal counted
            counted += size
            self._bytes += size
            return self._bytes <= self._max_bytes

        try:
            yield count
        finally:
            self._bytes -= counted


__all__ = ["BufferLimit"]
