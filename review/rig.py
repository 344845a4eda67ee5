"""Stand-ins and helpers of the review's scripts: store, servers, clients and gateway processes.

Only the standard library is used. All stand-ins run in the process of the script and listen on
loopback addresses; the gateways are separate processes, started by the deploy file's command.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2

BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 2500,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2500,
    "rollbackSlackMs": 250,
    "skewMaxMs": 6000,
    "strictRevoke": True,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.8,
    "budgetWindowS": 10,
    "retrySlack": 150,
    "recoveryS": 12,
    "passMs": 300,
    "reuseWindowS": 4.7,
}

HEARTBEAT_S = 1.2

_NETWORK = [127, 10 + os.getpid() % 200, 1 + os.getpid() // 200 % 250]
_hosts = iter(range(1, 250))


def new_ip() -> str:
    """Return an unused loopback address of this run."""
    return ".".join(map(str, [*_NETWORK, next(_hosts)]))


def free_port(ip: str) -> int:
    """Return a port that is free now at an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to the record of a case."""

    def __init__(self, folder: Path) -> None:
        self._started = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def __call__(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._started:8.3f} s  {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line to the record and to the output."""
        print(text, flush=True)
        self(text)


class HttpError(Exception):
    """The peer closed the channel or sent something that is no HTTP message."""


