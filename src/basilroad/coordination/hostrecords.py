"""Rows of the hosts whose agents may have run claimed calls."""

from __future__ import annotations

import msgspec

from basilroad.coordination.table import ABSENT, Table, Write

CALL_HOSTS_ROOT = "call-hosts/"
"""Prefix of the rows."""


class HostRecords:
    """Records of all hosts on which claimed calls may have run.

    An agent records its host before its first claimed call, so that a host without a record has
    run none.

    :param table: table that holds the rows
    """

    def __init__(self, table: Table) -> None:
        self._table = table

    async def add(self, host: str, incarnation: str) -> bool:
        """Record a host before a process runs claimed calls there.

        :param host: name of the host
        :param incarnation: identifies the run of the process
        :return: whether no other process has recorded it before
        :raises TableError: it is not known whether the host is recorded
        """
        value = msgspec.json.encode(incarnation).decode()
        # a commit is never answered from a stale copy, as a read may be
        write = Write(CALL_HOSTS_ROOT + host, value, ABSENT, incarnation)
        (written,) = await self._table.commit([write])
        # the row is its own if the answer to an earlier write was lost
        return written.done or (written.row is not None and written.row.value == value)

    async def list_hosts(self) -> frozenset[str]:
        """:return: names of the recorded hosts; a read that lags misses the latest.

        :raises TableError: the table did not answer
        """
        rows = await self._table.scan(CALL_HOSTS_ROOT)
        return frozenset(row.key.removeprefix(CALL_HOSTS_ROOT) for row in rows)


__all__ = ["CALL_HOSTS_ROOT", "HostRecords"]
