"""Check the settings commands and their exit codes."""

from __future__ import annotations

import time
from pathlib import Path

import pytest
from click.testing import Result
from fake_table import FakeTable
from typer.testing import CliRunner

from basilroad.backing.hosts import HostListError, ListedHost
from basilroad.cli import platform, settings
from basilroad.cli.settings import app
from basilroad.coordination.table import Write
from basilroad.settings import publish
from basilroad.settings.history import RejectedSetting
from basilroad.settings.status import EndpointLoad, HostState, HostStatus, encode_status

RANK = "settings/ranks/urgent"
GOOD = f"{RANK}:\n  order: 0\n"


class FakeHosts:
    """Returns the same hosts at each call.

    :param hosts: the hosts
    :param error: cause for which the list can't be read
    """

    def __init__(self, hosts: tuple[ListedHost, ...], error: str = "") -> None:
        self._hosts = hosts
        self._error = error

    async def __call__(self, _url: str) -> tuple[ListedHost, ...]:
        if self._error:
            raise HostListError(self._error)
        return self._hosts


def list_host(name: str, leaving: bool = False) -> ListedHost:
    return ListedHost(name, "agent", "baltic", "riga-a", "127.0.0.1:1", leaving)


@pytest.fixture
def table(monkeypatch: pytest.MonkeyPatch) -> FakeTable:
    table = FakeTable()
    monkeypatch.setattr(platform, "open_table", lambda _url: table)
    monkeypatch.setattr(settings, "read_hosts", FakeHosts(()))
    monkeypatch.setattr(publish, "RESEND_DELAY_S", 0.0)
    monkeypatch.setenv("BASILROAD_PLATFORM", "http://127.0.0.1:1")
    monkeypatch.setenv("BASILROAD_AUTHOR", "ann")
    return table


@pytest.fixture
def file(tmp_path: Path) -> Path:
    path = tmp_path / "a.yaml"
    path.write_text(GOOD)
    return path


def run(*args: object) -> Result:
    return CliRunner().invoke(app, [str(arg) for arg in args])


def put_status(table: FakeTable, host: str, revision: int, *refusals: RejectedSetting) -> None:
    state = HostState("agent", (("spec-1", 2),), (EndpointLoad("spec-1", 3, 16),))
    status = HostStatus(host, revision, refusals, len(refusals), state, time.time(), 30.0)
    table.put(f"status/{host}", encode_status(status), host)


def test_put_get_diff_and_delete(table: FakeTable, file: Path) -> None:
    assert run("diff", file).exit_code == 1
    assert run("put", file).exit_code == 0
    assert run("diff", file).exit_code == 0
    assert run("get", RANK).stdout == f"# revision 1 by ann\n{GOOD}"
    assert run("get", "settings/").stdout == run("get", RANK).stdout
    assert run("delete", RANK, "--expect", 1).exit_code == 0
    assert run("get", RANK).exit_code == 1
    history = run("history", RANK)
    assert history.exit_code == 0
    assert history.stdout.endswith("# revision 2 by ann: deleted\n")
    assert table.get(RANK) is None


def test_put_of_one_object(table: FakeTable, file: Path) -> None:
    file.write_text("order: 7\n")
    assert run("put", RANK, file).exit_code == 0
    row = table.get(RANK)
    assert row is not None
    assert (row.value, row.author) == ('{"order":7}', "ann")


def test_bad_file_is_named_and_not_written(table: FakeTable, file: Path) -> None:
    file.write_text(GOOD + "  color: red\n")
    for command in ("put", "check", "diff"):
        result = run(command, file)
        assert result.exit_code == 2
        assert f"{file}:3: {RANK}: color: unknown key" in result.output
    assert table.commits == 0


def test_racing_operator_is_a_conflict(table: FakeTable, file: Path) -> None:
    table.competing_writes = [Write(RANK, '{"order":5}', author="bob")]
    result = run("put", file)
    assert result.exit_code == 3
    assert "expected no row but bob wrote revision 1" in result.output
    assert run("put", file, "--expect", 0).exit_code == 3


