"""Exchange of the configuration document between gateways."""

from __future__ import annotations

import asyncio
import socket

import pytest

from basilroad.gateway.configexchange import PATH, ConfigExchange
from basilroad.peers.address import Address
from support.addresses import find_free_port


# fault: the kernel reset a fetch that was not read when the gateway stopped, and the other gateway
# read the whole configuration from the store
@pytest.mark.parametrize("turns", range(8))
async def test_a_fetch_that_has_arrived_when_a_gateway_stops_is_answered(turns: int) -> None:
    address = Address("127.0.0.1", find_free_port())
    exchange = ConfigExchange(address)
    exchange.document = b"document"
    await exchange.start()
    with socket.create_connection((address.ip, address.port), timeout=5) as peer:
        peer.sendall(f"GET {PATH} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        for _ in range(turns):
            await asyncio.sleep(0)
        await exchange.stop()
        response = await asyncio.to_thread(peer.recv, 65536)
    assert response.startswith(b"HTTP/1.1 200 ")
