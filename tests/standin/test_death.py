"""Check that a crash on request ends the process of a stand-in."""

from __future__ import annotations

import sys
from asyncio.subprocess import PIPE, create_subprocess_exec

import aiohttp
import pytest

from basilroad.standin.server import EXIT_STATUS

PROGRAM = """
import asyncio
from basilroad.standin.engine import EngineStandin
from basilroad.standin.settings import EngineStandinSettings

async def serve():
    settings = EngineStandinSettings("e1", "127.0.0.1:0", "m", crash_on="bung")
    async with EngineStandin(settings) as engine:
        print(engine.url, flush=True)
        await asyncio.Event().wait()

asyncio.run(serve())
"""


@pytest.mark.parametrize(
    ("path", "body"),
    [
        ("/control", {"die": True}),
        ("/generate", {"request_id": "r", "prompt": "a bung", "model": "m"}),
    ],
)
async def test_process_exits_without_a_response(path: str, body: dict[str, object]) -> None:
    process = await create_subprocess_exec(sys.executable, "-c", PROGRAM, stdout=PIPE)
    try:
        assert process.stdout is not None
        url = (await process.stdout.readline()).decode().strip()
        async with aiohttp.ClientSession() as session:
            with pytest.raises(aiohttp.ClientError):
                async with session.post(url + path, json=body) as response:
                    await response.read()
        assert await process.wait() == EXIT_STATUS
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
