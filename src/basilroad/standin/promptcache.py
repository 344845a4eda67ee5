"""Prompts that an application server stand-in keeps, and their transfer between stand-ins."""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping, Sequence

import attrs

FETCH_TARGET = "/kept-prompt"
"""Path at which a stand-in sends what it keeps of a prompt."""

MAX_KEPT_TOKENS = 88_000
"""Tokens of all prompts that a stand-in keeps, as in the configs of the tests."""

FETCH_LIMIT_S = 0.5
"""Time limit of a fetch beyond the time of its transfer."""

PIECE_TOKENS = 100
"""Tokens that are transferred at once."""

_LOGGER = logging.getLogger(__name__)


@attrs.frozen
class PromptPart:
    """A part of a prompt.

    :param id: its id
    :param tokens: its length
    """

    id: str
    tokens: int


@attrs.frozen
class PromptLoad:
    """How a stand-in got the prompt of a request.

    :param request_id: id of the request
    :param tokens_read: tokens that it had to read
    :param holders: servers of its fleet that kept the whole prompt when the request came
    """

    request_id: str
    tokens_read: int
    holders: tuple[str, ...] = ()


def read_prompt(headers: Mapping[str, str]) -> list[PromptPart]:
    """Read the prompt of a request.

    :param headers: headers by lower-case name
    :return: its parts in order; one without a valid length has no tokens
    """
    parts = []
    for entry in headers.get("x-prompt-prefix", "").split(","):
        name, _, tokens = entry.strip().partition(":")
        if name:
            parts.append(PromptPart(name, int(tokens) if tokens.isdecimal() else 0))
    return parts


@attrs.define
class PromptCache:
    """Parts of the prompts that a stand-in has read, the least recently used of which leave first.

    :param read_s_per_1000: seconds in which 1,000 tokens are read
    :param fetch_s_per_1000: seconds in which 1,000 tokens are sent to another stand-in
    :param max_tokens: tokens that are kept
    :param fetch_limit_s: seconds that a fetch may take beyond its transfer
    :param tokens_read: tokens that were read
    :param tokens_found: tokens that were kept when a request came
    :param tokens_fetched: tokens that came from another stand-in
    :param fetches: fetches that were begun
    :param loads: loads of prompts, in order of their end
    :param find_holders: returns the names of the servers of a fleet that keep a prompt
    """

    read_s_per_1000: float = 0.0
    fetch_s_per_1000: float = 0.0
    max_tokens: int = MAX_KEPT_TOKENS
    fetch_limit_s: float = FETCH_LIMIT_S
    tokens_read: int = 0
    tokens_found: int = 0
    tokens_fetched: int = 0
    fetches: int = 0
    loads: list[PromptLoad] = attrs.field(factory=list)
    find_holders: Callable[[Sequence[PromptPart]], tuple[str, ...]] = lambda _prompt: ()
    _kept: OrderedDict[str, int] = attrs.field(factory=OrderedDict)

    def clear(self) -> None:
        """Drop all prompts, as at a restart; the counts stay."""
        self._kept.clear()

    def keeps(self, prompt: Iterable[PromptPart]) -> bool:
        """:return: whether all parts of a prompt are kept."""
        return all(self._kept.get(part.id) == part.tokens for part in prompt)

    def count_kept(self, prompt: Sequence[PromptPart]) -> int:
        """:return: tokens at the start of a prompt that needn't be read; a part counts only if all
        before it are kept."""
        tokens = 0
        for part in prompt:
            if self._kept.get(part.id) != part.tokens:
                break
            tokens += part.tokens
        return tokens

    async def load(self, headers: Mapping[str, str]) -> None:
        """Load the prompt of a request: what is kept, then what can be fetched, then the rest.

        :param headers: headers of the request by lower-case name
        """
        prompt = read_prompt(headers)
        # a run that continues from a backup of its memory has its prompt there
        if not prompt or "kv-from" in headers:
            return
        holders = self.find_holders(prompt)
        total, found = sum(part.tokens for part in prompt), self.count_kept(prompt)
        self._keep(prompt, found)
        fetched = 0
        if found < total and (source := headers.get("kv-fetch")):
            self.fetches += 1
            fetched = await self._fetch(source, headers, found)
        left = total - found - fetched
        if left and self.read_s_per_1000:
            await asyncio.sleep(left * self.read_s_per_1000 / 1000)
        self.tokens_found += found
        self.tokens_fetched += fetched
        self.tokens_read += left
        self.loads.append(PromptLoad(headers.get("x-attempt-id", ""), left, holders))
        self._keep(prompt, total)

    def _keep(self, prompt: Sequence[PromptPart], tokens: int) -> None:
        loaded, end = [], 0
        for part in prompt:
            end += part.tokens
            if end <= tokens:
                loaded.append(part)
        # a part is of no use without those before it, which thus count as used after it
        for part in reversed(loaded):
            self._kept[part.id] = part.tokens
            self._kept.move_to_end(part.id)
        while sum(self._kept.values()) > self.max_tokens:
            self._kept.popitem(last=False)

    async def _fetch(self, source: str, headers: Mapping[str, str], found: int) -> int:
        """:return: tokens that came from another stand-in; 0 unless all of them did."""
        ip, _, port = source.rpartition(":")
        writer = None
        try:
            async with asyncio.timeout(self.fetch_limit_s):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(_encode_fetch(source, headers, found))
                head = await reader.readuntil(b"\r\n\r\n")
            tokens = _read_length(head)
            async with asyncio.timeout(self.fetch_limit_s + tokens * self.fetch_s_per_1000 / 1000):
                return len(await reader.readexactly(tokens))
        except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError) as error:
            _LOGGER.info("prompt not fetched", extra={"source": source, "detail": repr(error)})
            return 0
        finally:
            if writer is not None:
                writer.close()

    async def send(self, headers: Mapping[str, str], writer: asyncio.StreamWriter) -> None:
        """Send another stand-in what is kept of a prompt beyond what that one keeps.

        :param headers: headers of its request by lower-case name
        :param writer: the connection
        """
        found = int(headers.get("x-found-tokens", "0"))
        left = max(0, self.count_kept(read_prompt(headers)) - found)
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {left}\r\n\r\n".encode())
        while left:
            piece = min(left, PIECE_TOKENS)
            if self.fetch_s_per_1000:
                await asyncio.sleep(piece * self.fetch_s_per_1000 / 1000)
            writer.write(b"t" * piece)
            await writer.drain()
            left -= piece


def _encode_fetch(source: str, headers: Mapping[str, str], found: int) -> bytes:
    lines = [
        f"GET {FETCH_TARGET} HTTP/1.1",
        f"Host: {source}",
        f"X-Prompt-Prefix: {headers['x-prompt-prefix']}",
        f"X-Found-Tokens: {found}",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _read_length(head: bytes) -> int:
    status, _, rest = head.decode("latin-1").partition("\r\n")
    name, _, value = rest.strip().partition(":")
    if " 200 " not in status or name != "Content-Length":
        raise ValueError(f"no prompt: {status!r}")
    return int(value)


__all__ = ["FETCH_TARGET", "PromptCache", "PromptLoad", "PromptPart", "read_prompt"]
