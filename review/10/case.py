"""Two answers of one plain server are bodies in one-byte chunks without end; all else is sound."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))

from rig2 import (
    PLAIN,
    SEAL,
    AppServer,
    Gateway,
    Record,
    Store,
    ask_ready,
    build_config,
    build_request,
    build_route,
    now,
    read_message,
    run_case,
)

LOOKS = 120
LOOK_INTERVAL_S = 0.1
ORDERS = 9
SPOILED = 2
ORDERS_AT = 20
"""Number of the lookup beside which the orders are sent."""

TIMEOUT_S = 1.0
"""``timeoutMs`` of the route of the lookups."""

ANSWER_S = 0.5
"""Time after it within which an answer is due by the rule."""

CHUNKS = b"1\r\nx\r\n" * 8192
CHUNKS_INTERVAL_S = 0.005
"""About 80 Mbit/s, a twelfth of the link of an edge machine (1,000 Mbit/s)."""


class FaultyServer(AppServer):
    """A server whose first answers have no end if there is trouble."""

    spoils = 0

    async def answer(
        self, request_id: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        if not self.spoils or not request_id.startswith("order"):
            await super().answer(request_id, headers, body, writer)
            return
        self.spoils, sent = self.spoils - 1, 0
        named = f"X-Attempt-Id: {request_id}\r\nX-Response-Seal: {SEAL}\r\n"
        writer.write(f"HTTP/1.1 200 OK\r\n{named}Transfer-Encoding: chunked\r\n\r\n".encode())
        self.record.write(f"server {self.id} begins an answer to {request_id} that has no end")
        try:
            while True:
                writer.write(CHUNKS)
                sent += len(CHUNKS)
                await writer.drain()
                await asyncio.sleep(CHUNKS_INTERVAL_S)
        finally:
            self.record.write(f"server {self.id}: {request_id} was closed after {sent} bytes")


async def look(gateway: Gateway, number: int, record: Record) -> float:
    """Send a lookup.

    :return: seconds until its answer
    """
    sent_at, answer = now(), "closed"
    try:
        reader, writer = await asyncio.open_connection(*gateway.front)
        writer.write(build_request(f"look-{number}", "GET", "/cufi504/2f", 4000))
        async with asyncio.timeout(10):
            message = await read_message(reader)
        answer = message[0] if message else answer
        writer.close()
    except (OSError, TimeoutError) as error:
        answer = repr(error)
    took_s = now() - sent_at
    record.write(f"client: look-{number} took {took_s:.3f} s: {answer}")
    return took_s


async def order(gateway: Gateway, number: int, record: Record) -> None:
    """Send an order, whose route gives it four seconds."""
    sent_at, answer = now(), "closed"
    try:
        reader, writer = await asyncio.open_connection(*gateway.front)
        writer.write(build_request(f"order-{number}", "POST", "/puxa403/2f", 4000, b"x" * 600))
        async with asyncio.timeout(15):
            message = await read_message(reader)
        answer = message[0] if message else answer
        writer.close()
    except (OSError, TimeoutError) as error:
        answer = repr(error)
    record.write(f"client: order-{number} took {now() - sent_at:.3f} s: {answer}")


async def check_ready(gateway: Gateway, record: Record) -> None:
    while True:
        sent_at = now()
        status = await ask_ready(gateway)
        record.write(
            f"platform: GET /readiness took {now() - sent_at:.3f} s: {status or 'no answer'}"
        )
        await asyncio.sleep(max(0.0, sent_at + 1.0 - now()))


async def main(record: Record, trouble: bool, folder: Path) -> bool:
    store = Store("127.0.59.1")
    await store.start()
    servers = [
        FaultyServer(f"127.0.59.{10 + i}", f"i-plain{i}", "siparis", record) for i in range(3)
    ]
    servers[0].spoils = SPOILED if trouble else 0
    for server in servers:
        await server.start()
        store.put("servers", server.id, server.entry())
    routes = [
        build_route("r-look", "/cufi504/", "idempotent", "siparis", timeoutMs=1000 * TIMEOUT_S),
        build_route("r-order", "/puxa403/", "non_idempotent", "siparis", maxAttempts=1),
    ]
    store.put("op", "config", build_config(7, routes, [{"name": "siparis", **PLAIN}]))
    gateway = Gateway(folder, "edge-izmir-a-1", "127.0.59.2", store.address)
    gateway.start()
    ready = None
    try:
        await gateway.wait_ready()
        await asyncio.sleep(1)
        ready = asyncio.ensure_future(check_ready(gateway, record))
        looks, orders = [], []
        for number in range(LOOKS):
            looks.append(asyncio.ensure_future(look(gateway, number, record)))
            if number == ORDERS_AT:
                orders = [asyncio.ensure_future(order(gateway, i, record)) for i in range(ORDERS)]
            await asyncio.sleep(LOOK_INTERVAL_S)
        took_s = await asyncio.gather(*looks)
        await asyncio.gather(*orders)
    finally:
        if ready is not None:
            ready.cancel()
        gateway.end()
        for listener in (*servers, store):
            await listener.stop()
    due = [t for t in took_s if t > TIMEOUT_S]
    late = [t for t in due if t > TIMEOUT_S + ANSWER_S]
    record.write(
        f"{len(due)} of {LOOKS} lookups were unanswered at timeoutMs, {len(late)} of them half a"
        f" second later; the longest took {max(took_s):.3f} s"
    )
    return 2 * len(late) > len(due)


run_case(main, Path(__file__).resolve().parent)
