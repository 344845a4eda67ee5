"""Stand-ins for the scripts of this review: store, servers, clients, and gateways as processes.

Everything listens on loopback. The store and the servers follow PROTOCOL.md of the users; where it
is silent they behave like sound ones.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"


def now() -> float:
    return time.monotonic()


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = now()

    def write(self, text: str) -> None:
        self._file.write(f"{now() - self._start:8.3f}  {text}\n")
        self._file.flush()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Read a request or a response with a length or in chunks."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    elif length := int(headers.get("content-length", "0")):
        body = await reader.readexactly(length)
    return first, headers, body


def encode(status: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    named = {**headers, "Content-Length": str(len(body))}
    lines = "".join(f"{name}: {value}\r\n" for name, value in named.items())
    return f"HTTP/1.1 {status}\r\n{lines}\r\n".encode() + body


class Listener:
    """A TCP server whose connections end with it."""

    def __init__(self, ip: str) -> None:
        self.ip, self.port = ip, 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        return f"{self.ip}:{self.port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.ip, self.port, limit=2**20)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError


class Store(Listener):
    """The platform's store: rows in tables."""

    def __init__(self, ip: str) -> None:
        super().__init__(ip)
        self.ver = 0
        self.rows: dict[tuple[str, str, str], tuple[int, bytes | None]] = {}
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: object, part: str = "") -> None:
        self.ver += 1
        data = value if isinstance(value, bytes | None) else json.dumps(value).encode()
        self.rows[table, part, key] = self.ver, data
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _list(self, table: str, part: str) -> list[dict[str, object]]:
        found = []
        for (at, of, key), (ver, value) in sorted(self.rows.items()):
            if (at, of) != (table, part):
                continue
            row: dict[str, object] = {"table": at, "part": of, "key": key, "ver": ver}
            if value is None:
                row["deleted"] = True
            else:
                row["value"] = base64.b64encode(value).decode()
            found.append(row)
        return found

    def _answer(self, status: str, **fields: object) -> bytes:
        body = {**fields, "ver": self.ver, "nowMs": round(1000 * now())}
        return encode(status, {"Content-Type": "application/json"}, json.dumps(body).encode())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_message(reader)) is not None:
            await asyncio.sleep(0.004)
            writer.write(await self._respond(message[0].split(" ")[1], message[2]))
            await writer.drain()

    async def _respond(self, target: str, body: bytes) -> bytes:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        table, part = query.get("table", ""), query.get("part", "")
        if url.path == "/rows-get":
            low, high = query.get("from", ""), query.get("to")
            rows = [r for r in self._list(table, part) if "value" in r and str(r["key"]) >= low]
            rows = [r for r in rows if high is None or str(r["key"]) < high]
            limit = int(query.get("limit", "500"))
            return self._answer("200 OK", rows=rows[:limit], hasMore=len(rows) > limit)
        if url.path == "/rows-feed":
            until = now() + int(query["waitMs"]) / 1000
            while True:
                changed = self._changed
                rows = [
                    r
                    for r in self._list(table, "")
                    if int(str(r["ver"])) > int(query["sinceRevision"])
                ]
                if rows or now() >= until:
                    return self._answer(
                        "200 OK", rows=sorted(rows, key=lambda r: int(str(r["ver"])))
                    )
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), max(0.0, until - now()))
        if url.path == "/rows-tx":
            return self._write(json.loads(body))
        return encode("404 Not Found", {})

    def _write(self, call: dict[str, list[dict[str, object]]]) -> bytes:
        def name(row: dict[str, object]) -> tuple[str, str, str]:
            return str(row["table"]), str(row["part"]), str(row["key"])

        for row in call["expected"]:
            ver, value = self.rows.get(name(row), (0, None))
            if (0 if value is None else ver) != row["ver"]:
                return self._answer("412 Precondition Failed", rows=[])
        self.ver += 1
        for row in call["writes"]:
            self.rows[name(row)] = self.ver, base64.b64decode(str(row["value"]))
        for row in call["remove"]:
            self.rows[name(row)] = self.ver, None
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self._answer("200 OK")


