"""The application server stand-in keeps prompts and fetches them from others."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator

import aiohttp
import pytest

from basilroad.standin.appserver import AppServerStandin
from basilroad.standin.promptcache import read_prompt
from basilroad.standin.streamevents import decode_events
from support.addresses import name_ip

EVENTS = 3
PROMPT = "aa:600,bb:300,cc:100"
TOKENS = 1000
FETCH_LIMIT_S = 0.1


class Engines:
    """Two stand-ins and requests to them."""

    def __init__(self) -> None:
        self.source, self.other = (
            AppServerStandin(f"i-{number}", events=EVENTS, ip=name_ip(number))
            for number in range(2)
        )
        self.other.prompts.fetch_limit_s = FETCH_LIMIT_S

    async def start(self) -> None:
        self.session = aiohttp.ClientSession()
        await self.source.start()
        await self.other.start()

    async def stop(self) -> None:
        await self.session.close()
        await self.source.stop()
        await self.other.stop()

    async def generate(
        self, server: AppServerStandin, prompt: str = PROMPT, **headers: str
    ) -> None:
        """Read a stream and check that it is whole."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        async with self.session.post(
            f"http://{server.ip}:{server.port}/s/1", headers={"X-Prompt-Prefix": prompt, **named}
        ) as response:
            events = decode_events(await response.read())
        assert [event.number for event in events] == list(range(1, EVENTS + 1))

    async def fetch(self) -> None:
        """Let the other one serve a prompt that it is told to fetch."""
        await self.generate(self.other, Kv_Fetch=f"{self.source.ip}:{self.source.port}")


@pytest.fixture
async def engines() -> AsyncIterator[Engines]:
    engines = Engines()
    await engines.start()
    yield engines
    await engines.stop()


def count(server: AppServerStandin) -> tuple[int, int, int]:
    """:return: tokens that a server has read, found and fetched."""
    prompts = server.prompts
    return prompts.tokens_read, prompts.tokens_found, prompts.tokens_fetched


def list_kept(server: AppServerStandin, *prompts: str) -> list[bool]:
    """:return: whether a server keeps each of some prompts."""
    headers = ({"x-prompt-prefix": prompt} for prompt in prompts)
    return [server.prompts.keeps(read_prompt(one)) for one in headers]


async def test_a_prompt_is_read_once(engines: Engines) -> None:
    for _ in range(3):
        await engines.generate(engines.source)
    assert count(engines.source) == (TOKENS, 2 * TOKENS, 0)
    assert count(engines.other) == (0, 0, 0)


async def test_parts_are_found_up_to_the_first_that_is_missing(engines: Engines) -> None:
    await engines.generate(engines.source)
    await engines.generate(engines.source, "aa:600,dd:50,bb:300")
    assert count(engines.source) == (TOKENS + 350, 600, 0)


async def test_a_restart_drops_all_prompts(engines: Engines) -> None:
    await engines.generate(engines.source)
    await engines.source.release("v1")
    await engines.generate(engines.source)
    assert count(engines.source) == (2 * TOKENS, 0, 0)


async def test_the_least_recently_used_prompts_leave(engines: Engines) -> None:
    engines.source.prompts.max_tokens = 500
    for prompt in ("aa:200", "bb:200", "aa:200", "cc:200"):
        await engines.generate(engines.source, prompt)
    assert list_kept(engines.source, "aa:200", "bb:200", "cc:200") == [True, False, True]


async def test_parts_leave_before_those_that_they_follow(engines: Engines) -> None:
    engines.source.prompts.max_tokens = TOKENS
    await engines.generate(engines.source)
    await engines.generate(engines.source, "dd:100")
    assert list_kept(engines.source, "aa:600", "bb:300", "cc:100") == [True, True, False]


async def test_only_what_must_be_read_takes_time(engines: Engines) -> None:
    engines.source.prompts.read_s_per_1000 = 0.3
    lengths_s = []
    for _ in range(2):
        began = time.monotonic()
        await engines.generate(engines.source)
        lengths_s.append(time.monotonic() - began)
    assert lengths_s[0] >= 0.3
    assert lengths_s[0] - lengths_s[1] > 0.15


async def test_a_prompt_is_fetched_and_kept(engines: Engines) -> None:
    await engines.generate(engines.source)
    await engines.fetch()
    await engines.generate(engines.other)
    assert count(engines.other) == (0, TOKENS, TOKENS)
    assert len(engines.source.seen) == 1


async def test_only_missing_parts_are_fetched_and_the_rest_is_read(engines: Engines) -> None:
    await engines.generate(engines.source, "aa:600,bb:300")
    await engines.generate(engines.other, "aa:600")
    await engines.fetch()
    assert count(engines.other) == (600 + 100, 600, 300)


async def test_nothing_is_fetched_that_is_kept(engines: Engines) -> None:
    await engines.generate(engines.source)
    await engines.generate(engines.other)
    await engines.fetch()
    assert engines.other.prompts.fetches == 0


async def test_a_prompt_is_read_if_its_source_keeps_nothing(engines: Engines) -> None:
    await engines.fetch()
    assert count(engines.other) == (TOKENS, 0, 0)


async def test_a_prompt_is_read_if_its_source_is_gone(engines: Engines) -> None:
    await engines.generate(engines.source)
    await engines.source.stop()
    await engines.fetch()
    assert count(engines.other) == (TOKENS, 0, 0)


async def test_a_prompt_is_read_if_its_source_is_silent(engines: Engines) -> None:
    await engines.generate(engines.source)
    engines.source.silent = True
    began = time.monotonic()
    await engines.fetch()
    assert time.monotonic() - began >= FETCH_LIMIT_S
    assert count(engines.other) == (TOKENS, 0, 0)


async def test_a_prompt_is_read_if_its_source_dies_midway(engines: Engines) -> None:
    await engines.generate(engines.source)
    engines.source.prompts.fetch_s_per_1000 = engines.other.prompts.fetch_s_per_1000 = 2.0
    fetching = asyncio.ensure_future(engines.fetch())
    # some pieces have been sent then, each of which takes 0.2 s
    await asyncio.sleep(0.5)
    assert not fetching.done()
    await engines.source.stop()
    await fetching
    assert count(engines.other) == (TOKENS, 0, 0)


async def test_the_tokens_read_are_counted_by_request(engines: Engines) -> None:
    await engines.generate(engines.source, X_Attempt_Id="first")
    await engines.generate(engines.source, X_Attempt_Id="second")
    loads = [(load.request_id, load.tokens_read) for load in engines.source.prompts.loads]
    assert loads == [("first", TOKENS), ("second", 0)]


async def test_a_load_names_the_servers_that_kept_the_prompt(engines: Engines) -> None:
    servers = (engines.source, engines.other)
    for server in servers:
        server.prompts.find_holders = lambda prompt: tuple(
            one.id for one in servers if one.prompts.keeps(prompt)
        )
    await engines.generate(engines.source)
    await engines.generate(engines.other)
    await engines.source.stop()
    await engines.generate(engines.other)
    assert [load.holders for load in engines.source.prompts.loads] == [()]
    assert [load.holders for load in engines.other.prompts.loads] == [("i-0",), ("i-1",)]


async def test_nothing_is_read_for_a_run_that_continues_from_a_backup(engines: Engines) -> None:
    await engines.generate(engines.source, Kv_From="127.0.0.1:1/first")
    assert count(engines.source) == (0, 0, 0)
