"""Network link of limited bandwidth that several connections share."""

from __future__ import annotations

import asyncio
import contextlib

from basilroad.peers.address import Address

CHUNK_BYTES = 8 * 1024


class SharedLink:
    """Forwards connections to one server; all responses together share its bandwidth.

    :param bytes_per_s: bandwidth of the responses in bytes per second
    :param delay_s: latency of the requests in seconds
    """

    def __init__(self, bytes_per_s: float, delay_s: float = 0.0) -> None:
        self._bytes_per_s = bytes_per_s
        self._delay_s = delay_s
        self._free_at = 0.0
        self._server: asyncio.Server | None = None
        self._target: Address | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, target: Address) -> Address:
        """Listen on loopback.

        :param target: address of the server
        :return: address of the link
        """
        self._target = target
        self._server = await asyncio.start_server(self._forward, "127.0.0.1", 0)
        return Address(*self._server.sockets[0].getsockname()[:2])

    async def stop(self) -> None:
        """Close the listener and all connections."""
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        assert self._target is not None
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._target.ip, self._target.port
            )
        except OSError:
            writer.close()
            return
        pumps = [
            asyncio.create_task(self._send_requests(reader, far_writer)),
            asyncio.create_task(self._send_responses(far_reader, writer)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            for end in (writer, far_writer):
                end.close()

    async def _send_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(self._delay_s)
                writer.write(data)
                await writer.drain()

    async def _send_responses(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(CHUNK_BYTES):
                self._free_at = max(loop.time(), self._free_at) + len(data) / self._bytes_per_s
                await asyncio.sleep(self._free_at - loop.time())
                writer.write(data)
                await writer.drain()


__all__ = ["SharedLink"]
