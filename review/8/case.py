"""A key passes to another tenant while streams run that their callers take up again."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))

from rig2 import (
    ENGINE,
    KEY,
    SEAL,
    AppServer,
    Gateway,
    Record,
    Store,
    build_config,
    build_request,
    build_route,
    run_case,
)

STREAMS = 16
EVENTS = 100
EVENT_S = 0.05
JOINED_MAX = 2
"""Streams with events of two versions that the rule allows."""


class Engine(AppServer):
    """An engine whose events name the version of its software."""

    version = "v1"

    async def answer(
        self, request_id: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        named = f"X-Attempt-Id: {request_id}\r\nX-Response-Seal: {SEAL}\r\n"
        named += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        writer.write(f"HTTP/1.1 200 OK\r\n{named}\r\n".encode())
        for number in range(int(headers.get("last-event-id") or 0) + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            event = f"id: {number}\ndata: token {number} of {self.version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Caller:
    """A client that takes its stream up again at another gateway.

    :param number: number of its stream
    :param record: what was sent and answered
    """

    def __init__(self, number: int, record: Record) -> None:
        self._number, self._record = number, record
        self.events: list[str] = []
        self.is_whole = False

    async def attempt(self, gateway: Gateway, request_id: str, **more: str) -> None:
        reader, writer = await asyncio.open_connection(*gateway.front)
        prompt = {"X_Model": "m", "X_Token_Usage": "800,200"}
        prompt["X_Prompt_Prefix"] = f"5c{self._number:02x}:800"
        request = build_request(request_id, "POST", "/lohu930/2f", 25000, b"x", **prompt, **more)
        writer.write(request)
        status, part = "no answer", b""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            status = head.split(b"\r\n")[0].decode()
            while not self.is_whole and (data := await reader.read(65536)):
                part += data
                *whole, part = part.split(b"\n\n")
                for event in whole:
                    self.events += [e for e in event.decode().split("\n") if e.startswith("data")]
                self.is_whole = part.endswith(b"0\r\n\r\n")
        except (OSError, asyncio.IncompleteReadError) as error:
            status += f", {error!r}"
        writer.close()
        self._record.write(f"client: {request_id}: {status}, {len(self.events)} events by now")

    async def run(self, first: Gateway, second: Gateway, again: asyncio.Event) -> None:
        name = f"guide-{self._number}"
        await self.attempt(first, name)
        await again.wait()
        taken = {"Last_Event_Id": str(len(self.events)), "Resumes": name}
        if self.events and not self.is_whole:
            await self.attempt(second, f"{name}-again", **taken)

    @property
    def versions(self) -> list[str]:
        return sorted({event.rpartition(" ")[2] for event in self.events})


async def main(record: Record, trouble: bool, folder: Path) -> bool:
    store = Store("127.0.55.1")
    await store.start()
    engines = [Engine(f"127.0.55.{20 + i}", f"i-engine{i}", "bal-model", record) for i in range(4)]
    for engine in engines:
        engine.slots = 64
        engine.version = "v1" if engine in engines[:2] else "v2"
        await engine.start()
    for engine in engines[:2]:
        store.put("servers", engine.id, engine.entry())
    stream = {"timeoutMs": 25000, "sloMs": 4000, "maxAttempts": 5, "gapTargetMs": 700}
    routes = [
        build_route("r-guide", "/lohu930/", "streaming", "bal-model", resumable=True, **stream)
    ]

    def publish(version: int, tenant: str) -> None:
        config = build_config(version, routes, [{"name": "bal-model", **ENGINE}])
        config["tenants"] = [{"name": tenant, "apiKeys": [KEY]}]
        store.put("op", "config", config)
        record.write(f"operator: config {version}, the key is of the tenant {tenant}")

    publish(7, "hule930")
    gateways = [
        Gateway(folder, f"edge-izmir-a-{i}", f"127.0.55.{1 + i}", store.address) for i in (1, 2)
    ]
    again = asyncio.Event()
    try:
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        await asyncio.sleep(6)
        warm = Caller(900, record)
        await warm.attempt(gateways[0], "warm-1")
        for engine in engines[2:]:
            store.put("servers", engine.id, engine.entry(version="v2"))
        record.write("two engines of version v2 are listed")
        await asyncio.sleep(6)
        callers = [Caller(i, record) for i in range(STREAMS)]
        runs = [asyncio.ensure_future(c.run(*gateways, again)) for c in callers]
        await asyncio.sleep(1.5)
        if trouble:
            publish(8, "dovi212")
        await asyncio.sleep(2.0)
        gateways[0].send(signal.SIGKILL)
        record.write(f"{gateways[0].name} is killed")
        await asyncio.sleep(0.5)
        again.set()
        await asyncio.gather(*runs)
    finally:
        for gateway in gateways:
            gateway.end()
        for listener in (*engines, store):
            await listener.stop()
    joined = [c for c in callers if len(c.versions) > 1]
    for caller in callers:
        record.write(
            f"guide-{caller._number}: versions {caller.versions}, {len(caller.events)} events"
        )
    record.write(f"{len(joined)} of {STREAMS} streams hold events of two versions")
    return len(joined) > JOINED_MAX


run_case(main, Path(__file__).resolve().parent)
