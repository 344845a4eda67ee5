"""Addresses of an IP number and a port."""

from __future__ import annotations

import attrs


@attrs.frozen(order=True)
class Address:
    """Address on which a process listens.

    :param ip: IP number
    :param port: TCP port
    """

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse ``ip:port``.

    :param text: for example ``127.0.0.1:8080``
    :return: the address
    :raises ValueError: the port is missing or not a number
    """
    ip, _, port = text.rpartition(":")
    if not ip:
        raise ValueError(f"{text!r} is not ip:port")
    return Address(ip, int(port))


__all__ = ["Address", "parse_address"]
