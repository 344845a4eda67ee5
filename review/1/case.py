"""TWICE and REFUSED: a late second copy of a rejection is taken for the answer to a later attempt."""

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig import (  # noqa: E402
    TROUBLE,
    Client,
    Gateway,
    HttpError,
    Server,
    Store,
    make_config,
    make_route,
    new_id,
    new_ip,
    run_case,
    running,
)

ZONES = {"riga-a": "riga", "riga-b": "riga"}
SLO_MS = 900  # of the order route

GARBLED_SHARE = 0.03  # of the answers, at one of three servers
GARBLE_S, CALM_S = 5.0, 1.0  # the server garbles again and again, each time for so long
LENGTH_S = 80.0

CROWD = 12  # callers that order at once, at one gateway
LATER_S = 0.03  # time after that at which one caller orders at each other gateway
BURST_INTERVAL_S = 1.0
CALM_ORDERS = 3  # of each of those callers, one after the other, until the next burst


class GarblingServer(Server):
    """A server that at times sends an answer once more, late.

    The second copy comes when the next request has arrived on the channel.
    """

    garbles = False

    def __init__(self, *args, **settings) -> None:
        super().__init__(*args, **settings)
        self.copies = 0
        self.rejections = 0
        self.garbling_answers = 0
        self._copies: dict[asyncio.StreamWriter, bytes] = {}

    async def respond(self, method, target, head, body, writer) -> None:
        copy = self._copies.pop(writer, None)
        if copy is not None:
            self.record(f"server {self.id} sends a late copy as {head['x-attempt-id']} arrives")
            writer.write(copy)
        await super().respond(method, target, head, body, writer)

    def answer(self, writer, status, headers, body) -> bytes:
        data = super().answer(writer, status, headers, body)
        self.rejections += status == 503
        self.garbling_answers += self.garbles
        # by chance, but never more than the share
        has_share = self.copies + 1 <= GARBLED_SHARE * self.garbling_answers
        if self.garbles and has_share and random.random() < 2 * GARBLED_SHARE:
            self.copies += 1
            self._copies[writer] = data
            self.record(f"server {self.id} will repeat its {status} to {headers['X-Attempt-Id']}")
        return data


async def order(client: Client, name: str, answers: dict, record) -> None:
    """Place one order, once."""
    request = new_id()
    headers = {"Host": "shop.example", "X-Attempt-Id": request, "X-Deadline-Ms": "4000"}
    try:
        await client.send("POST", "/order/1", headers, b"one bung")
        answers[request], _, _ = await client.receive()
    except (HttpError, OSError) as error:
        answers[request] = repr(error)
        client.close()
    record(f"order {request} at {name} is answered {answers[request]}")


async def send_bursts(gateways: list[Gateway], answers: dict, record, until: float) -> None:
    """Let many callers of one gateway order at once, and soon after one of each other gateway."""
    busy, *quiet = gateways
    crowd = [Client(busy.front) for _ in range(CROWD)]
    others = [Client(gateway.front) for gateway in quiet]
    while time.monotonic() < until:
        started = time.monotonic()
        orders = [order(client, busy.name, answers, record) for client in crowd]
        waiting = [asyncio.ensure_future(each) for each in orders]
        await asyncio.sleep(LATER_S)
        for gateway, client in zip(quiet, others, strict=True):
            waiting.append(asyncio.ensure_future(order(client, gateway.name, answers, record)))
        await asyncio.gather(*waiting)
        # in the calm between, a few orders one after the other
        for _ in range(CALM_ORDERS):
            calm = (order(c, g.name, answers, record) for g, c in zip(quiet, others, strict=True))
            await asyncio.gather(*calm)
        await asyncio.sleep(max(0.0, started + BURST_INTERVAL_S - time.monotonic()))


async def case(record, folder: Path) -> bool:
    store = Store(new_ip())
    await store.listen()
    route = make_route("order", "orders", "non_idempotent", sloMs=SLO_MS)
    service = {"name": "orders", "healthPath": "/health", "maxConnections": 100}
    await store.put("op", "config", make_config(1, [route], [service]))
    servers = [
        GarblingServer(store, record, "orders", zone, slots=2, queue=1, work_s=0.1)
        for zone in ("riga-a", "riga-b", "riga-b")
    ]
    places = [("riga-b", 1), ("riga-a", 1), ("riga-a", 2), ("riga-a", 3)]
    gateways = [Gateway(store, f"edge-{z}-{number}", z, ZONES, folder) for z, number in places]
    async with running(store, *servers, *gateways):
        for server in servers:
            await server.start()
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        await asyncio.sleep(4.5)
        answers: dict[str, object] = {}
        until = time.monotonic() + LENGTH_S
        traffic = asyncio.ensure_future(send_bursts(gateways, answers, record, until))
        while time.monotonic() < until:
            servers[0].garbles = TROUBLE
            await asyncio.sleep(GARBLE_S)
            servers[0].garbles = False
            await asyncio.sleep(CALM_S)
        await traffic
        await asyncio.sleep(1.0)
        runs = Counter(request for server in servers for _, request in server.runs)
        twice = [request for request, count in runs.items() if count > 1]
        refused = [r for r, status in answers.items() if status in (408, 421, 429, 503) and runs[r]]
        record.say(
            f"{len(answers)} orders, answers {dict(Counter(map(str, answers.values())))};"
            f" {servers[0].answers} answers of the garbling server, of which"
            f" {servers[0].rejections} were rejections; {servers[0].copies} of"
            f" {servers[0].garbling_answers} answers while it garbled were repeated"
        )
        for request in twice:
            record.say(f"TWICE: order {request} ran {runs[request]} times, answer {answers[request]}")
        for request in refused:
            record.say(f"REFUSED: order {request} ran and is answered {answers[request]}")
        return bool(twice or refused)


run_case(str(FOLDER), case)
