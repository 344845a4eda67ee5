"""Write operators' settings to the platform's table by conditional writes."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

import attrs

from basilroad.coordination.table import (
    ABSENT,
    Row,
    Table,
    TableError,
    TableUnavailableError,
    TableUnknownError,
    Write,
    WriteResult,
)
from basilroad.settings.authority import AFTER_ALL, OWNERS_ROOT, Authority, Version
from basilroad.settings.problem import SettingsError
from basilroad.settings.schema import ROOT, parse_setting

RESEND_ATTEMPTS = 5
"""Times that a write whose response was lost is sent again."""

RESEND_DELAY_S = 0.3
"""Seconds before the first of these attempts; the wait doubles with each further one."""


@attrs.frozen
class Change:
    """One setting to be written.

    :param path: path of the setting
    :param text: JSON text; ``None`` to delete it
    :param expected: revision that the row must have; ``None`` for its present one
    """

    path: str
    text: str | None
    expected: int | None = None


@dataclass(frozen=True, slots=True)
class Accepted:
    """The changes were written.

    :param rows: the rows as written, without deleted ones
    """

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Forbidden:
    """The author does not own a path; nothing was written.

    :param path: the path
    :param owners: who owns it
    """

    path: str
    owners: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Conflict:
    """A row had another revision than expected; nothing was written.

    :param path: path of the row
    :param expected: revision that was expected
    :param row: the present row; ``None`` if there is none
    """

    path: str
    expected: int
    row: Row | None


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The table could not be reached or refused the request; nothing was written.

    :param detail: error that occurred
    """

    detail: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """The response was lost, and reading back did not show whether the write took effect.

    :param detail: error that occurred
    """

    detail: str


Outcome = Accepted | Forbidden | Conflict | Unavailable | Unknown


@attrs.frozen
class _Plan:
    """Prepared writes.

    :param writes: what to write
    :param since: revision of the table before the rows were read
    """

    writes: tuple[Write, ...]
    since: int


async def publish_changes(table: Table, changes: Sequence[Change], author: str) -> Outcome:
    """Write changes atomically.

    :param table: the platform's table
    :param changes: what to write, validated and with distinct paths
    :param author: author of the changes
    :return: the outcome
    """
    try:
        plan = await _prepare(table, changes, author)
    except (TableError, TimeoutError) as error:
        return Unavailable(str(error))
    if isinstance(plan, Forbidden):
        return plan
    try:
        results = await table.commit(plan.writes, atomic=True)
    except TableUnavailableError as error:
        return Unavailable(str(error))
    except (TableUnknownError, TimeoutError) as error:
        return await _resolve_unknown(table, plan, str(error))
    return _classify_results(plan.writes, results)


async def _prepare(table: Table, changes: Sequence[Change], author: str) -> _Plan | Forbidden:
    owners = await table.changes(OWNERS_ROOT, 0)
    authority = Authority([version for row in owners.rows if (version := _make_version(row))])
    for change in changes:
        allowed = authority.find_owners(change.path, AFTER_ALL)
        if allowed is not None and author not in allowed:
            return Forbidden(change.path, tuple(sorted(allowed)))
    writes = [await _make_write(table, change, author) for change in changes]
    return _Plan(tuple(writes), owners.revision)


def _make_version(row: Row) -> Version | None:
    if row.value is None:
        return Version(row, None)
    try:
        return Version(row, parse_setting(row.key, row.value))
    except SettingsError:
        return None


async def _make_write(table: Table, change: Change, author: str) -> Write:
    expected = change.expected
    if expected is None:
        row = await table.read(change.path)
        expected = row.revision if row else ABSENT
    return Write(change.path, change.text, expected, author)


async def _resolve_unknown(table: Table, plan: _Plan, detail: str) -> Outcome:
    # The conditional writes can be sent again as they are: they take effect at most once.
    wait_s = RESEND_DELAY_S
    for _ in range(RESEND_ATTEMPTS):
        await asyncio.sleep(wait_s)
        wait_s *= 2
        try:
            return await _read_back(table, plan) or await _send_again(table, plan)
        except (TableError, TimeoutError) as error:
            detail = str(error)
    return Unknown(detail)


async def _read_back(table: Table, plan: _Plan) -> Outcome | None:
    """:return: outcome that the rows show; ``None`` if none of them has changed."""
    changes = await table.changes(ROOT, plan.since)
    changed = {row.key: row for row in changes.rows}
    rows = [changed.get(write.key) for write in plan.writes]
    if all(map(_took_effect, plan.writes, rows)):
        return Accepted(tuple(row for row in rows if row and row.value is not None))
    for write, row in zip(plan.writes, rows, strict=True):
        if row is not None and row.revision != write.expected:
            return Conflict(write.key, write.expected or ABSENT, row)
    return None


async def _send_again(table: Table, plan: _Plan) -> Outcome:
    results = await table.commit(plan.writes, atomic=True)
    # The first commit may have taken effect after the read-back. The results show it, while
    # another read could come from a lagging replica.
    if all(map(_took_effect_after_commit, plan.writes, results)):
        return Accepted(tuple(result.row for result in results if result.row is not None))
    return _classify_results(plan.writes, results)


def _took_effect_after_commit(write: Write, result: WriteResult) -> bool:
    return write.value is None if result.row is None else _took_effect(write, result.row)


def _took_effect(write: Write, row: Row | None) -> bool:
    if row is None:
        return write.value is None and write.expected == ABSENT
    newer = row.revision > (write.expected or ABSENT)
    return newer and row.value == write.value and row.author == write.author


def _classify_results(writes: Sequence[Write], results: Sequence[WriteResult]) -> Outcome:
    if all(result.done for result in results):
        return Accepted(tuple(result.row for result in results if result.row is not None))
    for write, result in zip(writes, results, strict=True):
        revision = result.row.revision if result.row else ABSENT
        if revision != write.expected:
            return Conflict(write.key, write.expected or ABSENT, result.row)
    return Unknown("the table refused a write whose condition held")


__all__ = [
    "Accepted",
    "Change",
    "Conflict",
    "Forbidden",
    "Outcome",
    "Unavailable",
    "Unknown",
    "publish_changes",
]
