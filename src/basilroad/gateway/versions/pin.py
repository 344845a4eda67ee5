"""Binds one stream to the software version that began it."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from basilroad.errors import ErrorKind, Refusal, RefusedError, refuse
from basilroad.gateway.versions.startcheck import RESTART_LISTED_S
from basilroad.gateway.versions.streamversions import UNKNOWN_VERSION

if TYPE_CHECKING:
    from basilroad.gateway.calls.attempt import Attempt
    from basilroad.gateway.calls.call import Call
    from basilroad.gateway.registry.directory import Directory
    from basilroad.gateway.registry.endpoint import Endpoint
    from basilroad.gateway.versions.streamversions import StreamVersions

UNKNOWN_MESSAGE = "the software version that began this stream is not known"


class VersionPin:
    """Version at which one stream runs.

    :param call: the call of the stream
    :param versions: memory of the versions of streams
    :param directory: the listed endpoints
    """

    def __init__(self, call: Call, versions: StreamVersions, directory: Directory) -> None:
        self.version: str | None = None
        self._call = call
        self._versions = versions
        self._directory = directory
        self._has_begun = False

    @property
    def is_lost(self) -> bool:
        """:return: whether no endpoint is left at which the stream may resume."""
        if self.version == UNKNOWN_VERSION:
            return True
        if self.version is None or not self._directory.is_reliable:
            return False
        return not self._list_staying()

    def admits(self, endpoint: Endpoint) -> bool:
        """:return: whether the stream may run at an endpoint."""
        return self.version is None or endpoint.entry.version == self.version

    def may_leave(self, endpoint: Endpoint) -> bool:
        """:return: whether there may be another endpoint at which the stream can resume."""
        if self.version is None or not self._directory.is_reliable:
            return True
        return any(other is not endpoint for other in self._list_staying())

    async def find(self) -> None:
        """Find the version of a stream that its caller takes up again.

        :raises RefusedError: it isn't known, or no endpoint of it is left
        """
        if not self._call.events_received:
            return
        self.version = await self._versions.find(self._call)
        if self.version is None:
            raise refuse(ErrorKind.VERSION_UNKNOWN, UNKNOWN_MESSAGE)
        if self.is_lost:
            raise RefusedError(self.build_refusal())

    def begin(self, endpoint: Endpoint) -> None:
        """Prepare the record of a new stream that is sent to an endpoint.

        :param endpoint: the endpoint
        """
        if self.version is None and self._call.route.repeatable:
            self._has_begun = True
            self._versions.begin(self._call, endpoint.entry.version)

    async def confirm(self, version: str) -> bool:
        """Bind the stream to the version that made the first event, once that is recorded.

        :param version: the version
        :return: false if the event may not be passed on
        """
        if self.version is not None:
            return self.version == version
        # streams that may not be resumed need no record
        if self._call.route.repeatable and not await self._versions.confirm(self._call, version):
            return False
        self.version = version
        return True

    def record_cut(self, attempt: Attempt, *, is_other_start: bool) -> None:
        """Give up the version of a stream that may have begun at a restart that was not listed.

        :param attempt: the attempt that was cut off
        :param is_other_start: whether its endpoint named another start than the listed one
        """
        if self.version is None or attempt.is_start_confirmed:
            return
        # the restart was listed while the attempt ran, and may be older than the attempt
        is_recent = attempt.age_s(time.monotonic()) < RESTART_LISTED_S
        if is_other_start or (is_recent and attempt.endpoint.entry.version != self.version):
            self.version = UNKNOWN_VERSION
            self._versions.record_unknown(self._call)

    def record_other_start(self) -> None:
        """Record that the endpoint has started again: nothing may take the stream up later."""
        if self.version not in (None, UNKNOWN_VERSION):
            self._versions.record_unknown(self._call)

    def end(self) -> None:
        """Record that the response has ended."""
        if self._has_begun:
            self._versions.end(self._call)

    def build_refusal(self) -> Refusal:
        """:return: the error for a stream of which no event was passed on."""
        return Refusal(ErrorKind.VERSION_GONE, self.describe_loss())

    def describe_loss(self) -> str:
        """:return: why the stream can't resume, for the caller and the log."""
        if self.version == UNKNOWN_VERSION:
            return UNKNOWN_MESSAGE
        return f"no endpoint of software version {self.version} is left, which began this stream"

    def _list_staying(self) -> list[Endpoint]:
        assert self.version is not None
        return self._directory.list_staying(self._call.service, self.version)


__all__ = ["VersionPin"]
