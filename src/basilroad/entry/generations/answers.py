"""Response bodies of the OpenAI-compatible completions API."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from basilroad.entry.generations.flight import Flight
    from basilroad.errors import Refusal

DONE = b"data: [DONE]\n\n"
"""Last event of a complete stream."""

PREFIX_HEX = 12
"""Characters of a generation's identifier in log lines and the ``id`` of responses."""


class _Usage(msgspec.Struct):
    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    prompt_tokens_details: dict[str, int]


class _Text(msgspec.Struct):
    index: int
    text: str
    finish_reason: str | None
    logprobs: None = None


class _Message(msgspec.Struct, omit_defaults=True):
    role: str | None = None
    content: str | None = None


class _Delta(msgspec.Struct):
    index: int
    delta: _Message
    finish_reason: str | None


class _Reply(msgspec.Struct):
    index: int
    message: _Message
    finish_reason: str | None


class _Body(msgspec.Struct):
    id: str
    object: str
    created: int
    model: str
    choices: list[_Text | _Delta | _Reply]
    usage: _Usage | None = None


class _Error(msgspec.Struct):
    message: str
    type: str
    code: str
    effect: str
    param: None = None


class _ErrorBody(msgspec.Struct):
    error: _Error


class _Restart(msgspec.Struct):
    generation: str
    offset: int


def build_error(refusal: Refusal) -> bytes:
    """Build the body of an error response.

    :param refusal: kind and message of the error
    :return: JSON text
    """
    answer = refusal.answer
    error = _Error(refusal.message, answer.type_name, refusal.kind.value, answer.effect.value)
    return msgspec.json.encode(_ErrorBody(error))


def build_error_event(refusal: Refusal) -> bytes:
    """Build the last event of a stream that ended early.

    :param refusal: kind and message of the error
    :return: the event
    """
    return b"event: error\ndata: " + build_error(refusal) + b"\n\n"


def build_restart_event(flight: Flight) -> bytes:
    """Build the event that announces a new generation, which starts at offset 0.

    :param flight: the generation with its new identifier
    :return: the event
    """
    body = msgspec.json.encode(_Restart(flight.generation, 0))
    return f"event: restart\nid: {flight.generation}:0\ndata: ".encode() + body + b"\n\n"


def build_tokens_event(flight: Flight, offset: int, text: str, *, first: bool) -> bytes:
    """Build the event that carries a run of tokens.

    :param flight: the generation
    :param offset: number of tokens sent up to and including this event
    :param text: text of the tokens
    :param first: whether it is the first event of the stream
    :return: the event
    """
    choice: _Text | _Delta
    if flight.request.chat:
        choice = _Delta(0, _Message("assistant" if first else None, text), None)
    else:
        choice = _Text(0, text, None)
    return _build_event(flight, offset, _build_body(flight, choice, streamed=True))


def build_finish_event(flight: Flight) -> bytes:
    """Build the event with the finish reason.

    :param flight: the generation
    :return: the event
    """
    choice: _Text | _Delta
    if flight.request.chat:
        choice = _Delta(0, _Message(), flight.finish_reason)
    else:
        choice = _Text(0, "", flight.finish_reason)
    body = _build_body(flight, choice, streamed=True)
    return _build_event(flight, len(flight.tokens), body)


def build_usage_event(flight: Flight) -> bytes:
    """Build the event with the token usage.

    :param flight: the generation
    :return: the event
    """
    body = _build_body(flight, None, streamed=True)
    body.usage = _build_usage(flight)
    return _build_event(flight, len(flight.tokens), body)


def build_answer(flight: Flight) -> bytes:
    """Build the body of a response that is not streamed.

    :param flight: the completed generation
    :return: JSON text
    """
    text = "".join(flight.tokens)
    choice: _Text | _Reply
    if flight.request.chat:
        choice = _Reply(0, _Message("assistant", text), flight.finish_reason)
    else:
        choice = _Text(0, text, flight.finish_reason)
    body = _build_body(flight, choice, streamed=False)
    body.usage = _build_usage(flight)
    return msgspec.json.encode(body)


def _build_body(flight: Flight, choice: _Text | _Delta | _Reply | None, *, streamed: bool) -> _Body:
    kind = "text_completion"
    if flight.request.chat:
        kind = "chat.completion.chunk" if streamed else "chat.completion"
    choices = [] if choice is None else [choice]
    return _Body(flight.generation, kind, int(time.time()), flight.request.model, choices)


def _build_usage(flight: Flight) -> _Usage:
    usage = flight.usage
    return _Usage(
        usage.prompt_tokens,
        usage.completion_tokens,
        usage.prompt_tokens + usage.completion_tokens,
        {"cached_tokens": usage.cached_tokens},
    )


def _build_event(flight: Flight, offset: int, body: _Body) -> bytes:
    head = f"id: {flight.generation}:{offset}\ndata: ".encode()
    return head + msgspec.json.encode(body) + b"\n\n"


__all__ = [
    "DONE",
    "build_answer",
    "build_error",
    "build_error_event",
    "build_finish_event",
    "build_restart_event",
    "build_tokens_event",
    "build_usage_event",
]
