"""How far settings are in force, from what the hosts report."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from basilroad.coordination.table import Row
from basilroad.settings.status import HostStatus, decode_status


@attrs.frozen
class HostRefusal:
    """Why a setting is not in force on one host.

    :param host: name of the host
    :param reason: what is wrong with the setting
    """

    host: str
    reason: str


@attrs.frozen
class Progress:
    """How far one setting is in force.

    :param path: path of the setting
    :param revision: revision of the setting
    :param in_force: hosts on which it is in force
    :param hosts: hosts that report or are expected to
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
    """What the hosts report.

    :param current: reports of hosts that report in time
    :param late: names of hosts whose report is old
    :param silent: names of hosts that should report and don't, the late ones among them
    """

    current: tuple[HostStatus, ...]
    late: tuple[str, ...]
    silent: tuple[str, ...] = ()


def read_reports(rows: Iterable[Row], expected: Iterable[str], now_s: float) -> HostReports:
    """Read the reports of all hosts.

    :param rows: rows below ``status/``
    :param expected: names of the hosts that should report
    :param now_s: seconds since 1970
    :return: the reports; a row that is none counts as late
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
    :param reports: what the hosts report
    :return: how far it is in force
    """
    refusals: list[HostRefusal] = []
    in_force = 0
    for status in reports.current:
        refusal = status.find_refusal(row.key)
        if refusal is not None:
            refusals.append(HostRefusal(status.host, refusal.reason))
        elif status.revision >= row.revision and status.refused == len(status.refusals):
            in_force += 1
    # a host that has just started serves before its first report, so it counts already
    hosts = len(reports.current) + len(reports.silent)
    return Progress(row.key, row.revision, in_force, hosts, tuple(refusals))


__all__ = ["HostRefusal", "HostReports", "Progress", "measure_progress", "read_reports"]
