"""A server whose reports of its start can be set."""

from __future__ import annotations

import asyncio

import attrs

from basilroad.standin.appserver import AppServerStandin


@attrs.define
class ReportingServer(AppServerStandin):
    """Reports its start.

    :param start_ms: the start; ``None`` to report none
    :param refuses_reports: whether it wants no reports for a while
    :param spoiled_report: body of its reports in place of a sound one
    :param closes_reports: number of reports after which it closes the connection
    :param silences_reports: whether it answers none
    :param cuts_reports: number of requests for reports at which it ends the connection
    """

    start_ms: int | None = 1
    refuses_reports: bool = False
    spoiled_report: bytes = b""
    closes_reports: int = 0
    silences_reports: bool = False
    cuts_reports: int = 0

    async def _report(self, writer: asyncio.StreamWriter) -> None:
        if self.cuts_reports:
            self.cuts_reports -= 1
            raise ConnectionResetError
        self.reported_at.append(0.0)
        while self.silences_reports:
            await asyncio.sleep(0.01)
        if self.refuses_reports:
            writer.write(b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n")
            return
        body = b"{}" if self.start_ms is None else b'{"born": %d}' % self.start_ms
        body = self.spoiled_report or body
        closing = "Connection: close\r\n" if self.closes_reports > 0 else ""
        self.closes_reports -= 1
        named = f"Server-Limit: {self.limit}\r\n" if self.limit else ""
        added = (named + closing).encode()
        head = b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n" % (added, len(body))
        writer.write(head + body)


__all__ = ["ReportingServer"]
