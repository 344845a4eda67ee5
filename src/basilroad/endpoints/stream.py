"""Decoder of an engine's event stream."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TypeVar

import attrs

from basilroad.coordination.decoding import DecodeError, JsonDecoder, decode_json
from basilroad.endpoints.errors import EngineRefusedError
from basilroad.endpoints.messages import EngineFinish, EngineToken

OK = 200
CONFLICT = 409

FRAME_END = b"\n\n"
FRAME_START = b"data: "

MAX_FRAME_BYTES = 1048576
"""Largest event; those of tokens have some hundred bytes."""

_TOKEN_DECODER = JsonDecoder(EngineToken)

Message = TypeVar("Message")


@attrs.frozen
class StreamEnd:
    """Last event of a stream: a finish or an error."""

    finish: str | None = None
    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0
    error: str = ""


class EventStreamReader:
    """Incremental decoder of a stream of server-sent events."""

    def __init__(self) -> None:
        self._incomplete = b""

    def read(self, chunk: bytes) -> Iterator[EngineToken | EngineFinish]:
        """Decode the events that a chunk completes.

        :param chunk: next bytes of the stream
        :return: tokens and the finish event, in order
        :raises EngineRefusedError: the engine reported an error, or an event is invalid
        """
        *frames, self._incomplete = (self._incomplete + chunk).split(FRAME_END)
        if len(self._incomplete) > MAX_FRAME_BYTES:
            raise EngineRefusedError(OK, f"invalid response: event exceeds {MAX_FRAME_BYTES} bytes")
        return map(_decode_frame, frames)


def _decode_frame(frame: bytes) -> EngineToken | EngineFinish:
    data = frame.removeprefix(FRAME_START)
    try:
        return _TOKEN_DECODER.decode(data)
    except DecodeError:
        # Every event but the last one is a token.
        return _decode_end(data)


def _decode_end(data: bytes) -> EngineFinish:
    end = decode(data, StreamEnd)
    if end.finish is None:
        raise EngineRefusedError(CONFLICT, end.error)
    return EngineFinish(end.finish, end.prompt_tokens, end.completion_tokens, end.cached_tokens)


def decode(data: bytes, kind: type[Message]) -> Message:
    """Decode a message of an engine.

    :param data: the message as JSON
    :param kind: attrs class of the message
    :return: the message
    :raises EngineRefusedError: the message is invalid
    """
    try:
        return decode_json(data, kind)
    except DecodeError as error:
        raise EngineRefusedError(OK, f"invalid response: {error}") from error


__all__ = ["CONFLICT", "MAX_FRAME_BYTES", "OK", "EventStreamReader", "decode"]
