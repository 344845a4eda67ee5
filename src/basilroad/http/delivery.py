"""Delivery of sent data, as the kernel knows it."""

from __future__ import annotations

import fcntl
import logging
import socket
import struct
import termios

_LOGGER = logging.getLogger(__name__)


def count_unacknowledged(sock: socket.socket) -> int:
    """Count the bytes that the kernel has taken and the peer's kernel has not acknowledged.

    :param sock: a connected TCP socket
    :return: number of bytes; 0 where the kernel does not tell
    """
    try:
        # SIOCOUTQ of Linux has the number of TIOCOUTQ
        count = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError as error:
        _LOGGER.debug("unacknowledged bytes not known", extra={"detail": repr(error)})
        return 0
    return int(struct.unpack("i", count)[0])


def read_error(sock: socket.socket) -> OSError | None:
    """:return: the error that has ended a connection since the last read of it, if any."""
    number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return OSError(number, "connection lost") if number else None


__all__ = ["count_unacknowledged", "read_error"]
