"""Check the faults of the proxy with an echo server."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable, Iterator

import pytest

from support.addresses import find_free_port
from support.background import Background, close_server
from support.proxy import FaultProxy

Connect = Callable[[], socket.socket]


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while chunk := await reader.read(1000):
        writer.write(chunk)
    writer.close()


@pytest.fixture
def proxy(background: Background) -> Iterator[FaultProxy]:
    server = background.run(asyncio.start_server(echo, "127.0.0.1", 0))
    target = server.sockets[0].getsockname()[1]
    proxy = FaultProxy(background, f"127.0.0.1:{find_free_port()}", f"127.0.0.1:{target}")
    yield proxy
    proxy.close()
    background.run(close_server(server))


@pytest.fixture
def connect(proxy: FaultProxy) -> Iterator[Connect]:
    opened: list[socket.socket] = []

    def connect() -> socket.socket:
        host, port = proxy.listen.split(":")
        opened.append(socket.create_connection((host, int(port)), 5))
        return opened[-1]

    yield connect
    for connection in opened:
        connection.close()


def send(connection: socket.socket, data: bytes) -> bytes:
    connection.sendall(data)
    return connection.recv(1000)


def test_bytes_and_end_pass(connect: Connect) -> None:
    connection = connect()
    assert send(connection, b"oak") == b"oak"
    connection.shutdown(socket.SHUT_WR)
    assert connection.recv(10) == b""


def test_cut_resets_and_refuses(proxy: FaultProxy, connect: Connect) -> None:
    connection = connect()
    send(connection, b"oak")
    proxy.cut()
    with pytest.raises(ConnectionResetError):
        connection.recv(10)
    with pytest.raises(ConnectionRefusedError):
        connect()
    proxy.heal()
    assert send(connect(), b"bung") == b"bung"


def test_frozen_bytes_come_on_thaw(proxy: FaultProxy, connect: Connect) -> None:
    connection = connect()
    send(connection, b"oak")
    proxy.freeze()
    late = connect()
    for each in (connection, late):
        each.settimeout(0.1)
        with pytest.raises(TimeoutError):
            send(each, b"bung")
        each.settimeout(5)
    proxy.thaw()
    assert connection.recv(10) == b"bung"
    assert late.recv(10) == b"bung"


def test_delay_counts_each_way(proxy: FaultProxy, connect: Connect) -> None:
    connection = connect()
    proxy.delay(0.05)
    began = time.monotonic()
    assert send(connection, b"oak") == b"oak"
    assert time.monotonic() - began >= 0.1


def test_dropped_answers_are_counted(proxy: FaultProxy, connect: Connect) -> None:
    proxy.drop_answers(2)
    for _ in range(2):
        with pytest.raises(ConnectionResetError):
            send(connect(), b"oak")
    proxy.wait_dropped()
    assert send(connect(), b"oak") == b"oak"
