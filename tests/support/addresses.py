"""Loopback addresses of one test process."""

from __future__ import annotations

import os


def name_ip(number: int) -> str:
    """Name a loopback address of this process, on which no other connection takes a port.

    :param number: number of the server or gateway
    """
    pid = os.getpid()
    return f"127.{64 + (pid >> 8) % 128}.{pid % 256}.{1 + number}"


__all__ = ["name_ip"]
