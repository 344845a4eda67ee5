"""Table row that stores a lease."""

from __future__ import annotations

import logging

import attrs

from basilroad.coordination.decoding import DecodeError, decode_json
from basilroad.coordination.table import Row

logger = logging.getLogger(__name__)

NO_HOLDER = ""
"""Holder in the row of a released lease."""


@attrs.frozen
class LeaseRow:
    """Value of a lease's row.

    :param holder: process that holds it; empty after a release
    :param tenure: identifier of one acquisition
    :param serial: number of the write within this tenure, from 1
    :param fence: fencing number, which increases with each acquisition
    :param lease_s: duration of the lease after this write, in seconds
    """

    holder: str
    tenure: str
    serial: int
    fence: int
    lease_s: float


def read_lease(row: Row | None) -> LeaseRow | None:
    """Decode the value of a lease's row.

    :param row: the row; ``None`` if there is none
    :return: its value; ``None`` if it is absent or malformed
    """
    if row is None or row.value is None:
        return None
    try:
        return decode_json(row.value, LeaseRow)
    except DecodeError:
        logger.warning("failed to decode lease row key=%s", row.key)
        return None


__all__ = ["NO_HOLDER", "LeaseRow", "read_lease"]
