"""One answer of one engine is lines that are no event, without end; all else is sound."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))

from rig2 import (
    ENGINE,
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
STREAMS = 6
SPOILED = 1
STREAMS_AT = 20
"""Number of the lookup beside which the streams are sent."""

TIMEOUT_S = 1.0
"""``timeoutMs`` of the route of the lookups."""

ANSWER_S = 0.5
"""Time after it within which an answer is due by the rule."""

CHUNKS = (b"bb8\r\n" + b"x\n\n" * 1000 + b"\r\n") * 10
CHUNKS_INTERVAL_S = 0.005
"""About 50 Mbit/s, a fortieth of the link of a side machine (2,000 Mbit/s)."""


class FaultyServer(AppServer):
    """An engine whose first answers have no end if there is trouble."""

    spoils = 0

    async def answer(
        self, request_id: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        if not self.spoils:
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


async def stream(gateway: Gateway, number: int, record: Record) -> None:
    sent_at, size = now(), 0
    reader, writer = await asyncio.open_connection(*gateway.front)
    prompt = {"X_Model": "m", "X_Token_Usage": "800,200", "X_Prompt_Prefix": f"5c{number:02x}:800"}
    writer.write(
        build_request(f"guide-{number}", "POST", "/lohu930/2f", 25000, b"x" * 800, **prompt)
    )
    last = b""
    try:
        async with asyncio.timeout(27):
            while not last.endswith(b"0\r\n\r\n") and (part := await reader.read(65536)):
                size, last = size + len(part), part
                if b"Content-Length" in part:
                    break
    except (OSError, TimeoutError) as error:
        last = repr(error).encode()
    record.write(
        f"client: guide-{number} took {now() - sent_at:.3f} s, {size} bytes: {last[-50:]!r}"
    )
    writer.close()


async def check_ready(gateway: Gateway, record: Record) -> None:
    while True:
        sent_at = now()
        status = await ask_ready(gateway)
        record.write(
            f"platform: GET /readiness took {now() - sent_at:.3f} s: {status or 'no answer'}"
        )
        await asyncio.sleep(max(0.0, sent_at + 1.0 - now()))


async def main(record: Record, trouble: bool, folder: Path) -> bool:
    store = Store("127.0.56.1")
    await store.start()
    plain = [AppServer(f"127.0.56.{10 + i}", f"i-plain{i}", "siparis", record) for i in range(3)]
    engines = [
        FaultyServer(f"127.0.56.{20 + i}", f"i-engine{i}", "bal-model", record, events=60)
        for i in range(3)
    ]
    engines[0].spoils = SPOILED if trouble else 0
    for server in (*plain, *engines):
        await server.start()
        store.put("servers", server.id, server.entry())
    routes = [
        build_route("r-look", "/cufi504/", "idempotent", "siparis", timeoutMs=1000 * TIMEOUT_S),
        build_route(
            "r-guide",
            "/lohu930/",
            "streaming",
            "bal-model",
            timeoutMs=25000,
            sloMs=4000,
            maxAttempts=5,
            resumable=True,
            gapTargetMs=700,
        ),
    ]
    services = [{"name": "siparis", **PLAIN}, {"name": "bal-model", **ENGINE}]
    store.put("op", "config", build_config(7, routes, services))
    gateway = Gateway(folder, "edge-izmir-a-1", "127.0.56.2", store.address)
    gateway.start()
    ready = None
    try:
        await gateway.wait_ready()
        await asyncio.sleep(1)
        ready = asyncio.ensure_future(check_ready(gateway, record))
        looks, streams = [], []
        for number in range(LOOKS):
            looks.append(asyncio.ensure_future(look(gateway, number, record)))
            if number == STREAMS_AT:
                streams = [
                    asyncio.ensure_future(stream(gateway, i, record)) for i in range(STREAMS)
                ]
            await asyncio.sleep(LOOK_INTERVAL_S)
        took_s = await asyncio.gather(*looks)
        await asyncio.gather(*streams)
    finally:
        if ready is not None:
            ready.cancel()
        gateway.end()
        for listener in (*plain, *engines, store):
            await listener.stop()
    due = [t for t in took_s if t > TIMEOUT_S]
    late = [t for t in due if t > TIMEOUT_S + ANSWER_S]
    record.write(
        f"{len(due)} of {LOOKS} lookups were unanswered at timeoutMs, {len(late)} of them half a"
        f" second later; the longest took {max(took_s):.3f} s"
    )
    return 2 * len(late) > len(due)


run_case(main, Path(__file__).resolve().parent)
