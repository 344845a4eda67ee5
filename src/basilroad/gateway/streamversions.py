"""Software versions of streams, which go on only at endpoints of the version that began them."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from basilroad.gateway.call import Call
    from basilroad.gateway.directory import Directory

MAX_REMEMBERED = 4096
"""Streams whose version is remembered; the oldest leave first."""


class StreamVersions:
    """Remembers by which software version each stream was begun.

    The version of a stream is that of its first event that was passed on to its caller.

    :param directory: the listed endpoints
    """

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._known: OrderedDict[tuple[str, str, str], str] = OrderedDict()

    def may_begin(self, service: str, version: str) -> bool:
        """Check whether new streams may be placed at a version now.

        :param service: their service
        :param version: the version
        :return: false while a record that they need can't be made
        """
        del service, version
        return True

    def begin(self, call: Call, version: str) -> None:
        """Prepare the record of a new stream whose request is sent, while it waits for an event.

        :param call: the call
        :param version: version of the endpoint
        """

    async def confirm(self, call: Call, version: str) -> bool:
        """Wait until the first event of a new stream may be passed on.

        :param call: the call
        :param version: version of the endpoint that made it
        :return: false if its version can't be recorded, so that it may not be passed on
        """
        self._known[call.service, call.workspace, call.id] = version
        while len(self._known) > MAX_REMEMBERED:
            self._known.popitem(last=False)
        return True

    def end(self, call: Call) -> None:
        """Record that the response to a call has ended, so that its caller may come back.

        :param call: the call
        """

    async def find(self, call: Call) -> str | None:
        """Find the version of the stream that a caller takes up again.

        :param call: the call, which names it in ``resumes``
        :return: the version; ``None`` if it isn't known, so that the stream may not go on
        :raises RefusedError: the records can't be read now
        """
        known = self._known.get((call.service, call.workspace, call.resumes))
        if known is not None:
            return known
        versions = {e.entry.version for e in self._directory.list_by_service(call.service)}
        return versions.pop() if len(versions) == 1 else None


__all__ = ["StreamVersions"]
