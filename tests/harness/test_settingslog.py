"""Tests of the wait for a setting in the log of a daemon."""

from __future__ import annotations

from pathlib import Path

import pytest

from support.fleet import Process
from support.settingslog import wait_setting

LINES = """\
{"message":"settings in force: revision=1 changed=settings/services/order-app"}
{"message":"settings in force: revision=6 changed=settings/ranks/urgent"}
{"message":"settings in force: revision=4 changed=settings/ranks/a,settings/services/order-app"}
"""


@pytest.fixture
def process(tmp_path: Path) -> Process:
    process = Process("entry-0", (), {}, "127.0.0.1:1", "", tmp_path)
    process.logs.write_text(LINES)
    return process


# fault: status rows take revisions before the setting, or one read shows several revisions
@pytest.mark.parametrize("revision", [2, 3, 4])
def test_a_setting_is_found_whose_read_ends_at_a_later_revision(
    process: Process, revision: int
) -> None:
    wait_setting(process, "services/order-app", revision, timeout=0)


# fault: a line of another setting, or of an older revision, ends the wait too early
@pytest.mark.parametrize(
    ("path", "revision"),
    [("services/order-app", 5), ("services/order", 1), ("ranks/urgent", 7), ("ranks/b", 1)],
)
def test_a_setting_that_is_not_in_force_is_awaited(
    process: Process, path: str, revision: int
) -> None:
    with pytest.raises(RuntimeError, match=rf"no {path} of revision {revision}"):
        wait_setting(process, path, revision, timeout=0)
