"""Checks that a connection leads to the start of an endpoint that the listing describes."""

from __future__ import annotations

import asyncio
import enum
import logging
import time
from typing import TYPE_CHECKING

from basilroad.coordination.decoding import DecodeError
from basilroad.gateway.calls.attempt import NotRun
from basilroad.gateway.registry.notices import Purpose
from basilroad.http.messages import ChannelError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from basilroad.gateway.calls.attempt import EndpointProtocol
    from basilroad.gateway.registry.directory import Directory
    from basilroad.gateway.registry.endpoint import Endpoint
    from basilroad.gateway.registry.reports import Report, ReportReader
    from basilroad.http.channels import Channel

START_TIMEOUT_S = 0.5
"""Time limit of the report of the start; sound engines fall silent for a second or so, and
a backoff and further checks follow."""

RESTART_LISTED_S = 5.0
"""Time after an endpoint cut a connection, or after the listing could not be read, within which the
listing shows its restart; three missed check-ins and a pause of the watch."""

_LOGGER = logging.getLogger(__name__)


class StartVerdict(enum.Enum):
    """What the report of an endpoint says of its start."""

    NAMED = "the listed one"
    NEVER_NAMED = "it reports none"
    OTHER = "another one"
    REFUSED = "no readable report"
    UNANSWERED = "no report"


