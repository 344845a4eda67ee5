"""Commands that read and write the operators' settings."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Annotated

import typer

from basilroad.cli.exits import Exit, end_with, fail
from basilroad.cli.platform import Platform, ask_table, read_hosts
from basilroad.cli.show import show_difference, show_progress, show_reports, show_row
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

POLL_S = 0.5
"""Seconds between two looks of ``status --wait``."""

Author = Annotated[
    str, typer.Option("--author", envvar="BASILROAD_AUTHOR", help="Who writes.", show_default=False)
]
Expect = Annotated[
    int | None,
    typer.Option("--expect", min=0, help="Revision that the row must have; 0 for no row."),
]
SettingPath = Annotated[str, typer.Argument(help="Path such as settings/ranks/urgent.")]
SettingsFile = Annotated[Path, typer.Argument(help="YAML file.", exists=True, dir_okay=False)]

app = typer.Typer(
    name="settings",
    help="Read and write the operators' settings in the platform's table.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)


@app.command("get")
def get_settings(path: SettingPath, platform: Platform) -> None:
    """Print the setting at a path, or all of them below a prefix that ends in a slash.

    Exits 0 if there is any, 1 if not, 4 if the platform is unavailable.
    """
    if path.endswith("/"):
        rows = ask_table(platform, lambda table: table.scan(path))
    else:
        row = ask_table(platform, lambda table: table.read(path))
        rows = (row,) if row else ()
    if not rows:
        fail(Exit.REFUSED, f"{path}: there is none")
    typer.echo("".join(show_row(row) for row in rows), nl=False)


@app.command("put")
def put_settings(
    target: Annotated[str, typer.Argument(help="YAML file, or the path of one setting.")],
    platform: Platform,
    author: Author,
    file: Annotated[Path | None, typer.Argument(help="YAML file of that one setting.")] = None,
    expect: Expect = None,
) -> None:
    """Write the settings of a file, all of them or none, each only over what was read.

    Exits 0 when written, 1 if the author owns a path not, 2 on a bad file, 3 on a conflict with
    another operator, 4 if the platform is unavailable, 5 if unknown whether written.
    """
    entries = read_entries(target, file)
    if expect is not None and len(entries) != 1:
        fail(Exit.BAD_FILE, "--expect goes with one setting only")
    changes = [Change(entry.path, entry.text, expect) for entry in entries]
    warn(platform, entries, author)
    publish(platform, changes, author)


@app.command("delete")
def delete_setting(
    path: SettingPath, platform: Platform, author: Author, expect: Expect = None
) -> None:
    """Delete a setting, so that its default is in force again.

    Exits like ``put``.
    """
    if not path.startswith((ROOT, STATUS_ROOT)) or path.endswith("/"):
        fail(Exit.BAD_FILE, f"{path}: not a path below {ROOT} or {STATUS_ROOT}")
    publish(platform, [Change(path, None, expect)], author)


@app.command("diff")
def diff_settings(file: SettingsFile, platform: Platform) -> None:
    """Print what a file would change.

    Exits 0 if nothing, 1 if something, 2 on a bad file, 4 if the platform is unavailable.
    """
    entries = read_entries(str(file), None)
    rows = {row.key: row for row in ask_table(platform, lambda table: table.scan(ROOT))}
    shown = [show_difference(each.path, rows.get(each.path), each.value) for each in entries]
    typer.echo("".join(shown), nl=False)
    raise typer.Exit(Exit.REFUSED if any(shown) else Exit.OK)


@app.command("status")
def show_status(
    platform: Platform,
    prefix: Annotated[str, typer.Argument(help="Only settings below this path.")] = ROOT,
    wait: Annotated[float, typer.Option(help="Seconds to wait for all to be in force.")] = 0.0,
) -> None:
    """Print on how many hosts each setting is in force, and what hosts refuse and why.

    Exits 0 if all are in force on all hosts that report or are listed, 1 if not, 4 if the platform
    is unavailable.
    """
    reports, progress = ask_table(
        platform, lambda table: watch_progress(platform, table, prefix, wait)
    )
    typer.echo(show_reports(reports))
    for each in progress:
        typer.echo(show_progress(each))
    done = all(each.is_done for each in progress)
    raise typer.Exit(Exit.OK if done else Exit.REFUSED)


@app.command("history")
def show_history(path: SettingPath, platform: Platform) -> None:
    """Print the states that a setting had, oldest first.

    Exits 0 if there are any, 1 if not, 4 if the platform is unavailable.
    """
    rows = ask_table(platform, lambda table: read_history(table, path))
    if not rows:
        fail(Exit.REFUSED, f"{path}: there is no history")
    typer.echo("---\n".join(show_row(row) for row in rows), nl=False)


@app.command("check")
def check(file: SettingsFile) -> None:
    """Check a settings file, a daemon's or the operators', and name each fault at its line.

    Exits 0 if it is good, 2 if not.
    """
    try:
        typer.echo(f"{file}: good, {check_file(file)}")
    except SettingsError as error:
        fail(Exit.BAD_FILE, str(error))


def read_entries(target: str, file: Path | None) -> tuple[FileSetting, ...]:
    """Read what is to be written, or tell what is wrong with it and exit.

    :param target: name of a file of settings, or the path of one setting
    :param file: the file of that one setting
    :return: the settings
    """
    try:
        if file is None:
            return read_settings_file(Path(target))
        return (read_object_file(target, file),)
    except SettingsError as error:
        fail(Exit.BAD_FILE, str(error))


def publish(platform: str, changes: list[Change], author: str) -> None:
    """Write changes and tell what became of them; exits unless they were written.

    :param platform: base URL of the platform
    :param changes: what to write
    :param author: who writes
    """
    outcome = ask_table(platform, lambda table: publish_changes(table, changes, author))
    ending = end_with(outcome)
    if ending.code is not Exit.OK:
        fail(ending.code, ending.message)
    typer.echo(ending.message)


def warn(platform: str, entries: tuple[FileSetting, ...], author: str) -> None:
    """Tell which settings will be odd together.

    :param platform: base URL of the platform
    :param entries: what is to be written
    :param author: who writes
    """
    store = SettingsStore()
    store.apply(ask_table(platform, lambda table: table.scan(ROOT)))
    revision = store.revision + 1
    store.apply(Row(entry.path, entry.text, revision, author) for entry in entries)
    for doubt in list_inconsistencies(store.view):
        typer.echo(f"note: {doubt}", err=True)


async def watch_progress(
    platform: str, table: ClosableTable, prefix: str, wait_s: float
) -> tuple[HostReports, list[Progress]]:
    """Look how far settings are in force, until all are or time is out.

    :param platform: base URL of the platform
    :param table: the platform's table
    :param prefix: leading text of the paths
    :param wait_s: seconds to wait
    :return: what the hosts report, and how far each setting is in force
    """
    end_s = time.monotonic() + wait_s
    while True:
        rows: tuple[Row, ...] = await table.scan(prefix)
        # a host that leaves takes its report back, so none is expected of it
        expected = [host.name for host in await read_hosts(platform) if not host.leaving]
        reports = read_reports(await table.scan(STATUS_ROOT), expected, time.time())
        progress = [measure_progress(row, reports) for row in rows]
        if all(each.is_done for each in progress) or time.monotonic() >= end_s:
            return reports, progress
        await asyncio.sleep(POLL_S)


async def read_history(table: ClosableTable, path: str) -> tuple[Row, ...]:
    """:return: the states of a row, oldest first; the present one if the table keeps no more."""
    if isinstance(table, HistoryTable):
        return await table.read_history(path)
    row = await table.read(path)
    return (row,) if row else ()


__all__ = ["app", "check"]
