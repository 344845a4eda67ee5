"""Load reports that engines give on request."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

import attrs

from basilroad.gateway.registry.endpoint import EngineReport
from basilroad.gateway.registry.limits import NamedLimit
from basilroad.gateway.registry.notices import Purpose, Source
from basilroad.http.channels import SHORT_BODY_BYTES
from basilroad.http.messages import NO_REQUEST_ID, ChannelError, ConnectError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from basilroad.gateway.calls.attempt import EndpointProtocol
    from basilroad.gateway.dispatch.selection import Locality
    from basilroad.gateway.registry.endpoint import Endpoint
    from basilroad.gateway.registry.notices import EndpointNotices
    from basilroad.http.channels import Channel

REPORT_TIMEOUT_S = 0.06
"""Time limit of a report before a placement, beyond the round trip; a sound engine answers within a
few milliseconds, and the call waits meanwhile."""

STATUS_OK = 200

_LOGGER = logging.getLogger(__name__)


@attrs.frozen
class Report:
    """Response of an engine to a request for its report.

    :param status: HTTP status
    :param body: complete body
    """

    status: int
    body: bytes

    @property
    def is_refused(self) -> bool:
        """:return: whether the engine answered without a report, as under a limit."""
        return self.status != STATUS_OK


@attrs.define
class ReportReader:
    """Asks engines for their reports, on kept connections.

    :param protocol: encoding of requests and reports
    :param place: location of this gateway
    :param requests: number of requests sent
    """

    protocol: EndpointProtocol
    place: Locality
    requests: int = 0

    async def refresh(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Read the reports of several engines at once.

        :param endpoints: the engines
        :return: those that reported in time
        """
        asked = list(endpoints)
        answered = await asyncio.gather(*(self.read(e, REPORT_TIMEOUT_S) for e in asked))
        return [endpoint for endpoint, ok in zip(asked, answered, strict=True) if ok]

    async def read(
        self, endpoint: Endpoint, timeout_s: float, purpose: Purpose = Purpose.REPORT
    ) -> bool:
        """Read the report of one engine.

        :param endpoint: the engine, which keeps the report
        :param timeout_s: time limit beyond the round trip, in seconds
        :param purpose: whether the report is read before a placement or to probe the engine
        :return: whether it answered in time
        """
        limit_s = timeout_s + 2 * self.place.distance_s(endpoint.entry.data_centre)
        self.requests += 1
        try:
            async with asyncio.timeout(limit_s):
                response = await self.ask(endpoint, purpose)
        except ConnectError:
            endpoint.record_cut(time.monotonic())
            return False
        except (ChannelError, TimeoutError):
            return False
        report = self.protocol.decode_report(response.body)
        if report is None:
            _LOGGER.debug("report not understood", extra={"endpoint": endpoint.id})
        else:
            endpoint.record_report(report, time.monotonic())
        return True

    async def ask(self, endpoint: Endpoint, purpose: Purpose) -> Report:
        """Read a report on any connection, which is kept.

        :param endpoint: the engine
        :param purpose: what the report is read for
        :return: the response
        :raises ChannelError: there is no report
        """
        notices = endpoint.notices
        # a late copy of an earlier report would pass for a sign of life, or for that of a start
        request_id = None if purpose is Purpose.REPORT else NO_REQUEST_ID
        channel = await endpoint.pool.open(request_id=request_id)
        reused = channel.requests > 0
        try:
            report = await self.exchange(endpoint, channel, notices, purpose)
        except ChannelError:
            # an idle connection may have been closed by a live endpoint
            if not reused:
                raise
            channel = await endpoint.pool.open(0)
            report = await self.exchange(endpoint, channel, notices, purpose)
        endpoint.pool.keep(channel)
        return report

    async def exchange(
        self, endpoint: Endpoint, channel: Channel, notices: EndpointNotices, purpose: Purpose
    ) -> Report:
        """Read a report on a given connection.

        :param endpoint: the engine
        :param channel: a connection to it, which is closed on a failure
        :param notices: notices of the lifetime that is asked
        :param purpose: what the report is read for
        :return: the response
        :raises ChannelError: there is no report
        """
        try:
            # Liveness checks the permission of probes itself, and counts them
            if purpose is not Purpose.PROBE and not notices.permits(purpose, time.monotonic()):
                raise ChannelError("the engine leaves or wants no requests")
            asked_at = time.monotonic()
            channel.send(self.protocol.encode_probe(endpoint.entry.address))
            head = await channel.read_head()
            if self.protocol.read_request_id(head):
                raise ChannelError("the response belongs to a call")
            now, source = time.monotonic(), Source(purpose.value)
            notices.record(self.protocol.read_notice(head, endpoint.id), source, now)
            per_s = self.protocol.read_limit(head, endpoint.id)
            if per_s is not None:
                notices.record_limit(NamedLimit(per_s, asked_at), source, now)
            body = await channel.read_body(SHORT_BODY_BYTES)
        except BaseException:
            channel.close()
            # crowded engines reset the connections of further reports
            if channel.is_cut_off and purpose is not Purpose.START:
                endpoint.record_cut(time.monotonic())
            raise
        return Report(head.status, body)


__all__ = ["REPORT_TIMEOUT_S", "EngineReport", "Report", "ReportReader"]
