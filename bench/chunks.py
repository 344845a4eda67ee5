"""Measure the processor time of an event of a chunked stream, read by the HTTP client."""

from __future__ import annotations

import asyncio
import cProfile
import multiprocessing
import os
import pstats
import statistics
import time
from multiprocessing.connection import Connection

import typer

from basilroad.http.channels import Channel
from basilroad.http.client import HttpClient, HttpRequest
from basilroad.http.messages import OutgoingRequest

EVENTS = 10_000
PACED_EVENTS = 2000
PACE_S = 0.001
TOGETHER = (1, 16)
EVENT = b'id: 123\ndata: {"token": "abcdefgh", "index": 123}\n\n'
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n"
CHUNK = b"%x\r\n%s\r\n" % (len(EVENT), EVENT)
LAST_CHUNK = b"0\r\n\r\n"
TIMEOUT_S = 5.0
MICROSECONDS = 1e6
PROFILE_LINES = 16


class SilentTransport(asyncio.Transport):
    """Transport that drops what is written."""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Drop data."""

    def get_write_buffer_size(self) -> int:
        """:return: 0, as nothing waits."""
        return 0

    def abort(self) -> None:
        """Do nothing."""

    def pause_reading(self) -> None:
        """Do nothing."""

    def resume_reading(self) -> None:
        """Do nothing."""


async def read_stream(together: int, *, available: bool) -> float:
    """Read a stream whose events arrive while the reader waits.

    :param together: events that arrive at a time
    :param available: whether a read returns all that has arrived, as those of the client do, or
        one chunk, as those of a gateway do
    :return: processor microseconds an event
    """
    channel = Channel(None)
    channel.connection_made(SilentTransport())
    channel.send(OutgoingRequest("GET", "/", (("Host", "h"),)))
    channel.data_received(HEAD)
    await channel.read_head()
    segment = CHUNK * together

    async def feed() -> None:
        for _ in range(EVENTS // together):
            channel.data_received(segment)
            await asyncio.sleep(0)

    started, size = time.process_time(), 0
    feeding = asyncio.ensure_future(feed())
    while size < EVENTS // together * together * len(EVENT):
        part = await (channel.read_available() if available else channel.read_data())
        assert part is not None
        size += len(part)
    spent_s = time.process_time() - started
    await feeding
    channel.data_received(LAST_CHUNK)
    assert await channel.read_data() is None
    return MICROSECONDS * spent_s / EVENTS


def serve_streams(ports: Connection) -> None:
    """Serve streams whose events are written a millisecond apart, until the process is ended.

    :param ports: receives the port
    """

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD)
        for _ in range(PACED_EVENTS):
            writer.write(CHUNK)
            await asyncio.sleep(PACE_S)
        writer.write(LAST_CHUNK)
        await writer.drain()
        writer.close()

    async def serve() -> None:
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        ports.send(server.sockets[0].getsockname()[1])
        await server.serve_forever()

    asyncio.run(serve())


async def read_over_loopback(port: int) -> tuple[float, int]:
    """Read a stream of the HTTP client over loopback.

    :param port: port of the server
    :return: processor microseconds an event, and number of reads
    """
    client = HttpClient(f"http://127.0.0.1:{port}", TIMEOUT_S)
    async with client.stream(HttpRequest("GET", "/")) as response:
        started, reads, size = time.process_time(), 0, 0
        while part := await response.read_part():
            reads, size = reads + 1, size + len(part)
        spent_s = time.process_time() - started
    await client.close()
    assert size == PACED_EVENTS * len(EVENT)
    return MICROSECONDS * spent_s / PACED_EVENTS, reads


def measure_loopback(rounds: int) -> None:
    """Print the median of streams over loopback.

    :param rounds: number of streams
    """
    receiver, sender = multiprocessing.Pipe(duplex=False)
    server = multiprocessing.get_context("spawn").Process(
        target=serve_streams, args=(sender,), daemon=True
    )
    server.start()
    try:
        port = receiver.recv()
        read = [asyncio.run(read_over_loopback(port)) for _ in range(rounds)]
    finally:
        server.terminate()
        server.join()
    spent, reads = zip(*read, strict=True)
    print(
        f"client over loopback, an event each millisecond: {statistics.median(spent):.1f} us an "
        f"event ({min(spent):.1f} to {max(spent):.1f}), "
        f"{PACED_EVENTS / statistics.median(reads):.1f} events a read"
    )


def main(rounds: int = 8, profile: bool = False) -> None:
    """Print the medians of several rounds.

    :param rounds: number of rounds
    :param profile: print a profile of events that arrive alone instead
    """
    if profile:
        profiler = cProfile.Profile()
        profiler.runcall(asyncio.run, read_stream(1, available=True))
        pstats.Stats(profiler).sort_stats("tottime").print_stats(PROFILE_LINES)
        return
    print(f"load average {os.getloadavg()[0]:.1f}")
    for available in (True, False):
        for together in TOGETHER:
            spent = [asyncio.run(read_stream(together, available=available)) for _ in range(rounds)]
            reads = "all that arrived" if available else "one chunk"
            print(
                f"{together} at a time, reads of {reads}: {statistics.median(spent):.1f} us "
                f"an event ({min(spent):.1f} to {max(spent):.1f})"
            )
    measure_loopback(rounds)


if __name__ == "__main__":
    typer.run(main)
