"""Ports that stay with a stand-in while it is down."""

from __future__ import annotations

import socket


def hold_port(ip: str, port: int = 0) -> socket.socket:
    """Hold a port; only a listener that names it can listen there.

    :param ip: loopback address
    :param port: port; 0 takes a free one
    :return: socket bound to it, which holds the port until it is closed
    :raises OSError: another process listens there, or a connection has the port
    """
    holder = socket.socket()
    try:
        # listeners have the option, too, without which they could not share the port with it
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((ip, port))
    except OSError:
        holder.close()
        raise
    return holder


__all__ = ["hold_port"]
