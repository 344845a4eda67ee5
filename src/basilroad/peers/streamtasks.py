"""Tasks that serve the stream between an entry and an agent."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable
from typing import Any

from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

LOST = (GRPCError, OSError, ProtocolError, StreamTerminatedError)
"""Errors of a stream whose peer or connection is gone."""

_LOGGER = logging.getLogger(__name__)


async def end_tasks(tasks: Iterable[asyncio.Task[Any]]) -> None:
    """Cancel the tasks of a stream, and log the errors that ended it.

    :param tasks: the tasks, some of which may have ended
    """
    tasks = list(tasks)
    for task in tasks:
        task.cancel()
    for result in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(result, LOST):
            _LOGGER.info("stream lost", extra={"detail": repr(result)})
        elif isinstance(result, Exception):
            _LOGGER.error("stream failed", exc_info=result)


__all__ = ["end_tasks"]
