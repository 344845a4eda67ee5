"""Settings in force at a daemon, read from its log."""

from __future__ import annotations

import re
import time

from support.fleet import POLL_INTERVAL_S, READY_TIMEOUT_S, Process
from support.timelimit import TimeLimit

_CHANGE = re.compile(r"settings in force: revision=(\d+) changed=([^\s\"]+)")


def wait_setting(
    process: Process, path: str, revision: int, timeout: float = READY_TIMEOUT_S
) -> None:
    """Wait until a revision of a setting, or a newer one, is in force.

    The revision of a log line is that of the newest row in one read of the table.

    :param process: daemon that reads the setting
    :param path: below ``settings/``
    :param revision: as returned by the write of the setting
    :param timeout: seconds
    :raises RuntimeError: it was not in force in time
    """
    limit = TimeLimit(timeout)
    while not _is_logged(process, path, revision):
        if limit.is_over():
            raise RuntimeError(
                f"{process.name} has no {path} of revision {revision} in force "
                f"after {timeout} s, {limit.describe()}:\n{process.read_tail()}"
            )
        time.sleep(POLL_INTERVAL_S)


def _is_logged(process: Process, path: str, revision: int) -> bool:
    changes = _CHANGE.findall(process.logs.read_text(errors="replace"))
    return any(
        int(newest) >= revision and f"settings/{path}" in changed.split(",")
        for newest, changed in changes
    )


__all__ = ["wait_setting"]
