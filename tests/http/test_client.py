"""Check the HTTP client against a server that sends raw bytes."""

from __future__ import annotations

import asyncio
import socket
import ssl
import threading
import time
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
import attrs
import pytest

from basilroad.http.client import (
    HttpClient,
    HttpRequest,
    KeepAlive,
    RequestNotSentError,
    ResponseLostError,
)
from basilroad.http.keepalive import open_socket
from support.timelimit import limit_time

CERTIFICATES = Path(__file__).parent / "certificates"
TIMEOUT_S = 5.0
METHODS = ["GET", "PUT", "DELETE", "POST"]
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class RawServer:
    """Sends the same bytes for each request and closes the connection.

    :param answer: bytes of the response
    """

    def __init__(self, answer: bytes) -> None:
        self._answer = answer
        self.requests: list[bytes] = []
        self.url = ""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.requests.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(self._answer)
        await writer.drain()
        writer.close()


@asynccontextmanager
async def run_server(answer: bytes) -> AsyncIterator[RawServer]:
    raw = RawServer(answer)
    server = await asyncio.start_server(raw.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    raw.url = f"http://{host}:{port}"
    async with server:
        yield raw


@pytest.fixture(params=[True, False], ids=["reuses", "fresh"])
async def connect(request: pytest.FixtureRequest) -> AsyncIterator[Callable[[str], HttpClient]]:
    clients: list[HttpClient] = []

    def connect(url: str) -> HttpClient:
        clients.append(HttpClient(url, TIMEOUT_S, reuse_connections=request.param))
        return clients[-1]

    yield connect
    for client in clients:
        await client.close()


@pytest.mark.holds_once
@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("answer", [b"", b"HTTP/1.1 200", OK[:-1]], ids=["none", "head", "body"])
async def test_incomplete_response_is_lost_and_not_retried(
    connect: Callable[[str], HttpClient], method: str, answer: bytes
) -> None:
    async with run_server(answer) as server:
        with pytest.raises(ResponseLostError):
            await connect(server.url).send(HttpRequest(method, "/"))
    assert len(server.requests) == 1


# fault: a response cut in its body did not count as a sign of life of the server
@pytest.mark.parametrize("answer", [b"", OK[:-1]], ids=["none", "body"])
async def test_the_error_tells_that_the_server_closed_the_connection(answer: bytes) -> None:
    async with run_server(answer) as server:
        client = HttpClient(server.url, TIMEOUT_S)
        with pytest.raises(ResponseLostError) as caught:
            await client.send(HttpRequest("GET", "/"))
        assert caught.value.closed
        await client.close()


class SilentServer:
    """Stops responding on the connections that are open, and serves new ones."""

    def __init__(self) -> None:
        self.opened = 0
        self._is_silent = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        silent = self._is_silent
        while await reader.readline() not in (b"", b"\r\n"):
            pass
        while not reader.at_eof():
            if not silent.is_set():
                writer.write(OK)
            while await reader.readline() not in (b"", b"\r\n"):
                pass
        writer.close()

    def silence(self) -> None:
        silent, self._is_silent = self._is_silent, asyncio.Event()
        silent.set()


# after one connection fell silent, each idle one cost another time-out
async def test_after_a_time_out_requests_get_new_connections() -> None:
    silent = SilentServer()
    server = await asyncio.start_server(silent.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    client = HttpClient(f"http://{host}:{port}", 0.3)
    await asyncio.gather(*(client.send(HttpRequest("GET", "/")) for _ in range(3)))
    assert silent.opened == 3
    silent.silence()
    with pytest.raises(ResponseLostError):
        await client.send(HttpRequest("GET", "/"))
    assert (await client.send(HttpRequest("GET", "/"))).status == 200
    await client.close()
    server.close()


# a cut way to the server was noticed only when a long poll had timed out
async def test_idle_connections_are_probed_by_the_kernel() -> None:
    info = (socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", ("127.0.0.1", 1))
    with KeepAlive(idle_s=1, interval_s=1, probes=1).open_socket(info) as sock:
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) == 1
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL) == 1
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT) == 1
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 2000
    assert KeepAlive(idle_s=2, interval_s=1, probes=3).limit_s == 5


