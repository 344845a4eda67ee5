"""Commands that read and write the operators' settings."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Annotated

import typer

from basilroad.cli.exits import Exit, fail, to_exit_result
from basilroad.cli.platform import Platform, query_table, read_hosts
from basilroad.cli.show import format_difference, format_progress, format_reports, format_row
from basilroad.coordination.table import Row
from basilroad.settings.consistency import list_inconsistencies
from basilroad.settings.file import FileSetting, check_file, read_object_file, read_settings_file
from basilroad.settings.problem import SettingsError
from basilroad.settings.progress import HostReports, Progress, measure_progress, read_reports
from basilroad.settings.publish import Change, publish_changes
from basilroad.settings.schema import ROOT
from basilroad.settings.status import STATUS_ROOT
from basilroad.settings.store import SettingsStore
from basilroad.settings.tables import ClosableTable, HistoryTable

POLL_INTERVAL_S = 0.5
"""Seconds between two polls of ``status --wait``."""

Author = Annotated[
    str,
    typer.Option(
        "--author", envvar="BASILROAD_AUTHOR", help="Author of the change.", show_default=False
    ),
]
Expect = Annotated[
    int | None,
    typer.Option("--expect", min=0, help="Revision that the row must have; 0 for no row."),
]
SettingPath = Annotated[str, typer.Argument(help="Path, for example settings/ranks/urgent.")]
SettingsFile = Annotated[Path, typer.Argument(help="YAML file.", exists=True, dir_okay=False)]

app = typer.Typer(
    name="settings",
    help="Read and write the operators' settings in the platform's table.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)


@app.command("get")
def get_settings(path: SettingPath, platform: Platform) -> None:
    """Print the setting at a path, or all settings below a prefix that ends in a slash.

    Exits 0 if any is found, 1 if not, 4 if the platform is unavailable.
    """
    if path.endswith("/"):
        rows = query_table(platform, lambda table: table.scan(path))
    else:
        row = query_table(platform, lambda table: table.read(path))
        rows = (row,) if row else ()
    if not rows:
        fail(Exit.REFUSED, f"{path}: no such setting")
    typer.echo("".join(format_row(row) for row in rows), nl=False)


@app.command("put")
def put_settings(
    target: Annotated[str, typer.Argument(help="YAML file, or the path of one setting.")],
    platform: Platform,
    author: Author,
    file: Annotated[Path | None, typer.Argument(help="YAML file of that setting.")] = None,
    expect: Expect = None,
) -> None:
    """Write the settings of a file atomically, each only if its row is unchanged since it was read.

    Exits 0 when written, 1 if the author does not own a path, 2 on an invalid file, 3 on a conflict
    with another operator, 4 if the platform is unavailable, 5 if unknown whether written.
    """
    file_settings = read_settings_to_write(target, file)
    if expect is not None and len(file_settings) != 1:
        fail(Exit.BAD_FILE, f"--expect needs exactly one setting, found {len(file_settings)}")
    changes = [Change(setting.path, setting.text, expect) for setting in file_settings]
    print_warnings(platform, file_settings, author)
    publish(platform, changes, author)


@app.command("delete")
def delete_setting(
    path: SettingPath, platform: Platform, author: Author, expect: Expect = None
) -> None:
    """Delete a setting, which restores its default.

    Exits with the same codes as ``put``.
    """
    if not path.startswith((ROOT, STATUS_ROOT)) or path.endswith("/"):
        fail(Exit.BAD_FILE, f"{path}: expected a path below {ROOT} or {STATUS_ROOT}")
    publish(platform, [Change(path, None, expect)], author)


@app.command("diff")
def diff_settings(file: SettingsFile, platform: Platform) -> None:
    """Print the changes that a file would make.

    Exits 0 if there are none, 1 if there are any, 2 on an invalid file, 4 if the platform is
    unavailable.
    """
    file_settings = read_settings_to_write(str(file), None)
    rows = {row.key: row for row in query_table(platform, lambda table: table.scan(ROOT))}
    shown = [
        format_difference(each.path, rows.get(each.path), each.value) for each in file_settings
    ]
    typer.echo("".join(shown), nl=False)
    raise typer.Exit(Exit.REFUSED if any(shown) else Exit.OK)


@app.command("status")
def show_status(
    platform: Platform,
    prefix: Annotated[str, typer.Argument(help="Only settings below this path.")] = ROOT,
    wait: Annotated[float, typer.Option(help="Seconds to wait for all to be in force.")] = 0.0,
) -> None:
    """Print on how many hosts each setting is in force, and which hosts refuse it and why.

    Exits 0 if all settings are in force on all hosts that report or are listed, 1 if not, 4 if
    the platform is unavailable.
    """
    reports, progress = query_table(
        platform, lambda table: wait_for_progress(platform, table, prefix, wait)
    )
    typer.echo(format_reports(reports))
    for each in progress:
        typer.echo(format_progress(each))
    done = all(each.is_done for each in progress)
    raise typer.Exit(Exit.OK if done else Exit.REFUSED)


@app.command("history")
def show_history(path: SettingPath, platform: Platform) -> None:
    """Print the revisions of a setting, oldest first.

    Exits 0 if there are any, 1 if not, 4 if the platform is unavailable.
    """
    rows = query_table(platform, lambda table: read_history(table, path))
    if not rows:
        fail(Exit.REFUSED, f"{path}: no history found")
    typer.echo("---\n".join(format_row(row) for row in rows), nl=False)


@app.command("check")
def check(file: SettingsFile) -> None:
    """Check a settings file of a daemon or of the operators, and print each error with its line.

    Exits 0 if the file is valid, 2 if not.
    """
    try:
        typer.echo(f"{file}: valid, {check_file(file)}")
    except SettingsError as error:
        fail(Exit.BAD_FILE, str(error))


def read_settings_to_write(target: str, file: Path | None) -> tuple[FileSetting, ...]:
    """Read the settings to write, or print the error and exit.

    :param target: name of a settings file, or the path of one setting
    :param file: file of that setting
    :return: the settings
    """
    try:
        if file is None:
            return read_settings_file(Path(target))
        return (read_object_file(target, file),)
    except SettingsError as error:
        fail(Exit.BAD_FILE, str(error))


def publish(platform: str, changes: list[Change], author: str) -> None:
    """Write changes and print the outcome; exits unless they were written.

    :param platform: base URL of the platform
    :param changes: changes to write
    :param author: author of the changes
    """
    outcome = query_table(platform, lambda table: publish_changes(table, changes, author))
    result = to_exit_result(outcome)
    if result.code is not Exit.OK:
        fail(result.code, result.message)
    typer.echo(result.message)


def print_warnings(platform: str, file_settings: tuple[FileSetting, ...], author: str) -> None:
    """Print inconsistencies between settings that would result from the change.

    :param platform: base URL of the platform
    :param file_settings: settings to write
    :param author: author of the changes
    """
    store = SettingsStore()
    store.apply(query_table(platform, lambda table: table.scan(ROOT)))
    revision = store.revision + 1
    store.apply(Row(setting.path, setting.text, revision, author) for setting in file_settings)
    for inconsistency in list_inconsistencies(store.view):
        typer.echo(f"note: {inconsistency}", err=True)


async def wait_for_progress(
    platform: str, table: ClosableTable, prefix: str, wait_s: float
) -> tuple[HostReports, list[Progress]]:
    """Poll until all settings are in force or the time limit expires.

    :param platform: base URL of the platform
    :param table: the platform's table
    :param prefix: prefix of the paths
    :param wait_s: time limit in seconds
    :return: reports of the hosts, and the progress of each setting
    """
    end_s = time.monotonic() + wait_s
    while True:
        rows: tuple[Row, ...] = await table.scan(prefix)
        # A draining host deletes its report, so none is expected from it.
        expected = [host.name for host in await read_hosts(platform) if not host.leaving]
        reports = read_reports(await table.scan(STATUS_ROOT), expected, time.time())
        progress = [measure_progress(row, reports) for row in rows]
        if all(each.is_done for each in progress) or time.monotonic() >= end_s:
            return reports, progress
        await asyncio.sleep(POLL_INTERVAL_S)


async def read_history(table: ClosableTable, path: str) -> tuple[Row, ...]:
    """:return: the revisions of a row, oldest first; only the latest if there is no history."""
    if isinstance(table, HistoryTable):
        return await table.read_history(path)
    row = await table.read(path)
    return (row,) if row else ()


__all__ = ["app", "check"]
