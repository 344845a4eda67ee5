"""Base URL of a server, and connections to it."""

from __future__ import annotations

import asyncio
import ipaddress
import socket
import ssl
from typing import TYPE_CHECKING

import aiohappyeyeballs
import attrs
from yarl import URL

from basilroad.http.channels import Channel
from basilroad.http.keepalive import open_socket
from basilroad.http.messages import ConnectError

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohappyeyeballs import AddrInfoType

NEXT_ADDRESS_DELAY_S = 0.25
"""Time after which the next address of a name is tried beside one that has not answered yet."""


@attrs.frozen
class BaseUrl:
    """URL of a server below which the targets of requests are.

    :param host: name or IP address
    :param port: TCP port
    :param authority: host and port as in the ``Host`` header
    :param path: path of the URL, percent-encoded, without a slash at its end
    :param tls: settings of connections with TLS; ``None`` for those without
    """

    host: str
    port: int
    authority: str
    path: str = ""
    tls: ssl.SSLContext | None = None

    @classmethod
    def parse(cls, text: str) -> BaseUrl:
        """:return: the URL in a text.

        :raises ValueError: it names no server, or another protocol
        """
        url = URL(text, encoded=True)
        if url.scheme not in ("http", "https") or not url.raw_host or not url.port:
            raise ValueError(f"{text!r} is no http:// or https:// URL")
        authority = url.host_port_subcomponent or ""
        path = url.raw_path.rstrip("/")
        # reads the trusted certificates, which takes too long for each connection
        tls = ssl.create_default_context() if url.scheme == "https" else None
        return cls(url.raw_host, url.port, authority, path, tls)

    async def connect(
        self, create_socket: Callable[[AddrInfoType], socket.socket] = open_socket
    ) -> Channel:
        """Open a connection.

        :param create_socket: creates the socket for an address
        :return: the connection, without a request
        :raises ConnectError: it could not be opened
        """
        try:
            sock = await aiohappyeyeballs.start_connection(
                await self._resolve(),
                happy_eyeballs_delay=NEXT_ADDRESS_DELAY_S,
                socket_factory=create_socket,
            )
            return await self._open_channel(sock)
        except Exception as error:
            # for a connection that can't be opened, asyncio raises others than OSError too
            raise ConnectError(repr(error)) from error

    async def _open_channel(self, sock: socket.socket) -> Channel:
        name = None if self.tls is None else self.host
        loop = asyncio.get_running_loop()
        try:
            _, channel = await loop.create_connection(
                lambda: Channel(None), sock=sock, ssl=self.tls, server_hostname=name
            )
        except BaseException:
            sock.close()
            raise
        return channel

    async def _resolve(self) -> list[AddrInfoType]:
        try:
            family = _find_family(self.host)
        except ValueError:
            loop = asyncio.get_running_loop()
            found = await loop.getaddrinfo(self.host, self.port, type=socket.SOCK_STREAM)
            return list(found)
        # a look-up would take a thread
        address = (self.host, self.port)
        return [(family, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", address)]


def _find_family(number: str) -> socket.AddressFamily:
    version = ipaddress.ip_address(number.partition("%")[0]).version
    return socket.AF_INET6 if version == 6 else socket.AF_INET


__all__ = ["BaseUrl"]
