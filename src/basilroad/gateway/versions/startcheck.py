"""Checks that a connection leads to the start of an endpoint that the listing describes."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from basilroad.endpoints.channels import ChannelError
from basilroad.gateway.notices import Purpose

if TYPE_CHECKING:
    from basilroad.endpoints.channels import Channel
    from basilroad.gateway.attempt import EndpointProtocol
    from basilroad.gateway.directory import Directory
    from basilroad.gateway.endpoint import Endpoint
    from basilroad.gateway.reports import ReportReader

START_TIMEOUT_S = 0.5
"""Time limit of the report that tells the start; sound engines fall silent for a second or so, and
a backoff and further checks follow."""

RESTART_LISTED_S = 5.0
"""Time after an endpoint cut a connection, or after the listing could not be read, within which the
listing shows its restart; three missed check-ins and a pause of the watch."""

_LOGGER = logging.getLogger(__name__)


class StartCheck:
    """Asks endpoints for their start on connections that are to carry streams.

    An endpoint may start again with other software under its id and address. Until the listing
    shows it, only its report tells the start. A connection leads to one start as long as it lasts.

    :param directory: the listed endpoints
    :param protocol: reads the start from reports
    :param reports: reads the reports
    """

    def __init__(
        self, directory: Directory, protocol: EndpointProtocol, reports: ReportReader
    ) -> None:
        self._directory = directory
        self._protocol = protocol
        self._reports = reports

    def is_due(self, endpoint: Endpoint, *, is_bound: bool) -> bool:
        """Check whether an endpoint may have started again with another version.

        Streams that go on are few, and hosts without a call at an endpoint see no sign of its
        restart, so each connection is checked before the first of them.

        :param endpoint: the endpoint
        :param is_bound: whether the stream has begun, so that it may go on at its version only
        :return: whether connections to it have to be checked; never while it names a limit, which
            reports would use up
        """
        now = time.monotonic()
        if not endpoint.entry.started_ms or endpoint.notices.limit.is_in_force(now):
            return False
        if is_bound or now - endpoint.cut_at < RESTART_LISTED_S:
            return True
        if self._directory.was_unreadable_within(RESTART_LISTED_S):
            return True
        return self._directory.has_versions(endpoint.entry.service)

    async def confirm(self, endpoint: Endpoint, channel: Channel) -> bool:
        """Check the start at the other end of a connection, once for each connection.

        :param endpoint: the endpoint
        :param channel: a connection to it, which is closed if the check fails
        :return: whether a stream may be sent on the connection
        """
        expected_ms = endpoint.entry.started_ms
        if channel.confirmed_start_ms == expected_ms:
            return True
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                body = await self._reports.exchange(
                    endpoint, channel, endpoint.notices, Purpose.REPORT
                )
        except (ChannelError, TimeoutError) as error:
            channel.close()
            endpoint.record_unreachable(time.monotonic())
            _LOGGER.info(
                "start not confirmed", extra={"endpoint": endpoint.id, "detail": repr(error)}
            )
            return False
        started_ms = self._protocol.decode_start(body)
        if started_ms is not None and started_ms != expected_ms:
            channel.close()
            endpoint.record_unreachable(time.monotonic())
            _LOGGER.warning(
                "endpoint restarted before it was listed",
                extra={
                    "endpoint": endpoint.id,
                    "listed_ms": expected_ms,
                    "started_ms": started_ms,
                },
            )
            return False
        channel.confirmed_start_ms = expected_ms
        return channel.usable


__all__ = ["StartCheck"]
