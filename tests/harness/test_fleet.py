"""Check what tests ask the processes of a fleet."""

from __future__ import annotations

import asyncio
from pathlib import Path

from support.background import Background, close_server
from support.fleet import PROBE_TIMEOUT_S, Process


async def respond_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readuntil(b"\r\n\r\n")
    await asyncio.sleep(PROBE_TIMEOUT_S + 0.3)
    writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{"s1-0": 1}')
    writer.close()


# fault: a test of orders failed with a time-out when the machine delayed the count of runs
def test_a_late_count_is_waited_for(background: Background, tmp_path: Path) -> None:
    server = background.run(asyncio.start_server(respond_late, "127.0.0.1", 0))
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    process = Process("orders-0", ("service",), {}, address, "", tmp_path)
    assert process.ask("GET", "/control/counts") == {"s1-0": 1}
    background.run(close_server(server))
