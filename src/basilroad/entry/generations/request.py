"""Parsing and validation of completion requests."""

from __future__ import annotations

import hashlib
from functools import cached_property
from typing import Any

import attrs
import msgspec

from basilroad.coordination.decoding import DecodeError, decode_json
from basilroad.errors import ErrorKind, refuse
from basilroad.world.prefix import hash_prefixes

MAX_TOKENS_DEFAULT = 256
"""Maximum number of tokens of an answer if the caller sets no limit."""

MAX_TOKENS_LIMIT = 32_768
"""Upper bound of the limit that a caller may set."""

PROMPT_WORDS_MAX = 32_768
"""Maximum number of words in a prompt."""

STOP_STRINGS_MAX = 4
"""Maximum number of stop strings."""


class _Message(msgspec.Struct):
    role: str
    content: str | list[dict[str, Any]] | None = None


class _StreamOptions(msgspec.Struct):
    include_usage: bool = False


class _Body(msgspec.Struct):
    model: str
    prompt: str | list[str] | None = None
    messages: list[_Message] | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    temperature: float = 1.0
    seed: int | None = None
    stream: bool = False
    stream_options: _StreamOptions | None = None
    stop: str | list[str] | None = None
    n: int = 1
    user: str | None = None
    adapter: str = ""


@attrs.frozen
class CompletionRequest:
    """A validated completion request.

    :param model: name of the model
    :param adapter: name of the adapter; empty for none
    :param prompt: the whole prompt
    :param max_tokens: maximum number of tokens of the answer
    :param temperature: 0 for greedy sampling
    :param seed: sampling seed, if the caller set one
    :param stop: strings that end the answer
    :param stream: whether the answer is streamed
    :param include_usage: whether a stream ends with the token usage
    :param chat: whether it was sent to the chat API
    :param body_hash: hash of the whole body
    :param fingerprint: hash of the model, adapter and prompt
    """

    model: str
    adapter: str
    prompt: str
    max_tokens: int
    temperature: float
    seed: int | None
    stop: tuple[str, ...]
    stream: bool
    include_usage: bool
    chat: bool
    body_hash: bytes
    fingerprint: str

    @cached_property
    def prefixes(self) -> list[int]:
        """:return: hashes of the prompt's prefixes, shortest first."""
        return hash_prefixes(self.prompt)


def read_request(raw: bytes, *, chat: bool) -> CompletionRequest:
    """Read and check the body of a completion request.

    :param raw: JSON text
    :param chat: whether it was sent to the chat API
    :return: the request
    :raises RefusedError: the body is not valid
    """
    body = _decode(raw)
    prompt = _build_chat_prompt(body) if chat else _read_prompt(body)
    stop = (body.stop,) if isinstance(body.stop, str) else tuple(body.stop or ())
    max_tokens = _read_max_tokens(body)
    _check_ranges(body, prompt, stop)
    return CompletionRequest(
        model=body.model,
        adapter=body.adapter,
        prompt=prompt,
        max_tokens=max_tokens,
        temperature=body.temperature,
        seed=body.seed,
        stop=stop,
        stream=body.stream,
        include_usage=bool(body.stream_options and body.stream_options.include_usage),
        chat=chat,
        body_hash=hashlib.blake2b(raw, digest_size=8).digest(),
        fingerprint=_hash_content(body, prompt),
    )


def _decode(raw: bytes) -> _Body:
    try:
        return decode_json(raw, _Body)
    except DecodeError as error:
        raise refuse(ErrorKind.BAD_REQUEST, f"the request body is not valid: {error}") from error


def _read_prompt(body: _Body) -> str:
    if isinstance(body.prompt, str):
        return body.prompt
    if isinstance(body.prompt, list) and len(body.prompt) == 1:
        return body.prompt[0]
    raise refuse(ErrorKind.BAD_REQUEST, "prompt must be a string or a list of one string")


def _build_chat_prompt(body: _Body) -> str:
    if not body.messages:
        raise refuse(ErrorKind.BAD_REQUEST, "messages must not be empty")
    lines = [f"{message.role}: {_read_content(message)}" for message in body.messages]
    return "\n".join([*lines, "assistant:"])


def _read_content(message: _Message) -> str:
    if isinstance(message.content, list):
        return "".join(str(part.get("text", "")) for part in message.content)
    return message.content or ""


def _read_max_tokens(body: _Body) -> int:
    requested = body.max_completion_tokens
    if requested is None:
        requested = body.max_tokens
    if requested is None:
        return MAX_TOKENS_DEFAULT
    if not 1 <= requested <= MAX_TOKENS_LIMIT:
        raise refuse(ErrorKind.BAD_REQUEST, f"max_tokens must be from 1 to {MAX_TOKENS_LIMIT}")
    return requested


def _check_ranges(body: _Body, prompt: str, stop: tuple[str, ...]) -> None:
    if body.n != 1:
        raise refuse(ErrorKind.BAD_REQUEST, f"n must be 1, got {body.n}")
    if not 0 <= body.temperature <= 2:
        raise refuse(
            ErrorKind.BAD_REQUEST, f"temperature must be from 0 to 2, got {body.temperature}"
        )
    if body.seed is not None and not -(2**63) <= body.seed < 2**63:
        raise refuse(ErrorKind.BAD_REQUEST, "seed must be a signed 64-bit integer")
    if len(stop) > STOP_STRINGS_MAX or not all(stop):
        raise refuse(
            ErrorKind.BAD_REQUEST, f"stop must be at most {STOP_STRINGS_MAX} non-empty strings"
        )
    if len(prompt.split()) > PROMPT_WORDS_MAX:
        raise refuse(
            ErrorKind.PROMPT_TOO_LONG, f"the prompt has more than {PROMPT_WORDS_MAX} tokens"
        )


def _hash_content(body: _Body, prompt: str) -> str:
    digest = hashlib.blake2b(digest_size=16)
    for part in (body.model, body.adapter, prompt):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part.encode(errors="surrogatepass"))
    return digest.hexdigest()


__all__ = ["MAX_TOKENS_DEFAULT", "MAX_TOKENS_LIMIT", "CompletionRequest", "read_request"]
