"""What callers record of their requests."""

from __future__ import annotations

import asyncio
import os
import random
import time
from functools import partial
from types import SimpleNamespace

import pytest

from soak.callers import Caller
from soak.records import Kind, Record
from soak.rundelay import RunLimit, ThreadTimes
from soak.settings import SoakSettings
from support.addresses import find_free_address


# fault: a request ended too late as the machine had not let the soak read its response
async def test_a_request_names_the_time_lost_to_waits_for_a_processor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # all of its time counts as a wait for a processor
    limit = partial(RunLimit, read=lambda _pid: {0: ThreadTimes(time.monotonic())})
    monkeypatch.setattr("soak.callers.RunLimit", limit)
    address = find_free_address()
    gateway = SimpleNamespace(front=f"http://{address.ip}:{address.port}", pid=os.getpid())
    record = Record()
    world = SimpleNamespace(
        settings=SoakSettings(), record=record, keys={"key": "w"}, gateways=[gateway]
    )
    stop = asyncio.Event()
    task = asyncio.ensure_future(Caller(world, random.Random(1), (Kind.LOOK,)).run(stop))
    while not any(request.ended_at for request in record.requests.values()):
        await asyncio.sleep(0.01)
    stop.set()
    await task
    for request in record.requests.values():
        took_s = request.ended_at - request.sent_at
        assert took_s > 0
        assert request.lost_s == pytest.approx(took_s, abs=0.1)
