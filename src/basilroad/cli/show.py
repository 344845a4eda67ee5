"""Texts that the settings commands print."""

from __future__ import annotations

import difflib
from collections.abc import Iterable
from typing import Any

import msgspec

from basilroad.coordination.table import Row
from basilroad.settings.file import show_settings
from basilroad.settings.progress import HostReports, Progress
from basilroad.settings.status import EndpointLoad


def decode_value(row: Row) -> Any:
    """:return: what a row says, or its bare text if that is no JSON."""
    try:
        return msgspec.json.decode(row.value or "null")
    except msgspec.DecodeError:
        return row.value


def show_row(row: Row) -> str:
    """:return: a row as YAML that can be put again, below a line with its revision."""
    author = row.author or "nobody"
    if row.value is None:
        return f"# revision {row.revision} by {author}: deleted\n"
    return f"# revision {row.revision} by {author}\n{show_settings({row.key: decode_value(row)})}"


def show_difference(path: str, row: Row | None, value: Any) -> str:
    """:return: what a file would change at a path, as a unified diff; empty if nothing."""
    old = show_settings({path: decode_value(row)}) if row else ""
    new = show_settings({path: value})
    revision = f"revision {row.revision}" if row else "no row"
    lines = difflib.unified_diff(
        old.splitlines(keepends=True), new.splitlines(keepends=True), f"table ({revision})", "file"
    )
    return "".join(lines)


def show_progress(progress: Progress) -> str:
    """:return: on how many hosts a setting is in force, and why not on others."""
    count = f"in force on {progress.in_force} of {progress.hosts}"
    lines = [f"{progress.path}: revision {progress.revision} {count}"]
    by_reason: dict[str, list[str]] = {}
    for refusal in progress.refusals:
        by_reason.setdefault(refusal.reason, []).append(refusal.host)
    for reason, hosts in by_reason.items():
        lines.append(f"  refused by {_list_some(hosts)}: {reason}")
    return "\n".join(lines)


def show_reports(reports: HostReports) -> str:
    """:return: the load and the drains of each host, and which hosts are late."""
    lines = [f"hosts: {len(reports.current)} report"]
    for status in reports.current:
        state = status.state
        loads = [_show_load(load) for load in state.loads]
        loads += [f"drains {name} ({count} in flight)" for name, count in state.drains]
        lines.append(f"  {status.host} ({state.role}): {', '.join(loads) or 'no load'}")
        lines += [f"    falls short: {text}" for text in state.shortages]
    if reports.late:
        lines.append(f"  late: {_list_some(sorted(reports.late))}")
    if reports.silent:
        lines.append(f"  listed, but without a report: {_list_some(reports.silent)}")
    return "\n".join(lines)


def _show_load(load: EndpointLoad) -> str:
    parts = [f"{load.endpoint} {load.running}/{load.slots}", load.loaded]
    if load.pending:
        parts.append(f"({load.state}, then {load.pending})")
    elif load.state not in ("", "ready"):
        parts.append(f"({load.state})")
    return " ".join(part for part in parts if part)


def _list_some(names: Iterable[str], most: int = 5) -> str:
    listed = list(names)
    more = f" and {len(listed) - most} more" if len(listed) > most else ""
    return ", ".join(listed[:most]) + more


__all__ = ["decode_value", "show_difference", "show_progress", "show_reports", "show_row"]
