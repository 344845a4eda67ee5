"""How the connections of callers to a gateway end."""

from __future__ import annotations

import asyncio
import re

import pytest
from aiohttp import web

from basilroad.http.ends import EndCause
from support.gatewayrig import GatewayRig
from support.timelimit import limit_time


def count_ends(rig: GatewayRig, cause: EndCause) -> float:
    """:return: connections that ended for a cause, by the gateway's metrics."""
    name = "basilroad_connections_ended_total"
    value = rig.service.gateway.metrics.registry.get_sample_value(name, {"cause": cause.value})
    return value or 0.0


async def wait_for_end(rig: GatewayRig, cause: EndCause, number: int = 1) -> None:
    """Wait until that many connections ended for a cause."""
    async with limit_time(5):
        while count_ends(rig, cause) < number:
            await asyncio.sleep(0.01)


def list_ends(caplog: pytest.LogCaptureFixture) -> list[tuple[str, str]]:
    """:return: request and cause of each line about the end of a connection."""
    return [
        (vars(line)["request"], vars(line)["cause"])
        for line in caplog.records
        if line.message == "connection ended"
    ]


async def open_connection(
    rig: GatewayRig,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection without a request on it.

    :param rig: the gateway
    :return: the connection
    """
    front = rig.service.settings.front
    return await asyncio.open_connection(front.ip, front.port)


async def find_connection(rig: GatewayRig) -> web.RequestHandler:
    """:return: the only connection of a caller."""
    server = rig.service.front._connections
    assert server is not None
    async with limit_time(5):
        while not server.connections:
            await asyncio.sleep(0.01)
    (connection,) = server.connections
    return connection


async def read_response(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Read one response with a length.

    :param reader: the connection
    :return: its status and body
    """
    async with limit_time(5):
        head = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"content-length: (\d+)", head.lower())
        assert length is not None, head
        return int(head.split(b" ", 2)[1]), await reader.readexactly(int(length[1]))


__all__ = [
    "count_ends",
    "find_connection",
    "list_ends",
    "open_connection",
    "read_response",
    "wait_for_end",
]
