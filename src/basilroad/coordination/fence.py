"""Rejection of commands from former lease holders by fencing numbers."""

from __future__ import annotations


class FenceGuard:
    """Tracks the highest fencing number seen for each resource.

    Entries are never evicted, since that would admit a stale command. So the resources must be
    few, such as the endpoints managed by one process.
    """

    def __init__(self) -> None:
        self._highest: dict[str, int] = {}

    def admit(self, resource: str, number: int) -> bool:
        """Check the fencing number of a command.

        :param resource: target of the command
        :param number: fencing number of the sender
        :return: whether it may be executed; false if a higher number was seen
        """
        if number < self.highest(resource):
            return False
        self._highest[resource] = number
        return True

    def highest(self, resource: str) -> int:
        """Return the highest number seen.

        :param resource: target of commands
        :return: the number; 0 if none was seen
        """
        return self._highest.get(resource, 0)


__all__ = ["FenceGuard"]
