"""Calls as the gateway handles them, and their responses."""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Iterable
from typing import Protocol

import attrs

from basilroad.gateway.route import Route
from basilroad.gateway.streams.events import MAX_ID_DIGITS

CONTENT_KEY_BYTES = 8
"""Size of the hash of a call's content; the calls of one hour differ in it."""

CACHE_KEY_BYTES = 8
"""Size of the hash of a prompt's key; the prompts of a fleet within a minute differ in it."""

API_KEY_HASH_BYTES = 16
"""Size of the hash of an API key."""

CONTENT_KEY_MARK = "="
"""First character of the keys of contents, which no key of a prompt part has."""

Headers = tuple[tuple[str, str], ...]


@attrs.frozen
class PromptSize:
    """Size of a generation request.

    :param prompt_tokens: tokens of the prompt
    :param output_tokens: maximum number of generated tokens
    """

    prompt_tokens: int = 0
    output_tokens: int = 0

    @property
    def total(self) -> int:
        """:return: tokens of engine memory that the complete generation takes."""
        return self.prompt_tokens + self.output_tokens


@attrs.frozen
class Call:
    """One request from a caller, matched to a route.

    :param id: id of the caller's request; endpoints echo it
    :param method: HTTP method
    :param target: path and query, as received
    :param headers: headers that are forwarded unchanged
    :param body: complete body
    :param route: route in force when the call arrived
    :param service: service that handles the call
    :param workspace: name of the caller's workspace; empty without one
    :param rank: priority; 0 is the most urgent
    :param arrived_at: monotonic seconds at which the call was received
    :param expires_at: monotonic seconds of its deadline
    :param size: tokens of a generation; zero for other calls
    :param resume_after: id of the last event that the caller received; empty for a new stream
    :param resumes: id of the caller's request that brought the first event of the stream that it
        takes up again; empty if not given
    :param prompt_key: key of the prompt of a generation; empty without one
    :param prompt_parts: keys of the parts of its prompt that other calls may share
    :param api_key_hash: hash of the caller's API key, for streams; empty without one
    """

    id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    route: Route
    service: str
    workspace: str
    rank: int
    arrived_at: float
    expires_at: float
    size: PromptSize = PromptSize()
    resume_after: str = ""
    resumes: str = ""
    prompt_key: str = ""
    prompt_parts: tuple[str, ...] = ()
    api_key_hash: bytes = b""

    @functools.cached_property
    def content_key(self) -> str:
        """:return: key of all that makes another call the same."""
        fields = (
            self.method.encode(),
            self.workspace.encode(),
            self.target.encode(),
            self.body,
        )
        return CONTENT_KEY_MARK + _hash(fields, CONTENT_KEY_BYTES).hex()

    @functools.cached_property
    def cache_key(self) -> bytes:
        """:return: key of the prompt in the caches of engines, which other workspaces don't share;
        empty without a prompt."""
        if not self.prompt_key:
            return b""
        names = (self.workspace, self.service, self.prompt_key)
        return _hash((name.encode(errors="surrogateescape") for name in names), CACHE_KEY_BYTES)

    @functools.cached_property
    def crash_keys(self) -> frozenset[str]:
        """:return: keys of all that could make endpoints crash."""
        return frozenset((*self.prompt_parts, self.content_key))

    @property
    def on_time_until(self) -> float:
        """:return: monotonic seconds until which a response meets the target."""
        return min(self.expires_at, self.arrived_at + self.route.latency_target_s)

    @property
    def needs_confirmed_start(self) -> bool:
        """:return: whether the version of its endpoint matters, as for streams that may resume."""
        return self.route.streams and (self.route.repeatable or bool(self.events_received))

    @property
    def events_received(self) -> int:
        """:return: number of events that the caller has received, from the last event id."""
        return read_events_received(self.resume_after)


@attrs.frozen
class Reply:
    """A complete response.

    :param status: status code
    :param headers: headers that are forwarded
    :param body: complete body
    """

    status: int
    headers: Headers
    body: bytes


def _hash(fields: Iterable[bytes], size: int) -> bytes:
    digest = hashlib.blake2b(digest_size=size)
    for field in fields:
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return digest.digest()


def hash_api_key(api_key: str) -> bytes:
    """Hash an API key, so that records can be found by it without holding it.

    :param api_key: the key as the caller sent it
    :return: its hash; empty without a key
    """
    if not api_key:
        return b""
    return _hash((api_key.encode(errors="surrogateescape"),), API_KEY_HASH_BYTES)


def read_events_received(last_event_id: str) -> int:
    """Read how many events a caller has received.

    :param last_event_id: id of the last one, as the caller sent it
    :return: their number; 0 if it is empty or malformed
    """
    text = last_event_id
    if not text.isascii() or not text.isdigit() or len(text) > MAX_ID_DIGITS:
        return 0
    return int(text)


class Responder(Protocol):
    """Sends the response of one call to its caller."""

    async def begin(self, status: int, headers: Headers) -> None:
        """Start a streamed response.

        :param status: status code
        :param headers: headers of the response
        """

    async def write(self, data: bytes) -> None:
        """Send part of a streamed response.

        :param data: complete events
        """


__all__ = [
    "CACHE_KEY_BYTES",
    "CONTENT_KEY_MARK",
    "Call",
    "Headers",
    "PromptSize",
    "Reply",
    "Responder",
    "hash_api_key",
    "read_events_received",
]
