"""Loopback addresses of one test process."""

from __future__ import annotations

import contextlib
import os
import random
import socket
from collections import deque

from basilroad.peers.address import Address

LISTEN_PORTS = range(20000, 32000)
"""Ports of listeners, below those that the kernel gives to connections."""

RESERVING_IP = "127.0.1.1"
"""Address on which a test process holds the ports that it has taken on 127.0.0.1."""

RESERVED_PORTS = 256
"""Ports that a test process holds at once, more than a test uses."""

KERNEL_TRIES = 40_000
"""Listeners after which one has got any free port; the kernel chooses among about 7,000."""

_reservations: deque[socket.socket] = deque()


def find_free_port() -> int:
    """:return: a port of 127.0.0.1 that nothing else takes, also while no process listens on it."""
    while True:
        port = random.SystemRandom().choice(LISTEN_PORTS)
        reservation = socket.socket()
        try:
            reservation.bind((RESERVING_IP, port))
        except OSError:
            reservation.close()
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            _reservations.append(reservation)
            if len(_reservations) > RESERVED_PORTS:
                _reservations.popleft().close()
            return port
        reservation.close()


def find_free_address() -> Address:
    """:return: an address with such a port."""
    return Address("127.0.0.1", find_free_port())


def take_kernel_ports(ip: str) -> set[int]:
    """Listen again and again at ports that the kernel chooses.

    :param ip: loopback address
    :return: the ports
    """
    ports = set()
    for _ in range(KERNEL_TRIES):
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((ip, 0))
            ports.add(listener.getsockname()[1])
    return ports


def name_ip(number: int) -> str:
    """Name a loopback address of this process, on which no other connection takes a port.

    :param number: number of the server or gateway
    """
    pid = os.getpid()
    return f"127.{64 + (pid >> 8) % 128}.{pid % 256}.{1 + number}"


__all__ = ["find_free_address", "find_free_port", "name_ip", "take_kernel_ports"]