@attrs.define
class KeptSockets:
    """Keeps the sockets that it opens.

    :param keep_alive: sets their options; ``None`` for none
    """

    keep_alive: KeepAlive | None
    opened: list[socket.socket] = attrs.field(factory=list)

    def open_socket(self, info: aiohttp.AddrInfoType) -> socket.socket:
        create = open_socket if self.keep_alive is None else self.keep_alive.open_socket
        self.opened.append(create(info))
        return self.opened[-1]


# fault: the limit for unacknowledged data of endpoints replaced that of the probes
@pytest.mark.parametrize(
    ("keep_alive", "timeout_ms"), [(KeepAlive(), 2000), (KeepAlive(probes=3), 4000), (None, 0)]
)
async def test_a_connection_keeps_the_limits_of_its_probes(
    keep_alive: KeepAlive | None, timeout_ms: int
) -> None:
    sockets = KeptSockets(keep_alive)
    async with run_server(OK) as server:
        client = HttpClient(server.url, TIMEOUT_S, keep_alive=sockets)
        async with client.stream(HttpRequest("GET", "/")) as response:
            option = socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
            assert sockets.opened[0].getsockopt(*option) == timeout_ms
            await response.read()
        await client.close()


async def test_a_client_with_keep_alive_sends_requests() -> None:
    async with run_server(OK) as server:
        client = HttpClient(server.url, TIMEOUT_S, keep_alive=KeepAlive())
        assert (await client.send(HttpRequest("GET", "/"))).status == 200
        await client.close()


# fault: each request after a pause of two seconds opened a connection
@pytest.mark.parametrize(("idle_s", "opened"), [(10.0, 1), (20.0, 2)])
async def test_a_connection_is_reused_after_a_pause(idle_s: float, opened: int) -> None:
    server = SilentServer()
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    client = HttpClient(f"http://{host}:{port}", TIMEOUT_S)
    await client.send(HttpRequest("GET", "/"))
    for channel in client._idle._channels:
        channel.idle_since -= idle_s
    await client.send(HttpRequest("GET", "/"))
    assert server.opened == opened
    await client.close()
    listener.close()


async def test_a_time_out_ends_no_other_request() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        path = (await reader.readuntil(b"\r\n\r\n")).split()[1]
        await asyncio.sleep(0.5 if path == b"/slow" else 5.0)
        writer.write(OK)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    client = HttpClient(f"http://{host}:{port}", TIMEOUT_S)
    slow = asyncio.ensure_future(client.send(HttpRequest("GET", "/slow")))
    with pytest.raises(ResponseLostError):
        await client.send(HttpRequest("GET", "/"), 0.1)
    assert (await slow).status == 200
    await client.close()
    server.close()


@asynccontextmanager
async def run_slow_server(chunks: int, then_silent: bool = False) -> AsyncIterator[str]:
    """Run a server that sends ten bytes each 0.1 s.

    :param chunks: number of times that it sends
    :param then_silent: whether it never sends the last of these
    """

    tasks: list[asyncio.Task[None]] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        tasks.append(task)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {10 * chunks}\r\n\r\n".encode())
        try:
            for _ in range(chunks - then_silent):
                await asyncio.sleep(0.1)
                writer.write(b"0123456789")
            await reader.read()
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with server:
        yield f"http://{host}:{port}"
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


# fault: a read over a slow link was cut while its bytes arrived, and began anew
@pytest.mark.by_turns
async def test_a_response_whose_bytes_arrive_is_not_cut_by_the_limit_of_silence() -> None:
    async with run_slow_server(10) as url:
        client = HttpClient(url, 0.5)
        response = await client.send(HttpRequest("GET", "/"), transfer_limit_s=TIMEOUT_S)
        assert len(response.body) == 100
        await client.close()


@pytest.mark.parametrize(
    ("chunks", "then_silent", "transfer_limit_s"), [(3, True, 9.0), (60, False, 1.0)]
)
async def test_a_response_that_falls_silent_or_lasts_too_long_is_cut(
    chunks: int, then_silent: bool, transfer_limit_s: float
) -> None:
    async with run_slow_server(chunks, then_silent) as url:
        client = HttpClient(url, 0.5)
        with pytest.raises(ResponseLostError, match=r"[1-9][0-9]* bytes received") as caught:
            async with limit_time(2.0):
                await client.send(HttpRequest("GET", "/"), None, transfer_limit_s)
        assert caught.value.timed_out
        assert not caught.value.closed
        await client.close()


