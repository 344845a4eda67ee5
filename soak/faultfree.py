"""The wait for enough traffic without faults after the last one."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from soak.promises import CalmIsServed
from soak.records import Record
from soak.settings import RECOVERY_S
from soak.stalls import StallWatch

FAULT_FREE_S = RECOVERY_S + 2.0
"""Seconds of traffic after the last fault, and after the last stall of the machine."""

MAX_FAULT_FREE_S = 30.0
"""Seconds of traffic after the last fault beside a machine that stalls again and again."""

MAX_UNJUDGED_S = 120.0
"""Seconds of it while a stall has met nearly all requests."""

MIN_COUNTED = 20
"""Requests that no stall met from which ``CalmIsServed`` can be judged, about those of 1 s."""

UNJUDGED_POLL_S = 0.5


async def wait_fault_free(
    record: Record, stalls: StallWatch, clock: Callable[[], float] = time.monotonic
) -> None:
    """Wait until traffic without faults and stalls can be judged, for a limited time.

    :param record: record of the run
    :param stalls: stalls of the machine
    :param clock: monotonic seconds
    """
    began = clock()
    await asyncio.sleep(FAULT_FREE_S)
    while (left_s := FAULT_FREE_S - stalls.measure_quiet()) > 0:
        passed_s = clock() - began
        if passed_s < MAX_FAULT_FREE_S:
            await asyncio.sleep(left_s)
        elif passed_s < MAX_UNJUDGED_S and _count_ended(record) < MIN_COUNTED:
            await asyncio.sleep(min(left_s, UNJUDGED_POLL_S))
        else:
            return


def _count_ended(record: Record) -> int:
    return sum(request.ended_at > 0 for request in CalmIsServed().list_counted(record))


__all__ = ["FAULT_FREE_S", "MAX_FAULT_FREE_S", "MAX_UNJUDGED_S", "MIN_COUNTED", "wait_fault_free"]
