"""Runs of calls at endpoints, which crashes may count against."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from basilroad.gateway.registry.endpoint import EndpointState

if TYPE_CHECKING:
    from basilroad.gateway.calls.call import Call
    from basilroad.gateway.registry.endpoint import Endpoint
    from basilroad.gateway.registry.notices import EndpointNotices

BEGINNING_S = 0.3
"""Time after the first event of a stream up to which its endpoint may crash on it; several steps of
an engine of these fleets."""


@attrs.define(eq=False)
class Run:
    """A call at one endpoint, or in the queue.

    :param call: the call
    :param endpoint: the endpoint; ``None`` in the queue
    :param cancel: cancels it
    :param resumed_after: last event of the stream before this run
    :param began: whether the response head has arrived
    :param first_event_at: monotonic seconds of the first event; ``None`` before
    :param passed: whether it is past its beginning
    :param started_at: monotonic seconds
    :param crash: identifier of a crash of the endpoint from now on
    :param version: software version of the endpoint
    """

    call: Call
    endpoint: Endpoint | None = None
    cancel: Callable[[], None] = lambda: None
    resumed_after: int = 0
    began: bool = False
    first_event_at: float | None = None
    passed: bool = False
    started_at: float = attrs.field(factory=time.monotonic)
    crash: str = ""
    version: str = ""
    _notices: EndpointNotices | None = None

    def __attrs_post_init__(self) -> None:
        """Name the process of the endpoint, which may have restarted when the run ends."""
        if self.endpoint is not None:
            self.crash = f"{self.endpoint.id}/{self.endpoint.entry.started_ms}"
            self.version = self.endpoint.entry.version
            self._notices = self.endpoint.notices

    @property
    def has_left(self) -> bool:
        """:return: whether the endpoint announced that it leaves."""
        return self._notices is not None and self._notices.leaving_since is not None

    @property
    def has_ended(self) -> bool:
        """:return: whether the listing shows that this lifetime of the endpoint is over."""
        endpoint = self.endpoint
        if endpoint is None or endpoint.entry.state is EndpointState.DRAINING:
            return False
        return endpoint.removed or endpoint.notices is not self._notices

    def is_at_beginning(self, now: float) -> bool:
        """:return: whether a crash of the endpoint counts against the call."""
        return self.first_event_at is None or now - self.first_event_at < BEGINNING_S


__all__ = ["BEGINNING_S", "Run"]