async def read_head(reader: asyncio.StreamReader) -> tuple[str, list[tuple[str, str]]]:
    """Read a start line and headers."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError) as error:
        raise HttpError(repr(error)) from error
    first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    return first, headers


async def read_exactly(reader: asyncio.StreamReader, size: int) -> bytes:
    """Read a number of bytes."""
    try:
        return await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise HttpError(repr(error)) from error


async def read_chunks(reader: asyncio.StreamReader):
    """Yield the chunks of a chunked body."""
    while True:
        try:
            line = await reader.readuntil(b"\r\n")
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise HttpError(repr(error)) from error
        size = int(line.strip(), 16)
        data = await read_exactly(reader, size + 2)
        if size == 0:
            return
        yield data[:-2]


def format_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Encode a response with a length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Listener:
    """Base of the stand-ins that listen for HTTP requests."""

    def __init__(self, ip: str) -> None:
        self.ip = ip
        self.port = free_port(ip)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"{self.ip}:{self.port}"

    async def listen(self) -> None:
        self._server = await asyncio.start_server(
            self._accept, self.ip, self.port, reuse_address=True, limit=2**20, backlog=512
        )

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (HttpError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def shut(self) -> None:
        """Close the listener and reset all channels, as the end of a process does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class Store(Listener):
    """The platform's store: rows with versions, long polls, linearizable answers."""

    LATENCY_S = 0.004

    def __init__(self, ip: str) -> None:
        super().__init__(ip)
        self.ver = 0
        self.rows: dict[str, dict[str, tuple[int, bytes]]] = {}
        self.changes: list[tuple[int, str, str]] = []
        self._changed = asyncio.Condition()
        self._silent: set[asyncio.StreamWriter] = set()

    def silence_channels(self) -> int:
        """Let all open channels fall silent for good, without a reset; new ones work.

        :return: number of channels that were open
        """
        self._silent |= self._writers
        return len(self._writers)

    async def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row; the store has acknowledged it when this returns."""
        async with self._changed:
            self.ver += 1
            self.rows.setdefault(table, {})[key] = self.ver, value
            self.changes.append((self.ver, table, key))
            self._changed.notify_all()

    async def drop(self, table: str, key: str) -> None:
        """Remove a row."""
        async with self._changed:
            self.ver += 1
            self.rows.get(table, {}).pop(key, None)
            self.changes.append((self.ver, table, key))
            self._changed.notify_all()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            line, headers = await read_head(reader)
            method, target, _ = line.split(" ")
            length = int(dict(headers).get("content-length", "0"))
            body = await read_exactly(reader, length)
            await asyncio.sleep(self.LATENCY_S)
            if writer not in self._silent:
                status, answer = await self._answer(method, target, body)
            if writer in self._silent:
                # what the caller sends is lost, and so is what was on its way to it
                await reader.read()
                return
            data = json.dumps(answer).encode()
            writer.write(format_response(status, {"Content-Type": "application/json"}, data))
            await writer.drain()

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, dict]:
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if (method, url.path) == ("GET", "/rows-get"):
            return 200, self._list_rows(query)
        if (method, url.path) == ("GET", "/rows-feed"):
            return 200, await self._feed(query)
        if (method, url.path) == ("POST", "/rows-tx"):
            return await self._commit(json.loads(body))
        return 404, {}

    def _list_rows(self, query: dict[str, str]) -> dict:
        table = self.rows.get(query["table"], {})
        limit = min(500, int(query.get("limit", "500")))
        keys = sorted(k for k in table if k >= query.get("from", "") and k < query.get("to", "\x7f"))
        rows = [self._describe(query["table"], key) for key in keys[:limit]]
        return self._wrap({"rows": rows, "hasMore": len(keys) > limit})

    async def _feed(self, query: dict[str, str]) -> dict:
        since, table = int(query["sinceRevision"]), query["table"]
        until = time.monotonic() + min(30000, int(query.get("waitMs", "0"))) / 1000
        async with self._changed:
            while not (keys := self._list_changed(table, since)):
                left_s = until - time.monotonic()
                if left_s <= 0:
                    break
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left_s)
        rows = sorted((self._describe(table, key) for key in keys), key=lambda row: row["ver"])
        return self._wrap({"rows": rows})

    def _list_changed(self, table: str, since: int) -> set[str]:
        found = set()
        for ver, name, key in reversed(self.changes):
            if ver <= since:
                break
            if name == table:
                found.add(key)
        return found

    def _describe(self, table: str, key: str) -> dict:
        row = {"table": table, "part": "", "key": key}
        known = self.rows.get(table, {}).get(key)
        if known is None:
            ver = next(v for v, t, k in reversed(self.changes) if (t, k) == (table, key))
            return {**row, "ver": ver, "deleted": True}
        return {**row, "ver": known[0], "value": base64.b64encode(known[1]).decode()}

    def _wrap(self, answer: dict) -> dict:
        return {**answer, "ver": self.ver, "nowMs": time.monotonic() * 1000}

    async def _commit(self, transaction: dict) -> tuple[int, dict]:
        for row in transaction.get("writes", []):
            if row["table"] in ("op", "servers"):
                return 403, {}
            await self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in transaction.get("remove", []):
            await self.drop(row["table"], row["key"])
        return 200, self._wrap({"rows": []})


class Server(Listener):
    """A server of a service: rejects when full, runs requests, keeps channels open."""

    def __init__(
        self,
        store: Store,
        record: Record,
        service: str,
        zone: str,
        *,
        slots: int = 6,
        queue: int = 4,
        work_s: float = 0.02,
        ip: str = "",
    ) -> None:
        super().__init__(ip or new_ip())
        self.store, self.record, self.service, self.zone = store, record, service, zone
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = time.time_ns() // 1_000_000
        self.state = "ready"
        self.sequence = 0
        self.taken = 0
        self._slot = asyncio.Semaphore(slots)
        self.arrivals: list[tuple[float, str]] = []
        self.runs: list[tuple[float, str]] = []
        self.answers = 0
        self._beat: asyncio.Task | None = None

    async def start(self) -> None:
        await self.listen()
        await self.write_entry()
        self._beat = asyncio.ensure_future(self._write_entries())

    async def write_entry(self) -> None:
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        await self.store.put("servers", self.id, json.dumps(entry).encode())

    async def _write_entries(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.write_entry()

    def end(self) -> None:
        """End the server: no more entries, channels are reset."""
        if self._beat is not None:
            self._beat.cancel()
        self.shut()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            line, headers = await read_head(reader)
            head = dict(headers)
            body = await read_exactly(reader, int(head.get("content-length", "0")))
            method, target, _ = line.split(" ")
            await self.respond(method, target, head, body, writer)
            await writer.drain()

    async def respond(
        self, method: str, target: str, head: dict, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        request = head.get("x-attempt-id", "")
        if not request:
            self.answer(writer, 200, {"X-Instance-Id": self.id}, b"{}")
            return
        expected = head.get("x-expect-instance")
        echo = {"X-Attempt-Id": request}
        if expected not in (None, self.id):
            self.record(f"server {self.id} answers 421 to {request}")
            self.answer(writer, 421, {**echo, "X-Not-Executed": "1"}, b"")
            return
        self.arrivals.append((time.monotonic(), request))
        if self.taken >= self.slots + self.queue:
            self.record(f"server {self.id} is full and rejects {request}")
            self.answer(writer, 503, {**echo, "X-Not-Executed": "1"}, b"full")
            return
        self.taken += 1
        try:
            async with self._slot:
                self.runs.append((time.monotonic(), request))
                self.record(f"server {self.id} runs {request}")
                await self.run(request, head, body, writer)
        finally:
            self.taken -= 1

    async def run(
        self, request: str, head: dict, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Run one request and answer it."""
        await asyncio.sleep(self.work_s)
        headers = {"X-Attempt-Id": request, "X-Response-Seal": f"seal-{self.id}-{request}"}
        self.answer(writer, 200, headers, f"done {request}".encode())

    def answer(
        self, writer: asyncio.StreamWriter, status: int, headers: dict, body: bytes
    ) -> bytes:
        """Send one answer."""
        self.answers += 1
        data = format_response(status, headers, body)
        writer.write(data)
        return data


