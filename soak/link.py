"""Loopback TCP proxy that delays, holds or resets traffic."""

from __future__ import annotations

import asyncio
import socket
import struct

CHUNK_BYTES = 65536
POLL_S = 0.01


class Link:
    """A proxied path to one listener.

    :param port: port of the listener
    :param ip: loopback address of the listener and of the proxy
    """

    def __init__(self, port: int, ip: str) -> None:
        self.port = 0
        self.ip = ip
        self.delay_s = 0.0
        self.holds_requests = False
        self.holds_answers = False
        self._target = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def heal(self) -> None:
        """Forward all traffic again; held bytes are delivered late."""
        self.delay_s = 0.0
        self.holds_requests = self.holds_answers = False

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            if sock is not None and not writer.transport.is_closing():
                # SO_LINGER with a time of 0 makes the close send a TCP reset
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        connection_writers = {writer}
        try:
            upstream, to_upstream = await asyncio.open_connection(self.ip, self._target)
            connection_writers.add(to_upstream)
            self._writers |= connection_writers
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, to_upstream, answers=False))
                group.create_task(self._pump(upstream, writer, answers=True))
        except (OSError, ExceptionGroup, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers -= connection_writers
            for open_writer in connection_writers:
                open_writer.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, answers: bool
    ) -> None:
        while True:
            data = await reader.read(CHUNK_BYTES)
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while self.holds_answers if answers else self.holds_requests:
                await asyncio.sleep(POLL_S)
            if not data:
                # the end of either direction closes both, as neither peer uses half-close
                await asyncio.sleep(POLL_S)
                raise ConnectionResetError
            writer.write(data)
            await writer.drain()


__all__ = ["Link"]
