"""DRAIN: one entry that can't be read keeps the gateways from learning that servers leave."""

import asyncio
import json
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

ZONES = {"riga-a": "riga", "riga-b": "riga"}
CLIENTS = 6
PAUSE_S = 0.1
DRAIN_S = BOUNDS["drainMs"] / 1000
CONTACT_S = BOUNDS["contactMs"] / 1000

# An entry as the servers write it, with one unknown field: a note whose writer nested it in itself
# until its buffer was full. It is smaller than rowBytes.
DEPTH = 2000
UNREADABLE = (
    b'{"service":"orders","address":"127.0.0.1:9","zone":"riga-a","version":"1","slots":6,'
    b'"state":"ready","coldLeftMs":0,"sequence":1,"born":1,"note":'
    + b'{"note":' * DEPTH
)


async def send_requests(gateway: Gateway, sent: dict, record, until: float) -> None:
    """Send a request on a kept channel again and again, as clients do."""
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
    servers = [Server(store, record, "orders", zone) for zone in ("riga-a", "riga-a", "riga-b")]
    gateways = [Gateway(store, f"edge-{zone}-1", zone, ZONES, folder) for zone in ZONES]
    async with running(store, *servers, *gateways):
        for server in servers:
            await server.start()
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        sent: dict[str, float] = {}
        until = time.monotonic() + 2 * CONTACT_S + DRAIN_S + 6.0
        clients = [
            send_requests(gateway, sent, record, until)
            for gateway in gateways
            for _ in range(CLIENTS)
        ]
        traffic = asyncio.gather(*clients)
        # all machines are in touch from here on, with nothing but the entry to disturb them
        await asyncio.sleep(CONTACT_S + 0.5)
        if TROUBLE:
            await store.put("servers", "i-0123456789", UNREADABLE)
            record("another writer's entry that can't be read is in the store")
        await asyncio.sleep(CONTACT_S)
        leaving = max(servers, key=lambda server: len(server.arrivals))
        leaving.state = "draining"
        await leaving.write_entry()
        acknowledged = time.monotonic()
        record(f"the store acknowledged that {leaving.id} is draining")
        await traffic
        bound = acknowledged + DRAIN_S
        late = [r for at, r in leaving.arrivals if at > bound and sent[r] > bound]
        others = sum(at > bound for server in servers[1:] for at, _ in server.arrivals)
        record.say(
            f"{len(late)} requests reached the draining server later than {DRAIN_S} s after the ack"
            f" (the last one {leaving.arrivals[-1][0] - acknowledged:.1f} s after it),"
            f" {others} the others"
        )
        for gateway in gateways:
            failures = [line for line in gateway.read_log().splitlines() if "watch failed" in line]
            record.say(f"{gateway.name} logged {len(failures)} failures of its watch")
            if failures:
                record("the first: " + json.loads(failures[0])["exc_info"].splitlines()[-1])
        return bool(late)


run_case(str(FOLDER), case)