class ThreadServer:
    """Serves connections while the event loop of the test is blocked.

    :param answer: bytes of the response
    """

    def __init__(self, answer: bytes) -> None:
        self.answers = threading.Event()
        self.requests: list[bytes] = []
        self._answer = answer
        self._sock = socket.create_server(("127.0.0.1", 0))
        self.url = "http://{}:{}".format(*self._sock.getsockname())
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()

    def stop(self) -> None:
        self.answers.set()
        # ends the accept
        self._sock.shutdown(socket.SHUT_RDWR)
        self._thread.join()
        self._sock.close()

    def answer_in_block(self, block_s: float) -> None:
        """Block the event loop, and respond meanwhile."""
        self.answers.set()
        time.sleep(block_s)

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self._sock.accept()
            except OSError:
                return
            with connection:
                if request := connection.recv(65536):
                    self.requests.append(request)
                    self.answers.wait(TIMEOUT_S)
                    connection.sendall(self._answer)


BODY = 200_000 * b"x"


@pytest.fixture
def thread_server() -> Iterator[ThreadServer]:
    server = ThreadServer(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + BODY)
    yield server
    server.stop()


@attrs.frozen
class BlockingKeepAlive(KeepAlive):
    """Blocks the event loop while the kernel opens a connection.

    :param block_s: for how long, in seconds
    """

    block_s: float = 0.0

    def open_socket(self, info: aiohttp.AddrInfoType) -> socket.socket:
        asyncio.get_running_loop().call_soon(time.sleep, self.block_s)
        return super().open_socket(info)


# fault: a late event loop gave up a request whose response had arrived before the limit
async def test_a_response_that_arrived_while_the_event_loop_was_late(
    thread_server: ThreadServer,
) -> None:
    client = HttpClient(thread_server.url, 0.5)
    call = asyncio.create_task(client.send(HttpRequest("GET", "/")))
    while not thread_server.requests:
        await asyncio.sleep(0.01)
    asyncio.get_running_loop().call_soon(thread_server.answer_in_block, 0.7)
    assert (await call).body == BODY
    await client.close()


# fault: a late event loop gave up a connection that the kernel had opened before the limit
async def test_a_connection_that_was_opened_while_the_event_loop_was_late(
    thread_server: ThreadServer,
) -> None:
    thread_server.answers.set()
    client = HttpClient(thread_server.url, 0.3, keep_alive=BlockingKeepAlive(block_s=0.5))
    response = await client.send(HttpRequest("GET", "/"), None, TIMEOUT_S)
    assert response.body == BODY
    await client.close()


@pytest.mark.holds_not_run
async def test_nothing_is_sent_on_a_connection_that_is_open_after_the_time_limit(
    thread_server: ThreadServer,
) -> None:
    client = HttpClient(thread_server.url, 0.3, keep_alive=BlockingKeepAlive(block_s=0.5))
    with pytest.raises(RequestNotSentError) as caught:
        await client.send(HttpRequest("POST", "/"))
    assert caught.value.timed_out
    await client.close()
    assert thread_server.requests == []


async def test_a_late_event_loop_gives_up_a_request_without_a_response(
    thread_server: ThreadServer,
) -> None:
    client = HttpClient(thread_server.url, 0.3)
    call = asyncio.create_task(client.send(HttpRequest("GET", "/")))
    while not thread_server.requests:
        await asyncio.sleep(0.01)
    asyncio.get_running_loop().call_soon(time.sleep, 0.5)
    with pytest.raises(ResponseLostError) as caught:
        await call
    assert caught.value.timed_out
    await client.close()


async def test_only_given_headers_are_sent(connect: Callable[[str], HttpClient]) -> None:
    async with run_server(OK) as server:
        request = HttpRequest("GET", "/a%2Fb?c=%20", (("X-Oak", "1"), ("X-Oak", "2")))
        answer = await connect(server.url).send(request)
    line, *headers = server.requests[0].decode().split("\r\n")
    assert (answer.status, answer.body) == (200, b"ok")
    assert line == "GET /a%2Fb?c=%20 HTTP/1.1"
    assert {header.split(":")[0] for header in headers if header} <= {"Host", "X-Oak", "Connection"}
    assert headers.count("X-Oak: 1") == headers.count("X-Oak: 2") == 1


async def test_redirects_and_cookies_are_left_to_the_caller(
    connect: Callable[[str], HttpClient],
) -> None:
    headers = b"Location: /b\r\nSet-Cookie: a=b\r\nContent-Length: 0\r\nConnection: close"
    async with run_server(b"HTTP/1.1 307 X\r\n" + headers + b"\r\n\r\n") as server:
        client = connect(server.url)
        statuses = [(await client.send(HttpRequest("POST", "/a"))).status for _ in range(2)]
    assert statuses == [307, 307]
    assert all(b"Cookie" not in request for request in server.requests)


