"""Tasks that serve the stream between an entry and an agent."""

from __future__ import annotations

import asyncio
import logging

import pytest
from grpclib.exceptions import StreamTerminatedError

from basilroad.peers.streamtasks import end_tasks


async def fail(error: Exception) -> None:
    raise error


# fault: an unexpected error ended the stream of a peer without a line
@pytest.mark.parametrize(
    ("error", "level"),
    [
        (ValueError("unreadable frame"), logging.ERROR),
        (StreamTerminatedError("peer left"), logging.INFO),
        (ConnectionResetError("reset"), logging.INFO),
    ],
    ids=lambda value: type(value).__name__ if isinstance(value, Exception) else None,
)
async def test_the_error_that_ends_a_stream_is_logged(
    error: Exception, level: int, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    failed = asyncio.ensure_future(fail(error))
    await asyncio.wait({failed})
    await end_tasks({failed})
    assert [record.levelno for record in caplog.records if "stream" in record.message] == [level]


async def test_the_other_tasks_are_cancelled_without_a_line(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    waiting = asyncio.ensure_future(asyncio.sleep(30))
    await end_tasks({waiting})
    assert waiting.cancelled()
    assert not [record for record in caplog.records if "stream" in record.message]
