"""Check when the queue of a stream counts as sent."""

from __future__ import annotations

import asyncio

from basilroad.peers.outbox import Outbox
from basilroad.peers.wire import peer_pb2 as wire


# fault: messages that were queued while a frame was being sent counted as sent with it, and the
# stop of an agent closed the stream ahead of the ends of its last generations
async def test_a_flush_that_is_requested_beside_a_frame_is_awaited() -> None:
    outbox: Outbox[wire.AgentMessage] = Outbox(0.0)
    outbox.push(wire.AgentMessage(heartbeat=wire.Heartbeat()))
    await outbox.take()
    outbox.request_flush()
    outbox.mark_sent()
    drained = asyncio.create_task(outbox.wait_drained())
    await asyncio.sleep(0)
    assert not drained.done()
    await outbox.take()
    outbox.mark_sent()
    await drained
