"""Check what hosts report, and how often."""

from __future__ import annotations

import attrs
import pytest
from fake_table import FakeTable

from basilroad.settings import report as report_module
from basilroad.settings.report import ReportSettings, SettingsReporter
from basilroad.settings.status import EndpointLoad, HostState, decode_status
from basilroad.settings.store import SettingsStore

ROW = "status/spec-1"


@attrs.define
class Daemon:
    table: FakeTable = attrs.field(factory=FakeTable)
    store: SettingsStore = attrs.field(factory=SettingsStore)
    state: HostState = attrs.field(factory=lambda: HostState("agent"))
    nodes: int = 1

    def make_reporter(self, settings: ReportSettings) -> SettingsReporter:
        return SettingsReporter(
            settings, "spec-1", self.table, self.store, lambda: self.nodes, lambda: self.state
        )


async def test_report_is_written_on_change_only() -> None:
    daemon = Daemon()
    reporter = daemon.make_reporter(ReportSettings())
    assert await reporter.report()
    assert not await reporter.report()
    daemon.table.store.revision = 9
    daemon.store.apply([], through=9)
    assert not await reporter.report()
    daemon.store.apply([daemon.table.put("settings/ranks/urgent", "[]", "ann")], through=10)
    assert await reporter.report()
    daemon.state = HostState("agent", loads=(EndpointLoad("e", 1, 4),))
    assert await reporter.report()
    assert not await reporter.report()
    row = await daemon.table.read(ROW)
    assert row is not None
    status = decode_status(row.value or "")
    assert (status.host, status.revision, status.state) == ("spec-1", 10, daemon.state)
    refusal = status.find_refusal("settings/ranks/urgent")
    assert refusal is not None
    assert refusal.author == "ann"


async def test_report_is_written_when_the_table_confirms_a_setting_from_a_peer() -> None:
    daemon = Daemon()
    reporter = daemon.make_reporter(ReportSettings())
    row = daemon.table.put("settings/ranks/urgent", "order: 4", "ann")
    daemon.store.apply([row])
    assert await reporter.report()
    daemon.store.apply([], through=row.revision)
    assert await reporter.report(), "the previous report covered only older revisions"
    assert not await reporter.report()


async def test_old_report_is_refreshed() -> None:
    reporter = Daemon().make_reporter(ReportSettings(refresh_s=1e-9, writes_per_s=1e12))
    reporter.settings = attrs.evolve(reporter.settings, min_gap_s=1e-9)
    assert await reporter.report()
    assert await reporter.report()


async def test_failed_report_is_retried() -> None:
    daemon = Daemon()
    reporter = daemon.make_reporter(ReportSettings())
    daemon.table.unavailable = True
    assert not await reporter.report()
    daemon.table.unavailable = False
    assert await reporter.report()


async def test_report_size_is_bounded() -> None:
    daemon = Daemon()
    for number in range(100):
        row = daemon.table.put(f"settings/ranks/r{number}", '"' + "x" * 500 + '"', "a")
        daemon.store.apply([row])
    assert await daemon.make_reporter(ReportSettings()).report()
    row = daemon.table.get(ROW)
    assert row is not None
    assert len(row.value or "") < 10_000
    assert decode_status(row.value or "").refused == 100


@pytest.mark.parametrize(("nodes", "gap_s", "refresh_s"), [(26, 1.3, 30), (410, 20.5, 41)])
def test_gap_bounds_the_writes_of_all_hosts(nodes: int, gap_s: float, refresh_s: float) -> None:
    reporter = Daemon(nodes=nodes).make_reporter(ReportSettings())
    assert (reporter.gap_s, reporter.refresh_s) == (gap_s, refresh_s)
    assert nodes / reporter.gap_s <= reporter.settings.writes_per_s


async def test_row_is_deleted_at_a_planned_stop(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(report_module, "JITTER", 0.0)
    daemon = Daemon()
    reporter = daemon.make_reporter(ReportSettings(min_gap_s=0.01))
    async with reporter:
        while daemon.table.get(ROW) is None:
            await reporter.sleep(0.01)
    assert await daemon.table.read(ROW) is None
