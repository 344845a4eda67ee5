"""TCP proxy that injects the faults of a network link."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Coroutine
from socket import SO_LINGER, SOL_SOCKET
from typing import Any

from support.background import Background

_CHUNK_BYTES = 64 * 1024
_RESET = struct.pack("ii", 1, 0)

Chunks = asyncio.Queue[tuple[float, bytes]]


class FaultProxy:
    """Forwards connections to one server; its methods may be called from any thread.

    :param background: event loop of the proxy
    :param listen: "ip:port" that peers connect to
    :param target: "ip:port" of the server
    """

    def __init__(self, background: Background, listen: str, target: str) -> None:
        self.listen = listen
        self._background = background
        self._target = _split(target)
        self._server: asyncio.Server | None = None
        self._flowing = asyncio.Event()
        self._flowing.set()
        self._delay = 0.0
        self._drops = 0
        self._dropped = asyncio.Event()
        self._watched = b""
        self._matched = asyncio.Event()
        self._links: dict[asyncio.Task[None], list[asyncio.StreamWriter]] = {}
        self.heal()

    def cut(self) -> None:
        """Reset every connection and refuse new ones."""
        self._background.run(self._cut())

    def heal(self) -> None:
        """Accept connections again."""
        self._background.run(self._listen())

    def freeze(self) -> None:
        """Hold all bytes in both directions; connections stay open and new ones are accepted."""
        self._background.run(_call(self._flowing.clear))

    def thaw(self) -> None:
        """Deliver the held bytes and forward again."""
        self._background.run(_call(self._flowing.set))

    def delay(self, seconds: float) -> None:
        """Delay all bytes.

        :param seconds: latency added in each direction
        """
        self._delay = seconds

    def drop_answers(self, count: int) -> None:
        """Forward the next requests, but reset their connections instead of returning the response.

        :param count: number of responses to drop
        """
        self._background.run(self._arm(count))

    def wait_dropped(self) -> None:
        """Wait until all responses to be dropped have been dropped."""
        self._background.run(_wait(self._dropped))

    def watch(self, text: bytes) -> None:
        """Search the requests for a text from now on.

        :param text: lower-case text within one chunk
        """
        self._background.run(self._watch(text))

    async def wait_matched(self) -> None:
        """Wait, in the proxy's loop, until a request with the watched text has arrived."""
        await self._matched.wait()

    def close(self) -> None:
        """Stop the proxy."""
        self._background.run(self._cut())

    async def _listen(self) -> None:
        if self._server is None:
            self._server = await asyncio.start_server(self._serve, *_split(self.listen))

    async def _cut(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        links = dict(self._links)
        for link, writers in links.items():
            _abort(writers)
            link.cancel()
        await asyncio.gather(*links, return_exceptions=True)

    async def _arm(self, count: int) -> None:
        self._drops = count
        self._dropped.clear()

    async def _watch(self, text: bytes) -> None:
        self._watched = text
        self._matched.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = asyncio.current_task()
        assert link is not None
        writers = self._links[link] = [writer]
        try:
            await self._flowing.wait()
            upstream_reader, upstream_writer = await asyncio.open_connection(*self._target)
            writers.append(upstream_writer)
            await _run_together(
                self._pump(reader, upstream_writer, writers, answers=False),
                self._pump(upstream_reader, writer, writers, answers=True),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            _abort(writers)
            del self._links[link]

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        writers: list[asyncio.StreamWriter],
        *,
        answers: bool,
    ) -> None:
        chunks: Chunks = asyncio.Queue()
        await _run_together(
            self._read(reader, chunks, writers, answers=answers), self._write(writer, chunks)
        )

    async def _read(
        self,
        reader: asyncio.StreamReader,
        chunks: Chunks,
        writers: list[asyncio.StreamWriter],
        *,
        answers: bool,
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            chunk = await reader.read(_CHUNK_BYTES)
            if answers and chunk and self._drops:
                self._drop(writers)
            if not answers and self._watched and self._watched in chunk.lower():
                self._matched.set()
            chunks.put_nowait((loop.time() + self._delay, chunk))
            if not chunk:
                return

    async def _write(self, writer: asyncio.StreamWriter, chunks: Chunks) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due, chunk = await chunks.get()
            await asyncio.sleep(due - loop.time())
            await self._flowing.wait()
            if not chunk:
                writer.write_eof()
                return
            writer.write(chunk)
            await writer.drain()

    def _drop(self, writers: list[asyncio.StreamWriter]) -> None:
        self._drops -= 1
        if not self._drops:
            self._dropped.set()
        _abort(writers)
        raise ConnectionAbortedError


async def _run_together(*parts: Coroutine[Any, Any, None]) -> None:
    tasks = [asyncio.ensure_future(part) for part in parts]
    try:
        await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()


async def _call(function: Any) -> None:
    function()


async def _wait(event: asyncio.Event) -> None:
    await event.wait()


def _abort(writers: list[asyncio.StreamWriter]) -> None:
    for writer in writers:
        if not writer.transport.is_closing():
            writer.get_extra_info("socket").setsockopt(SOL_SOCKET, SO_LINGER, _RESET)
        writer.transport.abort()


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


__all__ = ["FaultProxy"]
