"""Addresses of an IP number and a port."""

from __future__ import annotations

import ipaddress
from functools import lru_cache
from typing import Any

import attrs

MAX_PORT = 65535

KNOWN_IPS = 4096
"""IP numbers whose check is remembered; planned fleets have hundreds of hosts."""


@lru_cache(KNOWN_IPS)
def _parse_ip(text: str) -> ipaddress.IPv4Address | ipaddress.IPv6Address:
    return ipaddress.ip_address(text)


def _check_ip(_instance: Any, _field: attrs.Attribute[str], value: str) -> None:
    _parse_ip(value)


def _check_port(_instance: Any, _field: attrs.Attribute[int], value: int) -> None:
    if not isinstance(value, int) or not 0 < value <= MAX_PORT:
        raise ValueError(f"{value!r} is not a port from 1 to {MAX_PORT}")


@attrs.frozen(order=True)
class Address:
    """Address on which a process listens.

    :param ip: IP number
    :param port: TCP port
    :raises ValueError: they are no IP number and port
    """

    ip: str = attrs.field(validator=_check_ip)
    port: int = attrs.field(validator=_check_port)

    def __str__(self) -> str:
        return f"[{self.ip}]:{self.port}" if ":" in self.ip else f"{self.ip}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse ``ip:port``.

    :param text: for example ``127.0.0.1:8080``; an IPv6 number may be in square brackets
    :return: the address
    :raises ValueError: it is no IP number and port
    """
    ip, _, port = text.rpartition(":")
    if ip.startswith("[") and ip.endswith("]"):
        ip = ip[1:-1]
    # int() accepts signs, spaces, underscores and other scripts' digits
    if not ip or not (port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))):
        raise ValueError(f"{text!r} is not ip:port")
    return Address(ip, int(port))


def parse_remote_address(text: str) -> Address:
    """Parse the ``ip:port`` of another process.

    :param text: for example ``10.0.0.1:8080``
    :return: the address
    :raises ValueError: it is no IP number and port, or one that no host can have
    """
    address = parse_address(text)
    ip = _parse_ip(address.ip)
    if ip.is_unspecified or ip.is_multicast or (ip.version == 4 and ip.is_reserved):
        raise ValueError(f"{text!r} is not the address of a host")
    return address


__all__ = ["Address", "parse_address", "parse_remote_address"]