def test_author_who_owns_no_path_is_refused(table: FakeTable, file: Path) -> None:
    table.put("settings/owners/ranks", '{"authors":["ops"]}')
    result = run("put", file)
    assert (result.exit_code, table.commits) == (1, 0)
    assert "belongs to ops" in result.output


def test_unavailable_platform_is_reported(table: FakeTable, file: Path) -> None:
    table.unavailable = True
    for command in (("put", file), ("get", RANK), ("status",), ("diff", file), ("history", RANK)):
        assert run(*command).exit_code == 4


def test_lost_responses_are_resolved_or_reported(table: FakeTable, file: Path) -> None:
    table.lost_answers = 1
    assert run("put", file).exit_code == 0
    table.delayed_writes = 1 + publish.RESEND_ATTEMPTS
    assert run("delete", RANK).exit_code == 5


def test_usage_errors_are_reported(table: FakeTable, file: Path) -> None:
    file.write_text(GOOD + "settings/drains/a: {}\n")
    assert run("put", file, "--expect", 3).exit_code == 2
    assert run("delete", "claims/x").exit_code == 2
    assert run("put", file.parent / "none.yaml").exit_code == 2
    assert table.commits == 0


def test_status_counts_hosts_and_reports_refusals(table: FakeTable) -> None:
    put_status(table, "a", 9)
    put_status(table, "b", 9, RejectedSetting(RANK, 3, "ann", "order: bad"))
    old = HostStatus("c", 9, (), 0, HostState("entry"), time.time() - 1000, 30.0)
    table.put("status/c", encode_status(old), "c")
    table.put(RANK, '{"order":0}')
    result = run("status")
    assert result.exit_code == 1
    assert f"{RANK}: revision 4 in force on 1 of 2" in result.stdout
    assert "refused by b: order: bad" in result.stdout
    assert "late: c" in result.stdout
    assert "a (agent): spec-1 3/16, drains spec-1 (2 in flight)" in result.stdout
    put_status(table, "b", 9)
    assert run("status", "--wait", 1).exit_code == 0


def test_status_waits_for_listed_hosts_that_have_not_reported(
    table: FakeTable, monkeypatch: pytest.MonkeyPatch
) -> None:
    listed = (list_host("a"), list_host("b"), list_host("c", leaving=True))
    monkeypatch.setattr(settings, "read_hosts", FakeHosts(listed))
    table.put(RANK, '{"order":0}')
    put_status(table, "a", 9)
    result = run("status")
    assert result.exit_code == 1
    assert f"{RANK}: revision 1 in force on 1 of 2" in result.stdout
    assert "listed, but without a report: b\n" in result.stdout
    put_status(table, "b", 9)
    assert run("status").exit_code == 0


def test_status_fails_without_the_list_of_hosts(
    table: FakeTable, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(settings, "read_hosts", FakeHosts((), "answered 500"))
    put_status(table, "a", 9)
    table.put(RANK, '{"order":0}')
    result = run("status")
    assert result.exit_code == 4
    assert "answered 500" in result.output


def test_status_without_hosts_is_not_done(table: FakeTable) -> None:
    table.put(RANK, '{"order":0}')
    assert run("status").exit_code == 1


def test_put_reports_inconsistent_settings(table: FakeTable, file: Path) -> None:
    file.write_text(
        f"{RANK}: {{order: 1, floor_share: 1}}\nsettings/workspaces/a: {{rank: gold}}\n"
    )
    result = run("put", file)
    assert result.exit_code == 0
    assert "ranks of the same order 1: standard, urgent" in result.output
    assert "sums up to 1.2" in result.output
    assert "workspace a: no rank gold; standard is used" in result.output
    assert table.get(RANK) is not None


def test_check_of_a_daemons_file(tmp_path: Path) -> None:
    file = tmp_path / "entry.yaml"
    file.write_text("host: entry-1\naddress: entry\n")
    result = run("check", file)
    assert result.exit_code == 2
    assert f"{file}:2: address: 'entry' is no IP number" in result.output
