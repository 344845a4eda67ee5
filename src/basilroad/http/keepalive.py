"""Probes of idle connections by the kernel."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from aiohappyeyeballs import AddrInfoType


@attrs.frozen
class KeepAlive:
    """Probes of idle connections by the kernel, which find that the way to the server is cut.

    :param idle_s: whole seconds without data before the first probe
    :param interval_s: whole seconds between probes
    :param probes: unanswered probes after which the connection is closed
    """

    idle_s: int = 1
    interval_s: int = 1
    probes: int = 1

    @property
    def limit_s(self) -> int:
        """:return: seconds after the last data at which a cut connection is closed."""
        return self.idle_s + self.probes * self.interval_s

    def open_socket(self, info: AddrInfoType) -> socket.socket:
        """:return: a socket for an address, with these probes."""
        sock = open_socket(info)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, self.idle_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, self.interval_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, self.probes)
        # probes are not sent while data is unacknowledged
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 1000 * self.limit_s)
        return sock


def open_socket(info: AddrInfoType) -> socket.socket:
    """:return: a socket for an address, without probes."""
    family, kind, protocol, _, _ = info
    return socket.socket(family, kind, protocol)


__all__ = ["KeepAlive", "open_socket"]
