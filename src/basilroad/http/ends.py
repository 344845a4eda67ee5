"""Ends of connections on which a request had no whole answer yet."""

from __future__ import annotations

import logging
import time
from enum import StrEnum

_LOGGER = logging.getLogger(__name__)


class EndCause(StrEnum):
    """Why a connection ended before a request that was read on it had its whole answer."""

    CALLER_LEFT = "caller_left"
    STREAM_BROKEN = "stream_broken"
    SHUTDOWN = "shutdown"
    ERROR = "error"
    UNREAD_REQUEST = "unread_request"


def log_end(request_id: str, cause: EndCause, arrived_at: float, detail: str = "") -> None:
    """Log the end of a connection with the request that gets no whole answer.

    :param request_id: id of the request; empty without one
    :param cause: why
    :param arrived_at: monotonic seconds at which the request was read
    :param detail: what happened
    """
    _LOGGER.info(
        "connection ended",
        extra={
            "request": request_id,
            "cause": cause.value,
            "detail": detail,
            "waited_ms": round(1000 * (time.monotonic() - arrived_at)),
        },
    )


__all__ = ["EndCause", "log_end"]
