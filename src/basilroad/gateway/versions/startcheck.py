"""Checks that a connection leads to the start of an endpoint that the listing describes."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from basilroad.coordination.decoding import DecodeError
from basilroad.endpoints.channels import ChannelError
from basilroad.gateway.calls.attempt import NotRun
from basilroad.gateway.registry.notices import Purpose

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from basilroad.endpoints.channels import Channel
    from basilroad.gateway.calls.attempt import EndpointProtocol
    from basilroad.gateway.registry.directory import Directory
    from basilroad.gateway.registry.endpoint import Endpoint
    from basilroad.gateway.registry.reports import Report, ReportReader

START_TIMEOUT_S = 0.5
"""Time limit of the report of the start; sound engines fall silent for a second or so, and
a backoff and further checks follow."""

RESTART_LISTED_S = 5.0
"""Time after an endpoint cut a connection, or after the listing could not be read, within which the
listing shows its restart; three missed check-ins and a pause of the watch."""

_LOGGER = logging.getLogger(__name__)


class StartCheck:
    """Asks endpoints for their start on connections that are to carry streams.

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

    async def confirm(
        self, endpoint: Endpoint, channel: Channel, *, is_bound: bool
    ) -> Channel | NotRun:
        """Check the start at the other end of a connection, once for each connection.

        It is checked if the endpoint may have started again with another version. The report uses
        the permit of the stream if the endpoint named a limit.

        :param endpoint: the endpoint
        :param channel: a connection to it, which is closed if the check fails
        :param is_bound: whether the stream has begun, so that it may resume at its version only
        :return: the connection to use, a new one if the endpoint had closed the given one; or why
            no stream may be sent: if it only lacks a permit, the connection is kept for the next
        """
        is_confirmed = channel.confirmed_start_ms == endpoint.entry.started_ms
        if is_confirmed or not self._is_due(endpoint, is_bound=is_bound):
            return channel
        confirmed = await self._confirm_listed(endpoint, channel)
        if confirmed is None:
            endpoint.record_unreachable(time.monotonic())
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

    def _is_due(self, endpoint: Endpoint, *, is_bound: bool) -> bool:
        # resumed streams are few, and hosts without a call at an endpoint see no sign of its
        # restart, so each connection is checked before the first of them
        if not endpoint.entry.started_ms:
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
            _LOGGER.info(
                "start not confirmed", extra={"endpoint": endpoint.id, "detail": repr(error)}
            )
            return None
        if not self._is_confirmed(endpoint, report, expected_ms):
            channel.close()
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

    def _is_confirmed(self, endpoint: Endpoint, report: Report, expected_ms: int) -> bool:
        if report.is_refused:
            _LOGGER.info(
                "start not confirmed",
                extra={"endpoint": endpoint.id, "detail": f"status {report.status}"},
            )
            return False
        try:
            started_ms = self._protocol.decode_start(report.body)
        except DecodeError as error:
            _LOGGER.warning(
                "start not confirmed", extra={"endpoint": endpoint.id, "detail": repr(error)}
            )
            return False
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
            return False
        endpoint.reports_start = started_ms is not None
        return True

    def _keep(self, endpoint: Endpoint, channel: Channel) -> None:
        if channel.confirmed_start_ms == endpoint.entry.started_ms:
            endpoint.pool.keep(channel)
        else:
            # its restart was listed meanwhile
            channel.close()

    async def _take_permit(self, endpoint: Endpoint) -> bool:
        if not await self._acquire_permit(endpoint):
            return False
        return endpoint.notices.limit.take_permit(time.monotonic())


__all__ = ["RESTART_LISTED_S", "StartCheck"]
