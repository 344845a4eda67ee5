"""Callers that reuse their connections until the gateway process closes them."""

from __future__ import annotations

import asyncio
import random
import time

import aiohttp

from basilroad.standin.streamevents import decode_events
from soak.promise import OK, UNCONNECTED
from soak.records import Kind, Request
from soak.rundelay import RunLimit
from soak.settings import CALLER_TIMEOUT_MARGIN_S, DEADLINE_S, STREAM_TIME_S
from soak.world import HOST, World

PATHS = {Kind.ORDER: "/o/x", Kind.LOOK: "/l/x?a=1", Kind.STREAM: "/s/x", Kind.MOVED: "/m/x"}
ABORT_SHARE = 0.05
"""Share of requests that the caller aborts early."""

REVOKED_KEY_SHARE = 0.15
"""Share of requests that carry a revoked key, once there is one."""

MEAN_PAUSE_S = 0.03
"""Mean seconds between a response and the next request."""

KINDS = (Kind.ORDER, Kind.ORDER, Kind.LOOK, Kind.MOVED, Kind.STREAM)
"""Kinds of requests, as often as they are sent."""

MAX_TAKE_UPS = 4
"""Tries to take up a stream that broke off, without those that reach no gateway: a load balancer
would send them to one that is up."""

TAKE_UP_PAUSE_S = 0.4
"""Seconds between two tries without a ``Retry-After``; a gateway takes about 1 s to start."""

NOT_RUN = (408, 421, 429, 503)
"""Statuses that promise that a request was not run, so that it may be sent again."""

MAX_RETRY_AFTER_SHARE = 1 / 3
"""Share of the time left up to which a ``Retry-After`` is honoured."""

MIN_TIME_LEFT_S = 0.5
"""Seconds that a try must have left."""


class Caller:
    """Sends requests one after another, each to a random gateway.

    :param world: the deployment
    :param generator: random generator that decides the requests
    :param kinds: kinds of its requests, as often as they are sent
    """

    def __init__(
        self, world: World, generator: random.Random, kinds: tuple[Kind, ...] = KINDS
    ) -> None:
        self._world = world
        self._random = generator
        self._kinds = kinds
        self._all_keys = dict(world.keys)

    async def run(self, stop: asyncio.Event) -> None:
        """Send requests until ``stop`` is set.

        :param stop: set when no further request is to be sent
        """
        timeout = aiohttp.ClientTimeout(total=DEADLINE_S + CALLER_TIMEOUT_MARGIN_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while not stop.is_set():
                request = self._draw_request()
                await self._send(session, request)
                if self._world.settings.has_releases and request.kind is Kind.STREAM:
                    await self._take_up(session, request)
                await asyncio.sleep(self._random.expovariate(1 / MEAN_PAUSE_S))

    def _draw_request(self) -> Request:
        kind = self._random.choice(self._kinds)
        taken = sorted(self._world.record.key_revoked_at)
        if taken and self._random.random() < REVOKED_KEY_SHARE:
            key = self._random.choice(taken)
        else:
            key = self._random.choice(sorted(self._world.keys))
        name = f"{self._random.getrandbits(64):016x}"
        request = Request(
            id=name,
            kind=kind,
            gateway=self._random.randrange(len(self._world.gateways)),
            target=PATHS[kind],
            key=key,
            workspace=self._all_keys[key],
            body=f"body of {name}".encode(),
            sent_at=time.monotonic(),
        )
        self._world.record.requests[name] = request
        return request

    async def _take_up(self, session: aiohttp.ClientSession, first: Request) -> None:
        """Take a stream up where it broke off, at other gateways, within its time."""
        until, last_event, ended = first.sent_at + STREAM_TIME_S, _find_last_event(first), first
        tries = 0
        while last_event and tries < MAX_TAKE_UPS and not (_is_final(ended) or ended.aborted):
            longest_s = MAX_RETRY_AFTER_SHARE * (until - time.monotonic())
            await asyncio.sleep(min(ended.retry_after_s or TAKE_UP_PAUSE_S, max(0.0, longest_s)))
            now = time.monotonic()
            if until - now < MIN_TIME_LEFT_S:
                return
            ended = Request(
                id=f"{self._random.getrandbits(64):016x}",
                kind=first.kind,
                gateway=self._choose_other_gateway(ended.gateway),
                target=first.target,
                key=first.key,
                workspace=first.workspace,
                body=first.body,
                sent_at=now,
                deadline_s=min(DEADLINE_S, until - now),
                resumes=first.id,
                last_event=last_event,
            )
            self._world.record.requests[ended.id] = ended
            await self._send(session, ended)
            last_event = _find_last_event(ended)
            tries += ended.detail not in UNCONNECTED

    def _choose_other_gateway(self, gateway: int) -> int:
        count = len(self._world.gateways)
        return (gateway + self._random.randrange(1, max(2, count))) % count

    async def _send(self, session: aiohttp.ClientSession, request: Request) -> None:
        aborts = self._random.random() < ABORT_SHARE
        abort_after_s = self._random.uniform(0.01, 0.4) if aborts else None
        gateway = self._world.gateways[request.gateway]
        limit = RunLimit(request.deadline_s, lambda: [gateway.pid])
        try:
            async with asyncio.timeout(abort_after_s):
                await self._exchange(session, request)
        except TimeoutError:
            request.aborted = aborts
            request.detail = "no end in time"
        except (aiohttp.ClientError, OSError) as error:
            request.detail = type(error).__name__
        finally:
            request.ended_at = time.monotonic()
            request.lost_s = limit.measure_lost()

    async def _exchange(self, session: aiohttp.ClientSession, request: Request) -> None:
        headers = {
            "Host": HOST,
            "X-Attempt-Id": request.id,
            "X-Key": request.key,
            "X-Deadline-Ms": str(round(1000 * request.deadline_s)),
        }
        if request.kind is Kind.STREAM:
            prompt = request.resumes or request.id
            headers |= {"X-Token-Usage": "800,200", "X-Prompt-Prefix": f"{prompt}:800"}
        if request.resumes:
            headers |= {"Resumes": request.resumes, "Last-Event-Id": str(request.last_event)}
        url = self._world.gateways[request.gateway].front + request.target
        async with session.post(url, data=request.body, headers=headers) as response:
            request.status = response.status
            request.answered_at = time.monotonic()
            request.leaving = response.headers.get("Server-Leaving") == "1"
            request.retry_after_s = float(response.headers.get("Retry-After", 0))
            request.limited = "Server-Limit" in response.headers
            request.seal = response.headers.get("X-Response-Seal", "").removeprefix("seal-of-")
            async for part in response.content.iter_any():
                request.answer += part
            request.whole = True


def _is_final(request: Request) -> bool:
    """:return: whether a whole response leaves nothing to try; a refusal may be sent again."""
    return request.whole and request.status not in NOT_RUN


def _find_last_event(request: Request) -> int:
    """:return: number of the last event received up to the end of a request; 0 for none."""
    events = decode_events(request.answer) if request.status == OK else []
    return events[-1].number if events else request.last_event


__all__ = ["Caller"]