@pytest.mark.holds_not_run
@pytest.mark.parametrize("timeout_s", [0.0, -1.0])
async def test_nothing_is_sent_after_the_time_limit(
    connect: Callable[[str], HttpClient], timeout_s: float
) -> None:
    async with run_server(OK) as server:
        with pytest.raises(RequestNotSentError):
            await connect(server.url).send(HttpRequest("POST", "/"), timeout_s)
    assert server.requests == []


async def test_headers_keep_bytes_that_are_not_ascii(
    connect: Callable[[str], HttpClient],
) -> None:
    answer = "HTTP/1.1 200 OK\r\nX-Oak: chêne\r\nContent-Length: 0\r\n\r\n".encode()
    async with run_server(answer) as server:
        response = await connect(server.url).send(HttpRequest("GET", "/", (("X-Elm", "ormé"),)))
    assert response.headers["x-oak"] == "chêne"
    assert "X-Elm: ormé\r\n".encode() in server.requests[0]


async def test_the_path_of_the_url_precedes_that_of_a_request(
    connect: Callable[[str], HttpClient],
) -> None:
    async with run_server(OK) as server:
        await connect(f"{server.url}/a%20b/").send(HttpRequest("GET", "/c"))
    assert server.requests[0].startswith(b"GET /a%20b/c HTTP/1.1\r\n")


async def test_a_host_name_is_looked_up(connect: Callable[[str], HttpClient]) -> None:
    async with run_server(OK) as server:
        url = server.url.replace("127.0.0.1", "localhost")
        assert (await connect(url).send(HttpRequest("GET", "/"))).body == b"ok"
    assert b"Host: localhost:" in server.requests[0]


@pytest.mark.parametrize("url", ["ftp://127.0.0.1", "127.0.0.1:80", "http://", "http://a:b"])
async def test_nothing_is_sent_to_a_url_without_a_server(
    connect: Callable[[str], HttpClient], url: str
) -> None:
    with pytest.raises(RequestNotSentError):
        await connect(url).send(HttpRequest("GET", "/"))


@pytest.mark.parametrize("is_trusted", [True, False])
async def test_a_server_with_tls_needs_a_trusted_certificate(
    connect: Callable[[str], HttpClient],
    monkeypatch: pytest.MonkeyPatch,
    tmp_path: Path,
    is_trusted: bool,
) -> None:
    certificate = CERTIFICATES / "server.pem"
    (tmp_path / "empty.pem").write_text("")
    trusted = certificate if is_trusted else tmp_path / "empty.pem"
    monkeypatch.setenv("SSL_CERT_FILE", str(trusted))
    monkeypatch.setenv("SSL_CERT_DIR", str(tmp_path))
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(certificate, CERTIFICATES / "server.key")
    raw = RawServer(OK)
    server = await asyncio.start_server(raw.serve, "127.0.0.1", 0, ssl=context)
    host, port = server.sockets[0].getsockname()
    async with server:
        request = connect(f"https://{host}:{port}").send(HttpRequest("GET", "/"))
        if is_trusted:
            assert (await request).body == b"ok"
        else:
            with pytest.raises(RequestNotSentError):
                await request


# fault: a request of a client that was closed while it connected counted as one that may have run
@pytest.mark.holds_not_run
async def test_nothing_is_sent_by_a_client_that_is_closed_while_it_connects(
    thread_server: ThreadServer,
) -> None:
    client = HttpClient(thread_server.url, TIMEOUT_S)
    call = asyncio.create_task(client.send(HttpRequest("POST", "/")))
    await asyncio.sleep(0)
    await client.close()
    with pytest.raises(RequestNotSentError):
        await call
    assert thread_server.requests == []


async def test_an_address_of_ipv6_is_reached(connect: Callable[[str], HttpClient]) -> None:
    raw = RawServer(OK)
    server = await asyncio.start_server(raw.serve, "::1", 0)
    port = server.sockets[0].getsockname()[1]
    async with server:
        response = await connect(f"http://[::1]:{port}").send(HttpRequest("GET", "/"))
    assert response.body == b"ok"
    assert f"Host: [::1]:{port}\r\n".encode() in raw.requests[0]
