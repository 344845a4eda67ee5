"""Status rows that hosts write under ``status/`` of the platform's table."""

from __future__ import annotations

from collections.abc import Iterable

import attrs
import msgspec

from basilroad.coordination.decoding import decode_json
from basilroad.settings.history import RejectedSetting

STATUS_ROOT = "status/"
"""Prefix of the status rows."""

MAX_REFUSALS = 20
"""Maximum number of refusals in one report."""

MAX_REASON_CHARACTERS = 200
"""Maximum length of a reason in a report; longer ones are truncated."""


@attrs.frozen
class EndpointLoad:
    """Load of one endpoint.

    :param endpoint: name of the endpoint
    :param running: requests running on it
    :param slots: requests that it can run at once
    :param waiting: requests queued for it
    :param draining: whether it gets no new work
    :param loaded: model, adapter and version in force; empty for a plain service or for none
    :param pending: what it was commanded to load, until it serves that; empty for nothing
    :param state: ``ready``, ``leaving``, ``loading`` or ``empty``; empty for a plain service
    """

    endpoint: str
    running: int
    slots: int
    waiting: int = 0
    draining: bool = False
    loaded: str = ""
    pending: str = ""
    state: str = ""


@attrs.frozen
class HostState:
    """State of the daemon of a host.

    :param role: ``entry`` or ``agent``
    :param drains: names of what drains here, each with its number of requests in flight
    :param loads: load of the endpoints here
    :param shortages: shortages with their reasons, if the planner is active here
    """

    role: str
    drains: tuple[tuple[str, int], ...] = ()
    loads: tuple[EndpointLoad, ...] = ()
    shortages: tuple[str, ...] = ()


@attrs.frozen
class HostStatus:
    """Status row of one host.

    :param host: name of the host
    :param revision: revision up to which the host has received all settings
    :param refusals: settings that are not in force there, the newest first
    :param refused: number of all refusals, including those left out of ``refusals``
    :param state: state of the daemon
    :param written_s: time of the report, in seconds since 1970
    :param refresh_s: seconds within which the next report is due
    """

    host: str
    revision: int
    refusals: tuple[RejectedSetting, ...]
    refused: int
    state: HostState
    written_s: float
    refresh_s: float

    def is_current(self, now_s: float) -> bool:
        """:return: whether the report is up to date at a time, in seconds since 1970."""
        return now_s - self.written_s <= 2 * self.refresh_s

    def find_refusal(self, path: str) -> RejectedSetting | None:
        """:return: the reported refusal of a setting; ``None`` if the report has none."""
        return next((each for each in self.refusals if each.path == path), None)


def shorten_refusals(refusals: Iterable[RejectedSetting]) -> tuple[RejectedSetting, ...]:
    """:return: the newest refusals with short reasons, so that a row stays small."""
    newest = sorted(refusals, key=lambda each: each.revision, reverse=True)[:MAX_REFUSALS]
    return tuple(attrs.evolve(each, reason=each.reason[:MAX_REASON_CHARACTERS]) for each in newest)


def encode_status(status: HostStatus) -> str:
    """:return: JSON text of a row."""
    return msgspec.json.encode(status).decode()


def decode_status(text: str) -> HostStatus:
    """:return: the report in a row.

    :raises ValueError: the row holds no valid report
    """
    return decode_json(text, HostStatus)


__all__ = [
    "MAX_REASON_CHARACTERS",
    "MAX_REFUSALS",
    "STATUS_ROOT",
    "EndpointLoad",
    "HostState",
    "HostStatus",
    "decode_status",
    "encode_status",
    "shorten_refusals",
]