class StartCheck:
    """Asks endpoints for their start on connections that are to carry streams, or beside them.

    An endpoint may start again with other software under its id and address. Until the listing
    shows it, only its report names the start. A connection leads to one start as long as it lasts.

    :param directory: the listed endpoints
    :param protocol: reads the start from reports
    :param reports: reads the reports
    :param acquire_permit: gets a permit for a request to an endpoint that named a limit
    """

    def __init__(
        self,
        directory: Directory,
        protocol: EndpointProtocol,
        reports: ReportReader,
        acquire_permit: Callable[[Endpoint], Awaitable[bool]],
    ) -> None:
        self._directory = directory
        self._protocol = protocol
        self._reports = reports
        self._acquire_permit = acquire_permit

    async def confirm(self, endpoint: Endpoint, channel: Channel) -> Channel | NotRun:
        """Check the start at the other end of a connection before a stream is sent on it.

        The report uses the permit of the stream if the endpoint named a limit.

        :param endpoint: the endpoint
        :param channel: a connection to it, which is closed if the check fails
        :return: the connection to use, a new one if the endpoint had closed the given one; or why
            no stream may be sent: if it only lacks a permit, the connection is kept for the next
        """
        confirmed = await self._confirm_listed(endpoint, channel)
        if confirmed is None:
            return NotRun("the start of the endpoint was not confirmed")
        # the report may have named a limit
        try:
            has_permit = await self._take_permit(endpoint)
        except BaseException:
            confirmed.close()
            raise
        if not has_permit:
            self._keep(endpoint, confirmed)
            return NotRun("the check of the start used the permit", lacks_permit=True)
        return confirmed if confirmed.usable else NotRun("the endpoint closed the connection")

    async def ask(self, endpoint: Endpoint, expected_ms: int) -> StartVerdict:
        """Ask an endpoint for its start on any connection.

        :param endpoint: the endpoint
        :param expected_ms: its listed start
        :return: what it names
        """
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                report = await self._reports.ask(endpoint, Purpose.START)
        except (ChannelError, TimeoutError) as error:
            _log_unconfirmed(endpoint, repr(error))
            return StartVerdict.UNANSWERED
        return self._judge(endpoint, report, expected_ms)

    def may_ask_beside(self, endpoint: Endpoint, channel: Channel) -> bool:
        """:return: whether the start is asked for while a stream runs on a connection."""
        if not endpoint.entry.started_ms or _is_confirmed(endpoint, channel):
            return False
        # a permit is worth a stream
        return not endpoint.notices.limit.is_in_force(time.monotonic())

    def is_due(self, endpoint: Endpoint, channel: Channel, *, is_bound: bool) -> bool:
        """Check whether the start has to be confirmed before a stream is sent on a connection.

        :param endpoint: the endpoint
        :param channel: the connection
        :param is_bound: whether the stream has begun, so that it may resume at its version only
        :return: whether the endpoint may have started again with another version
        """
        # resumed streams are few, and hosts without a call at an endpoint see no sign of its
        # restart, so each connection is checked before the first of them
        if not endpoint.entry.started_ms or _is_confirmed(endpoint, channel):
            return False
        if is_bound or time.monotonic() - endpoint.cut_at < RESTART_LISTED_S:
            return True
        if self._directory.was_unreadable_within(RESTART_LISTED_S):
            return True
        return self._directory.has_versions(endpoint.entry.service)

    async def _confirm_listed(self, endpoint: Endpoint, channel: Channel) -> Channel | None:
        """:return: the connection on which the endpoint confirmed its start; ``None`` if closed."""
        expected_ms = endpoint.entry.started_ms
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                channel, report = await self._read_report(endpoint, channel)
        except (ChannelError, TimeoutError) as error:
            _log_unconfirmed(endpoint, repr(error))
            endpoint.record_unreachable(time.monotonic())
            if channel.is_cut_off:
                endpoint.record_cut(time.monotonic())
            return None
        verdict = self._judge(endpoint, report, expected_ms)
        if verdict not in (StartVerdict.NAMED, StartVerdict.NEVER_NAMED):
            channel.close()
            # it serves calls that need no confirmed start
            endpoint.record_unconfirmed(time.monotonic())
            return None
        channel.confirmed_start_ms = expected_ms
        if channel.usable or endpoint.notices.limit.is_in_force(time.monotonic()):
            return channel
        return await self._open_confirmed(endpoint, expected_ms)

    async def _open_confirmed(self, endpoint: Endpoint, expected_ms: int) -> Channel | None:
        """Open a connection, and confirm it by a report that is asked for on another one after it.

        :return: the connection; ``None`` if it was not confirmed
        """
        try:
            channel = await endpoint.pool.open(0)
        except ChannelError as error:
            _log_unconfirmed(endpoint, repr(error))
            endpoint.record_unreachable(time.monotonic())
            return None
        try:
            verdict = await self.ask(endpoint, expected_ms)
        except BaseException:
            channel.close()
            raise
        if verdict not in (StartVerdict.NAMED, StartVerdict.NEVER_NAMED):
            channel.close()
            endpoint.record_unconfirmed(time.monotonic())
            return None
        channel.confirmed_start_ms = expected_ms
        return channel

    async def _read_report(self, endpoint: Endpoint, channel: Channel) -> tuple[Channel, Report]:
        is_reused, notices = channel.requests > 0, endpoint.notices
        try:
            return channel, await self._reports.exchange(endpoint, channel, notices, Purpose.START)
        except ChannelError:
            # a live endpoint may have closed an idle connection; a permit is for one request
            is_limited = notices.limit.is_in_force(time.monotonic())
            if not (is_reused and channel.is_cut_off) or is_limited:
                raise
        channel = await endpoint.pool.open(0)
        return channel, await self._reports.exchange(endpoint, channel, notices, Purpose.START)

    def _judge(self, endpoint: Endpoint, report: Report, expected_ms: int) -> StartVerdict:
        if report.is_refused:
            _log_unconfirmed(endpoint, f"status {report.status}")
            return StartVerdict.REFUSED
        try:
            started_ms = self._protocol.decode_start(report.body)
        except DecodeError as error:
            _LOGGER.warning(
                "start not confirmed", extra={"endpoint": endpoint.id, "detail": repr(error)}
            )
            return StartVerdict.REFUSED
        # an endpoint that has reported one and now reports none runs other software
        never_reports = started_ms is None and not endpoint.reports_start
        if started_ms != expected_ms and not never_reports:
            _LOGGER.warning(
                "endpoint restarted before it was listed",
                extra={
                    "endpoint": endpoint.id,
                    "listed_ms": expected_ms,
                    "started_ms": started_ms,
                },
            )
            return StartVerdict.OTHER
        endpoint.reports_start = started_ms is not None
        return StartVerdict.NEVER_NAMED if never_reports else StartVerdict.NAMED

    def _keep(self, endpoint: Endpoint, channel: Channel) -> None:
        if _is_confirmed(endpoint, channel):
            endpoint.pool.keep(channel)
        else:
            # its restart was listed meanwhile
            channel.close()

    async def _take_permit(self, endpoint: Endpoint) -> bool:
        if not await self._acquire_permit(endpoint):
            return False
        return endpoint.notices.limit.take_permit(time.monotonic())


def _is_confirmed(endpoint: Endpoint, channel: Channel) -> bool:
    return channel.confirmed_start_ms == endpoint.entry.started_ms


def _log_unconfirmed(endpoint: Endpoint, detail: str) -> None:
    _LOGGER.info("start not confirmed", extra={"endpoint": endpoint.id, "detail": detail})


__all__ = ["RESTART_LISTED_S", "START_TIMEOUT_S", "StartCheck", "StartVerdict"]
