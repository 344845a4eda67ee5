"""Formats the output of the settings commands."""

from __future__ import annotations

import difflib
from collections.abc import Iterable
from typing import Any

from basilroad.coordination.decoding import DecodeError, decode_json
from basilroad.coordination.table import Row
from basilroad.settings.file import show_settings
from basilroad.settings.progress import HostReports, Progress
from basilroad.settings.status import EndpointLoad


def decode_value(row: Row) -> Any:
    """:return: the decoded value of a row, or its text if it is not valid JSON."""
    try:
        return decode_json(row.value or "null")
    except DecodeError:
        return row.value


def format_row(row: Row) -> str:
    """:return: a row as YAML that ``put`` accepts, preceded by a comment with its revision."""
    author = row.author or "an unknown author"
    if row.value is None:
        return f"# revision {row.revision} by {author}: deleted\n"
    return f"# revision {row.revision} by {author}\n{show_settings({row.key: decode_value(row)})}"


def format_difference(path: str, row: Row | None, value: Any) -> str:
    """:return: the change that a file would make at a path, as a unified diff; empty if none."""
    old = show_settings({path: decode_value(row)}) if row else ""
    new = show_settings({path: value})
    revision = f"revision {row.revision}" if row else "no row"
    lines = difflib.unified_diff(
        old.splitlines(keepends=True), new.splitlines(keepends=True), f"table ({revision})", "file"
    )
    return "".join(lines)


def format_progress(progress: Progress) -> str:
    """:return: on how many hosts a setting is in force, and the reasons of hosts that refuse it."""
    count = f"in force on {progress.in_force} of {progress.hosts}"
    lines = [f"{progress.path}: revision {progress.revision} {count}"]
    by_reason: dict[str, list[str]] = {}
    for refusal in progress.refusals:
        by_reason.setdefault(refusal.reason, []).append(refusal.host)
    for reason, hosts in by_reason.items():
        lines.append(f"  refused by {_join_names(hosts)}: {reason}")
    return "\n".join(lines)


def format_reports(reports: HostReports) -> str:
    """:return: load, drains and shortages by host, and hosts with late or absent reports."""
    lines = [f"hosts: {len(reports.current)} report"]
    for status in reports.current:
        state = status.state
        loads = [_format_load(load) for load in state.loads]
        loads += [f"drains {name} ({count} in flight)" for name, count in state.drains]
        lines.append(f"  {status.host} ({state.role}): {', '.join(loads) or 'no load'}")
        lines += [f"    falls short: {text}" for text in state.shortages]
    if reports.late:
        lines.append(f"  late: {_join_names(sorted(reports.late))}")
    if reports.silent:
        lines.append(f"  listed, but without a report: {_join_names(reports.silent)}")
    return "\n".join(lines)


def _format_load(load: EndpointLoad) -> str:
    parts = [f"{load.endpoint} {load.running}/{load.slots}", load.loaded]
    if load.pending:
        parts.append(f"({load.state}, then {load.pending})")
    elif load.state not in ("", "ready"):
        parts.append(f"({load.state})")
    return " ".join(part for part in parts if part)


def _join_names(names: Iterable[str], limit: int = 5) -> str:
    listed = list(names)
    more = f" and {len(listed) - limit} more" if len(listed) > limit else ""
    return ", ".join(listed[:limit]) + more


__all__ = ["decode_value", "format_difference", "format_progress", "format_reports", "format_row"]