class AppServer(Listener):
    """A sound server of one service; subclasses bring trouble."""

    def __init__(self, ip: str, name: str, service: str, record: Record, **options: float) -> None:
        super().__init__(ip)
        self.id, self.service, self.record = name, service, record
        self.work_s = options.get("work_s", 0.02)
        self.events = int(options.get("events", 0))
        self.event_s = options.get("event_s", 0.03)
        self.born = round(1000 * time.time())
        self.slots = 6
        self.ran: list[str] = []

    def entry(self, **fields: object) -> dict[str, object]:
        return {
            "service": self.service,
            "address": self.address,
            "zone": "izmir-a",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "sequence": 1,
            "born": self.born,
            **fields,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_message(reader)) is not None:
            first, headers, body = message
            if first.split(" ")[1] == "/report":
                report = {
                    "queued": 0,
                    "active": 0,
                    "kvUsed": 0,
                    "kvTotal": 90000,
                    "born": self.born,
                }
                writer.write(
                    encode(
                        "200 OK", {"Content-Type": "application/json"}, json.dumps(report).encode()
                    )
                )
                continue
            request_id = headers.get("x-attempt-id", "")
            if headers.get("x-expect-instance", self.id) != self.id:
                writer.write(encode("421 Misdirected Request", {"X-Instance-Id": self.id}))
                continue
            self.ran.append(request_id)
            self.record.write(f"server {self.id} runs {request_id} ({first})")
            await self.answer(request_id, headers, body, writer)
            await writer.drain()

    async def answer(
        self, request_id: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        named = {"X-Attempt-Id": request_id, "X-Response-Seal": SEAL}
        if not self.events:
            await asyncio.sleep(self.work_s)
            writer.write(encode("200 OK", named, self.body_of(request_id)))
            return
        lines = "".join(f"{name}: {value}\r\n" for name, value in named.items())
        lines += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
        for number in range(int(headers.get("last-event-id") or 0) + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    def body_of(self, request_id: str) -> bytes:
        return f"answer to {request_id} ".encode().ljust(800, b".")


class Gateway:
    """A gateway, started by the command of the deploy file."""

    def __init__(self, folder: Path, name: str, ip: str, store: str) -> None:
        self.name, self.ip, self._folder, self._store = name, ip, folder, store
        ports = find_free_ports(ip, 4)
        self._front, self._ready, self._control, self._peers = ports
        self.child: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        ms = {"contactMs": 4000, "ackMs": 5000, "drainMs": 2500, "lossSlackMs": 200}
        ms |= {"configApplyMs": 2500, "rollbackSlackMs": 250, "skewMaxMs": 6000, "revokeMs": 5000}
        ms |= {"retryBudgetRatio": 0.8, "budgetWindowS": 10, "retrySlack": 150, "recoveryS": 12}
        ms |= {"seedLagS": 3, "reuseAfterS": 2, "catchUpS": 4, "graceS": 8, "passMs": 300}
        settings = {
            "node": self.name,
            "role": "gateway",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": self.ip,
            "zone": "izmir-a",
            "region": "ege",
            "zones": {"izmir-a": "ege"},
            "listen": {
                "front": f"{self.ip}:{self._front}",
                "ready": f"{self.ip}:{self._ready}",
                "control": f"{self.ip}:{self._control}",
            },
            "internalPorts": [self._peers, self._peers + 15],
            "seeds": [f"{self.ip}:{self._control}"],
            "bootstrap": True,
            "limits": {
                "cpuShare": 0.817,
                "cores": 1,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
            },
            "heartbeatMs": 1200,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "stream",
                "tenants",
                "platform",
            ],
            "bounds": {**ms, "strictRevoke": True, "reuseWindowS": 8.1},
            "platform": {
                "address": self._store,
                "form": "table",
                "writesPerS": 400,
                "readsPerS": 2000,
            },
        }
        path = self._folder / f"{self.name}.yaml"
        path.write_text(json.dumps(settings))
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"PYTHONPATH": str(ROOT / "target" / "deps"), "BASILROAD_SETTINGS": str(path)}
        log = (self._folder / f"{self.name}.log").open("ab")
        command = ["python3", "-m", "basilroad", "gateway"]
        self.child = subprocess.Popen(command, cwd=ROOT, env=env, stdout=log, stderr=log)

    @property
    def front(self) -> tuple[str, int]:
        return self.ip, self._front

    @property
    def ready(self) -> tuple[str, int]:
        return self.ip, self._ready

    async def wait_ready(self, limit_s: float = 20.0) -> None:
        until = now() + limit_s
        while now() < until:
            if await ask_ready(self) == 200:
                return
            await asyncio.sleep(0.1)
        raise CouldNotRunError(f"{self.name} is not ready: {self.read_log()[-500:]}")

    def read_log(self) -> str:
        return (self._folder / f"{self.name}.log").read_text(errors="replace")

    def send(self, number: signal.Signals) -> None:
        assert self.child is not None
        self.child.send_signal(number)

    def end(self) -> None:
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()


def find_free_ports(ip: str, count: int) -> list[int]:
    """:return: ports that no process listens on; held at once, so that they differ."""
    socks = [socket.create_server((ip, 0)) for _ in range(count)]
    try:
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()


class CouldNotRunError(Exception):
    """The case could not run."""


async def ask_ready(gateway: Gateway, limit_s: float = 1.0) -> int:
    """:return: status of the readiness check; 0 without an answer in time."""
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*gateway.ready)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            message = await read_message(reader)
            return int(message[0].split(" ")[1]) if message else 0
    except (OSError, TimeoutError):
        return 0
    finally:
        if writer is not None:
            writer.close()


def build_request(
    request_id: str, method: str, path: str, deadline_ms: int, body: bytes = b"", **more: str
) -> bytes:
    headers = {
        "Host": HOST,
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        "X-Key": KEY,
        **{name.replace("_", "-"): value for name, value in more.items()},
    }
    if body or method == "POST":
        headers["Content-Length"] = str(len(body))
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body


def build_route(
    name: str, prefix: str, kind: str, service: str, **fields: object
) -> dict[str, object]:
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 4000,
        "sloMs": 300,
        "priority": 2,
        "service": service,
        "maxAttempts": 3,
        "public": False,
        **fields,
    }


def build_config(
    version: int, routes: list[dict[str, object]], services: list[dict[str, object]]
) -> dict[str, object]:
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


PLAIN = {"healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": False}
ENGINE = {
    "healthPath": "/health",
    "maxConnections": 360,
    "protocol": "h1",
    "tls": False,
    "engine": {
        "slots": 64,
        "kvCapacity": 88000,
        "kvTokenBytes": 35136,
        "linkMbps": 1100000.0,
        "backups": False,
    },
}


def run_case(main: object, folder: Path) -> None:
    """Run a case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {trouble}")
    with tempfile.TemporaryDirectory() as place:
        try:
            broken = asyncio.run(main(record, trouble, Path(place)))  # type: ignore[operator]
        except Exception as error:
            record.write(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            sys.exit(2)
    record.write("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
