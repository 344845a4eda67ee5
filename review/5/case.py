"""BUDGET: once all gateways were killed, a request that crashes servers is retried again."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig import (  # noqa: E402
    BOUNDS,
    TROUBLE,
    CannotRunError,
    Gateway,
    HttpError,
    Server,
    Store,
    fetch,
    make_config,
    make_route,
    new_id,
    new_ip,
    run_case,
    running,
)

ZONES = {"riga-a": "riga", "riga-b": "riga", "kurzeme-a": "kurzeme"}
CONTACT_S = BOUNDS["contactMs"] / 1000
DOWN_S = 3.0  # of a server that crashed
KILLS = 3
KILLED_S = 1.0  # until killed gateways are started again
MAX_RETRIES = 3  # after the third crash, by the rule
DEADLY = "/look/deadly"


class FragileServer(Server):
    """A server that crashes as it begins to run one request, and is back after some seconds."""

    crashes: list[float] = []
    deadly: list[tuple[float, str]] = []

    async def run(self, request, head, body, writer) -> None:
        if head["x-target"] != DEADLY:
            await super().run(request, head, body, writer)
            return
        self.crashes.append(time.monotonic())
        self.deadly.append((time.monotonic(), request))
        self.record(f"server {self.id} crashes on {request}, crash {len(self.crashes)}")
        self.end()
        asyncio.get_running_loop().create_task(self._come_back())

    async def respond(self, method, target, head, body, writer) -> None:
        await super().respond(method, target, {**head, "x-target": target}, body, writer)

    async def _come_back(self) -> None:
        await asyncio.sleep(DOWN_S)
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        await self.start()
        self.record(f"server {self.id} is back")


async def ask(gateway: Gateway, record, target: str) -> object:
    """Send one request."""
    request = new_id()
    headers = {"Host": "shop.example", "X-Attempt-Id": request, "X-Deadline-Ms": "4000"}
    try:
        status, _, _ = await fetch(gateway.front, "GET", target, headers)
    except (HttpError, OSError, TimeoutError) as error:
        status = repr(error)
    record(f"request {request} for {target} at {gateway.name} is answered {status}")
    return status


async def case(record, folder: Path) -> bool:
    store = Store(new_ip())
    await store.listen()
    route = make_route("look", "stock", "idempotent", maxAttempts=5, sloMs=2000)
    service = {"name": "stock", "healthPath": "/health", "maxConnections": 100}
    await store.put("op", "config", make_config(1, [route], [service]))
    servers = [FragileServer(store, record, "stock", zone) for zone in ZONES for _ in range(3)]
    gateways = [Gateway(store, f"edge-{zone}-1", zone, ZONES, folder) for zone in ZONES]
    async with running(store, *servers, *gateways):
        for server in servers:
            await server.start()
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        await asyncio.sleep(CONTACT_S + 1.0)
        # the request comes again and again, at any machine, until it is known
        for number in range(6):
            await ask(gateways[number % len(gateways)], record, DEADLY)
            await asyncio.sleep(1.0)
        crashes = FragileServer.crashes
        if len(crashes) < 3:
            raise CannotRunError("the request crashed fewer than three servers")
        bound = crashes[2] + CONTACT_S
        record.say(f"before any kill it crashed {len(crashes)} servers")
        for _ in range(KILLS):
            if TROUBLE:
                for gateway in gateways:
                    gateway.signal(signal.SIGKILL)
                record("all gateways are killed")
                await asyncio.sleep(KILLED_S)
                for gateway in gateways:
                    gateway.kill()
                    gateway.start()
                for gateway in gateways:
                    await gateway.wait_ready()
            await asyncio.sleep(CONTACT_S + 1.0)
            for number in range(3):
                await ask(gateways[number], record, DEADLY)
                await asyncio.sleep(1.0)
            sound = [await ask(gateway, record, "/look/sound") for gateway in gateways]
            record.say(f"it has crashed {len(crashes)} servers; other requests get {sound}")
        later = [request for at, request in FragileServer.deadly if at > bound]
        retries = len(later) - len(set(later))
        record.say(
            f"later than {CONTACT_S} s after the third crash it reached servers {len(later)} times,"
            f" {retries} of them as a retry of the same client attempt; {MAX_RETRIES} are allowed"
        )
        return retries > MAX_RETRIES


run_case(str(FOLDER), case)
