"""Check settings against a platform in a separate process, under faults."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest

from basilroad.backing.table import HttpTable
from basilroad.settings.store import SettingsStore
from basilroad.settings.watch import SettingsWatch, WatchSettings
from support.background import Background
from support.fleet import Fleet, Process
from support.timelimit import limit_time

RANK = "settings/ranks/urgent"
RUN_SETTINGS_CLI = "from basilroad.cli.settings import app; app()"
IN_FORCE_S = 5.0
STALE_READS_S = 60.0


@pytest.fixture
def platform(fleet: Fleet) -> Process:
    return fleet.add_platform(proxied=True)


@pytest.fixture
def file(tmp_path: Path) -> Path:
    path = tmp_path / "settings.yaml"
    path.write_text(f"{RANK}:\n  order: 4\n")
    return path


def run_command(platform: Process, *args: object) -> subprocess.CompletedProcess[str]:
    known = {"BASILROAD_PLATFORM": platform.url, "BASILROAD_AUTHOR": "ann"}
    argv = [sys.executable, "-c", RUN_SETTINGS_CLI, *map(str, args)]
    return subprocess.run(
        argv, env=os.environ | known, capture_output=True, text=True, timeout=60, check=False
    )


def read_history(platform: Process) -> list[str]:
    rows = platform.ask("POST", "/table/history", {"key": RANK})["rows"]
    return [row["value"] for row in rows]


async def wait_until(condition: Callable[[], bool], timeout_s: float = IN_FORCE_S) -> None:
    async with limit_time(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


def test_put_whose_answer_is_lost_is_settled(platform: Process, file: Path) -> None:
    platform.ask("POST", "/control", {"lose_answers": 1})
    result = run_command(platform, "put", file)
    assert result.returncode == 0, result.stderr
    assert read_history(platform) == ['{"order":4}']


def test_put_settles_by_the_commit_when_reads_lag(platform: Process, file: Path) -> None:
    platform.ask("POST", "/control", {"lose_answers": 1, "stale_reads_s": STALE_READS_S})
    result = run_command(platform, "put", file)
    assert result.returncode == 0, result.stderr
    assert read_history(platform) == ['{"order":4}']


def test_put_to_a_platform_that_is_cut_off_writes_nothing(platform: Process, file: Path) -> None:
    assert platform.proxy is not None
    platform.proxy.cut()
    assert run_command(platform, "put", file).returncode == 4
    assert read_history(platform) == []


def test_of_two_racing_operators_one_gets_a_conflict(platform: Process, file: Path) -> None:
    assert run_command(platform, "put", file, "--expect", 0).returncode == 0
    result = run_command(platform, "put", file, "--expect", 0)
    assert result.returncode == 3
    assert "ann wrote revision 1" in result.stderr


async def watch_through_faults(platform: Process, change: Callable[[str], object]) -> None:
    assert platform.proxy is not None
    proxy = platform.proxy
    loop = asyncio.get_running_loop()
    table = HttpTable(platform.url, 1.0)
    store = SettingsStore()
    orders: list[int] = []
    store.subscribe(lambda view: orders.append(view.set_ranks["urgent"].order))
    settings = WatchSettings(min_interval_s=0.05)
    async with SettingsWatch(settings, table, store, lambda: 1, lambda _: None):
        await loop.run_in_executor(None, change, '{"order":4}')
        await wait_until(lambda: orders == [4])
        await loop.run_in_executor(None, proxy.cut)
        await loop.run_in_executor(None, change, '{"order":5}')
        await asyncio.sleep(0.3)
        assert orders == [4]
        await loop.run_in_executor(None, proxy.heal)
        await wait_until(lambda: orders == [4, 5])
        control = {"stale_reads_s": STALE_READS_S}
        await loop.run_in_executor(None, platform.ask, "POST", "/control", control)
        await asyncio.sleep(0.3)
        await loop.run_in_executor(None, change, '{"order":"bad"}')
        control = {"stale_reads_s": 0.0}
        await loop.run_in_executor(None, platform.ask, "POST", "/control", control)
        await wait_until(lambda: len(store.refusals) == 1)
    assert orders == [4, 5]
    await table.close()


@pytest.mark.holds_settings
def test_setting_never_reverts_through_outage_and_stale_reads(
    platform: Process, background: Background
) -> None:
    def change(text: str) -> None:
        write = {"key": RANK, "value": text, "author": "ann"}
        platform.ask("POST", "/table/commit", {"writes": [write]})

    background.run(watch_through_faults(platform, change))
