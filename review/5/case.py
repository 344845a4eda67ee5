"""DRAIN: after open channels fell silent, the gateways learn too late that a server leaves."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig import (  # noqa: E402
    BOUNDS,
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

ZONES = {"riga-a": "riga", "riga-b": "riga", "kurzeme-a": "kurzeme"}
CLIENTS, PAUSE_S = 4, 0.05
DRAIN_S = BOUNDS["drainMs"] / 1000
CONTACT_S = BOUNDS["contactMs"] / 1000
ROUNDS = 6
CROSSING_S = 0.1


async def send_requests(gateway: Gateway, sent: dict, record, until: float) -> None:
    """Send requests one after the other."""
    client = Client(gateway.front)
    while time.monotonic() < until:
        request = new_id()
        sent[request] = time.monotonic()
        headers = {"Host": "shop.example", "X-Attempt-Id": request, "X-Deadline-Ms": "4000"}
        try:
            await client.send("GET", "/look/1", headers)
            status, _, _ = await client.receive()
        except (HttpError, OSError) as error:
            status = repr(error)
            client.close()
        record(f"request {request} at {gateway.name} is answered {status}")
        await asyncio.sleep(PAUSE_S)


async def case(record, folder: Path) -> bool:
    store = Store(new_ip())
    await store.listen()
    route = make_route("look", "orders", "idempotent", maxAttempts=2)
    service = {"name": "orders", "healthPath": "/health", "maxConnections": 100}
    await store.put("op", "config", make_config(1, [route], [service]))
    servers = [Server(store, record, "orders", zone) for zone in ZONES]
    gateways = [Gateway(store, f"edge-{zone}-1", zone, ZONES, folder) for zone in ZONES]
    async with running(store, *servers, *gateways):
        for server in servers:
            await server.start()
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        sent: dict[str, float] = {}
        until = time.monotonic() + CONTACT_S + 1.0 + ROUNDS * 3 * CONTACT_S
        traffic = asyncio.gather(
            *(send_requests(gateway, sent, record, until) for gateway in gateways for _ in range(CLIENTS))
        )
        await asyncio.sleep(CONTACT_S + 1.0)
        late = []
        for _ in range(ROUNDS):
            # the store is stable and all machines are in touch when it acknowledges the draining
            leaving = max(servers, key=lambda server: len(server.arrivals))
            servers.remove(leaving)
            leaving.state = "draining"
            await leaving.write_entry()
            acknowledged = time.monotonic()
            record(f"the store acknowledged that {leaving.id} is draining")
            await asyncio.sleep(CROSSING_S)
            silenced_at = time.monotonic()
            if TROUBLE:
                record(f"{store.silence_channels()} open channels to the store fall silent")
            await asyncio.sleep(2 * CONTACT_S)
            bound = max(acknowledged + DRAIN_S, silenced_at + CONTACT_S)
            found = [r for at, r in leaving.arrivals if at > bound and sent[r] > bound]
            late += found
            record.say(
                f"{len(found)} requests reached {leaving.id} later than {DRAIN_S} s after the ack and"
                f" {CONTACT_S} s after the silence; the last request came"
                f" {leaving.arrivals[-1][0] - acknowledged:.2f} s after the ack"
            )
            leaving.end()
            await store.drop("servers", leaving.id)
            fresh = Server(store, record, "orders", leaving.zone)
            servers.append(fresh)
            await fresh.start()
            await asyncio.sleep(CONTACT_S - 1.0)
        await traffic
        for server in servers:
            server.end()
        return bool(late)


run_case(str(FOLDER), case)
