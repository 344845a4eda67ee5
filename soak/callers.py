"""Callers that reuse their connections until the gateway process closes them."""

from __future__ import annotations

import asyncio
import random
import time

import aiohttp

from soak.records import Kind, Request
from soak.settings import CALLER_TIMEOUT_MARGIN_S, DEADLINE_S
from soak.world import HOST, World

PATHS = {Kind.ORDER: "/o/x", Kind.LOOK: "/l/x?a=1", Kind.STREAM: "/s/x", Kind.MOVED: "/m/x"}
ABORT_SHARE = 0.05
"""Share of requests that the caller aborts early."""

REVOKED_KEY_SHARE = 0.15
"""Share of requests that carry a revoked key, once there is one."""

MEAN_PAUSE_S = 0.03
"""Mean seconds between a response and the next request."""


class Caller:
    """Sends requests one after another, each to a random gateway.

    :param world: the deployment
    :param generator: random generator that decides the requests
    """

    def __init__(self, world: World, generator: random.Random) -> None:
        self._world = world
        self._random = generator
        self._all_keys = dict(world.keys)

    async def run(self, stop: asyncio.Event) -> None:
        """Send requests until ``stop`` is set.

        :param stop: set when no further request is to be sent
        """
        timeout = aiohttp.ClientTimeout(total=DEADLINE_S + CALLER_TIMEOUT_MARGIN_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while not stop.is_set():
                await self._send(session, self._draw_request())
                await asyncio.sleep(self._random.expovariate(1 / MEAN_PAUSE_S))

    def _draw_request(self) -> Request:
        kind = self._random.choice((Kind.ORDER, Kind.ORDER, Kind.LOOK, Kind.MOVED, Kind.STREAM))
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

    async def _send(self, session: aiohttp.ClientSession, request: Request) -> None:
        aborts = self._random.random() < ABORT_SHARE
        patience_s = self._random.uniform(0.01, 0.4) if aborts else None
        try:
            async with asyncio.timeout(patience_s):
                await self._exchange(session, request)
        except TimeoutError:
            request.aborted = aborts
            request.detail = "no end in time"
        except (aiohttp.ClientError, OSError) as error:
            request.detail = type(error).__name__
        finally:
            request.ended_at = time.monotonic()

    async def _exchange(self, session: aiohttp.ClientSession, request: Request) -> None:
        headers = {
            "Host": HOST,
            "X-Attempt-Id": request.id,
            "X-Key": request.key,
            "X-Deadline-Ms": str(round(1000 * DEADLINE_S)),
        }
        if request.kind is Kind.STREAM:
            headers |= {"X-Token-Usage": "800,200", "X-Prompt-Prefix": f"{request.id}:800"}
        url = self._world.gateways[request.gateway].front + request.target
        async with session.post(url, data=request.body, headers=headers) as response:
            request.status = response.status
            request.answered_at = time.monotonic()
            request.leaving = response.headers.get("Server-Leaving") == "1"
            request.limited = "Server-Limit" in response.headers
            request.seal = response.headers.get("X-Response-Seal", "").removeprefix("seal-of-")
            async for part in response.content.iter_any():
                request.answer += part
            request.whole = True


__all__ = ["Caller"]
