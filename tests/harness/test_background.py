"""Check servers that run in the background thread."""

from __future__ import annotations

import asyncio
import threading

from support.background import Background, close_server


class RecordingServer(asyncio.Server):
    """Records the thread that closes it."""

    closed_in: int = 0

    def close(self) -> None:
        self.closed_in = threading.get_ident()
        super().close()


async def start() -> RecordingServer:
    return RecordingServer(asyncio.get_running_loop(), [], asyncio.Protocol, None, 1, None)


async def find_thread() -> int:
    return threading.get_ident()


# fault: a test closed a server while its last connection ended in the other thread
def test_a_server_is_closed_in_the_thread_that_serves_it(background: Background) -> None:
    server = background.run(start())
    background.run(close_server(server))
    assert server.closed_in == background.run(find_thread())
