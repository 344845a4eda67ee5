"""What callers record of their requests."""

from __future__ import annotations

import asyncio
import os
import random
import time
from functools import partial
from types import SimpleNamespace

import pytest
from aiohttp import web

from basilroad.standin.streamevents import StreamEvent
from soak.callers import MAX_TAKE_UPS, Caller
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


class BreakingGateway:
    """Breaks each new stream off after an event, and refuses the first tries to take it up.

    :param refusals: number of these tries
    """

    def __init__(self, refusals: int) -> None:
        self._refusals = refusals

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        last_event = int(request.headers.get("Last-Event-Id", 0))
        if last_event and self._refusals:
            self._refusals -= 1
            return web.Response(status=503, headers={"Retry-After": "0.01"}, body=b"not run")
        response = web.StreamResponse()
        response.enable_chunked_encoding()
        await response.prepare(request)
        await response.write(StreamEvent(last_event + 1, "v1", "i-1/1").encode())
        if not last_event and request.transport is not None:
            request.transport.close()
        return response


# fault: a caller gave a stream up after one refusal, which has a body that arrives whole
@pytest.mark.parametrize(("refusals", "resumes"), [(0, True), (1, True), (3, True), (4, False)])
async def test_a_refused_take_up_is_tried_again(refusals: int, *, resumes: bool) -> None:
    address = find_free_address()
    runner = web.ServerRunner(web.Server(BreakingGateway(refusals).serve))
    await runner.setup()
    await web.TCPSite(runner, address.ip, address.port).start()
    gateway = SimpleNamespace(front=f"http://{address.ip}:{address.port}", pid=os.getpid())
    record, stop = Record(), asyncio.Event()
    world = SimpleNamespace(
        settings=SoakSettings(), record=record, keys={"key": "w"}, gateways=[gateway]
    )
    task = asyncio.ensure_future(Caller(world, random.Random(1), (Kind.STREAM,)).run(stop))
    while not record.requests:
        await asyncio.sleep(0)
    stop.set()
    await task
    await runner.cleanup()
    first, *later = record.requests.values()
    assert not any(request.aborted for request in (first, *later))
    assert len(later) == min(refusals + 1, MAX_TAKE_UPS)
    assert [request.status for request in later[:refusals]] == [503] * refusals
    assert (later[-1].status == 200) is resumes
