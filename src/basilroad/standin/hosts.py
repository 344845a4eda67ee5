"""Host list that is read with a lag."""

from __future__ import annotations

from collections.abc import Sequence

from basilroad.backing.hosts import HostsAnswer, ListedHost
from basilroad.standin.lag import LaggingValue


class LaggingHostList:
    """Hosts by name; reads return an earlier state.

    :param hosts: hosts at the start
    :param lag_s: seconds by which the list lags
    """

    def __init__(self, hosts: Sequence[ListedHost], lag_s: float) -> None:
        self._lag_s = lag_s
        self._hosts = {host.name: host for host in hosts}
        self._lagging_answer = LaggingValue(HostsAnswer(1, tuple(hosts)), lag_s)

    def put(self, host: ListedHost) -> None:
        """Add or change a host.

        :param host: its current state
        """
        self._hosts[host.name] = host
        self._record()

    def remove(self, name: str) -> None:
        """Remove a host from the list.

        :param name: name of the host
        """
        self._hosts.pop(name, None)
        self._record()

    def read(self) -> HostsAnswer:
        """:return: the list as it was ``lag_s`` ago."""
        return self._lagging_answer.read(self._lag_s)

    def _record(self) -> None:
        revision = self._lagging_answer.newest.revision + 1
        self._lagging_answer.record(HostsAnswer(revision, tuple(self._hosts.values())))


__all__ = ["LaggingHostList"]
