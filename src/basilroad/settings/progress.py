"""Rollout progress of settings, from the status reports of the hosts."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from basilroad.coordination.table import Row
from basilroad.settings.status import HostStatus, decode_status


@attrs.frozen
class HostRefusal:
    """Refusal of a setting by one host.

    :param host: name of the host
    :param reason: why it was refused
    """

    host: str
    reason: str


@attrs.frozen
class Progress:
    """Rollout progress of one setting.

    :param path: path of the setting
    :param revision: revision of the setting
    :param in_force: number of hosts on which it is in force
    :param hosts: number of hosts that report or are expected to
    :param refusals: hosts that refused it
    """

    path: str
    revision: int
    in_force: int
    hosts: int
    refusals: tuple[HostRefusal, ...] = ()

    @property
    def is_done(self) -> bool:
        """:return: whether there are hosts, and it is in force on all of them."""
        return 0 < self.hosts == self.in_force


@attrs.frozen
class HostReports:
    """Status reports of the hosts.

    :param current: reports that are up to date
    :param late: names of hosts whose report is overdue
    :param silent: names of expected hosts without an up-to-date report, including late ones
    """

    current: tuple[HostStatus, ...]
    late: tuple[str, ...]
    silent: tuple[str, ...] = ()


def read_reports(rows: Iterable[Row], expected: Iterable[str], now_s: float) -> HostReports:
    """Read the reports of all hosts.

    :param rows: rows below ``status/``
    :param expected: names of the hosts that should report
    :param now_s: seconds since 1970
    :return: the reports; a row that can't be decoded counts as late
    """
    current: list[HostStatus] = []
    late: list[str] = []
    for row in rows:
        try:
            status = decode_status(row.value or "")
        except ValueError:
            late.append(row.key)
            continue
        if status.is_current(now_s):
            current.append(status)
        else:
            late.append(status.host)
    silent = set(expected) - {status.host for status in current}
    return HostReports(tuple(current), tuple(late), tuple(sorted(silent)))


def measure_progress(row: Row, reports: HostReports) -> Progress:
    """Count the hosts on which a setting is in force.

    :param row: the setting
    :param reports: status reports of the hosts
    :return: rollout progress of the setting
    """
    refusals: list[HostRefusal] = []
    in_force = 0
    for status in reports.current:
        refusal = status.find_refusal(row.key)
        if refusal is not None:
            refusals.append(HostRefusal(status.host, refusal.reason))
        elif status.revision >= row.revision and status.refused == len(status.refusals):
            in_force += 1
    # a host that has just started serves before its first report, so it is counted
    hosts = len(reports.current) + len(reports.silent)
    return Progress(row.key, row.revision, in_force, hosts, tuple(refusals))


__all__ = ["HostRefusal", "HostReports", "Progress", "measure_progress", "read_reports"]