class Gateway:
    """One gateway process."""

    def __init__(self, store: Store, name: str, zone: str, zones: dict[str, str], folder: Path):
        self.ip, self.name, self._folder = new_ip(), name, folder
        self.front = f"{self.ip}:{free_port(self.ip)}"
        self.ready = f"{self.ip}:{free_port(self.ip)}"
        self.settings = {
            "node": name,
            "role": "gateway",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": self.ip,
            "zone": zone,
            "region": zones[zone],
            "zones": zones,
            "listen": {"front": self.front, "ready": self.ready},
            "internalPorts": [7340, 7355],
            "seeds": [],
            "bootstrap": True,
            "inFaultBudget": False,
            "limits": {"cpuShare": 0.817, "cores": 1, "memoryMb": 150, "maxFds": 4100},
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": round(1000 * HEARTBEAT_S),
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine"]
            + ["stream", "tenants", "platform"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": dict(BOUNDS),
            "platform": {"address": store.address, "form": "table", "writesPerS": 400}
            | {"readsPerS": 2000, "txMs": 5.0, "partWritesS": 200, "rowBytes": 65536}
            | {"across": False, "historyS": 20},
        }
        self.process: subprocess.Popen | None = None

    def write_settings(self) -> Path:
        path = self._folder / f"{self.name}.yaml"
        # JSON is YAML too
        path.with_suffix(".new").write_text(json.dumps(self.settings))
        path.with_suffix(".new").rename(path)
        return path

    def start(self) -> None:
        path = self.write_settings()
        with (ROOT / "deploy/system.toml").open("rb") as file:
            command = shlex.split(tomllib.load(file)["roles"]["gateway"]["run"])
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BASILROAD_SETTINGS": str(path),
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def is_ready(self) -> bool:
        try:
            status, _, _ = await fetch(self.ready, "GET", "/readiness", {}, timeout_s=1.0)
        except (OSError, HttpError, TimeoutError):
            return False
        return status == 200

    async def wait_ready(self, timeout_s: float = 30.0) -> None:
        until = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > until or self.process.poll() is not None:
                raise CannotRunError(f"{self.name} is not ready: {self.process.poll()}")
            await asyncio.sleep(0.05)

    def signal(self, number: int) -> None:
        self.process.send_signal(number)

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def read_log(self) -> str:
        return (self._folder / f"{self.name}.log").read_text(errors="replace")


class CannotRunError(Exception):
    """The case could not be set up."""


class Client:
    """A client's channel, kept for many requests."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        ip, _, port = self._address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(ip, int(port), limit=2**20)

    async def send(self, method: str, target: str, headers: dict, body: bytes = b"") -> None:
        if self._writer is None:
            await self.open()
        lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await self._writer.drain()

    async def receive(self) -> tuple[int, dict, bytes]:
        """Read one whole answer; raises HttpError if the channel ends before its end."""
        line, headers = await read_head(self._reader)
        head, status = dict(headers), int(line.split(" ")[1])
        if head.get("transfer-encoding") == "chunked":
            body = b"".join([part async for part in read_chunks(self._reader)])
        else:
            body = await read_exactly(self._reader, int(head.get("content-length", "0")))
        if head.get("connection", "").lower() == "close":
            self.close()
        return status, head, body

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


async def fetch(
    address: str, method: str, target: str, headers: dict, body: bytes = b"", timeout_s: float = 30
) -> tuple[int, dict, bytes]:
    """Send one request on a new channel."""
    client = Client(address)
    try:
        async with asyncio.timeout(timeout_s):
            await client.send(method, target, {"Host": address} | headers, body)
            return await client.receive()
    finally:
        client.close()


def new_id() -> str:
    """Return the id of a client attempt."""
    return f"{random.getrandbits(64):016x}"


def make_config(version: int, routes: list[dict], services: list[dict], **more: object) -> bytes:
    """Encode a config."""
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304}
    limits |= {"headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    document = {"version": version, "routes": routes, "services": services, "limits": limits}
    return json.dumps({**document, **more}).encode()


def make_route(name: str, service: str, kind: str, **more: object) -> dict:
    """Describe a route."""
    route = {"name": name, "host": "shop.example", "prefix": f"/{name}/", "service": service}
    route |= {"kind": kind, "timeoutMs": 5000, "sloMs": 1000, "maxAttempts": 1, "priority": 2}
    return {**route, **more}


def run_case(folder: str, case) -> None:
    """Run a case and exit with its result.

    :param folder: folder of the case
    :param case: coroutine function that takes the record and a temporary folder; true if the rule
        was broken
    """
    record = Record(Path(folder))
    temporary = Path(tempfile.mkdtemp(prefix="case-"))
    started = time.monotonic()
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, temporary), 110))
    except Exception as error:
        # a failure of the case itself must not look like a broken rule
        record.say(f"the case could not run: {error!r}")
        traceback.print_exc()
        status = NOT_RUN
    else:
        status = BROKEN if broken else HELD
        record.say("the rule was BROKEN" if broken else "the rule held")
    finally:
        if os.environ.get("KEEP"):
            print(temporary, file=sys.stderr)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    record.say(f"took {time.monotonic() - started:.1f} s, trouble {'on' if TROUBLE else 'off'}")
    sys.exit(status)


@contextlib.asynccontextmanager
async def running(*parts):
    """End all gateways and stand-ins at the end of a case, whatever happens."""
    try:
        yield
    finally:
        for part in parts:
            if isinstance(part, Gateway):
                part.kill()
            elif isinstance(part, Server):
                part.end()
            else:
                part.shut()
