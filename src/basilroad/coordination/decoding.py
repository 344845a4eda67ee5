"""Decoding of messages from other processes, with one error for whatever can't be decoded."""

from __future__ import annotations

from typing import Any, Generic, TypeVar, overload

import msgspec
from msgspec import DecodeError

Message = TypeVar("Message")


class JsonDecoder(Generic[Message]):
    """Decodes JSON to one type.

    :param kind: the type
    """

    def __init__(self, kind: type[Message]) -> None:
        self._decoder = msgspec.json.Decoder(kind)

    def decode(self, data: bytes | str) -> Message:
        """Decode a message.

        :param data: the message
        :return: the value
        :raises DecodeError: it can't be decoded
        """
        try:
            return self._decoder.decode(data)
        except Exception as error:
            raise _translate(error) from None


class MsgpackDecoder(Generic[Message]):
    """Decodes MessagePack to one type.

    :param kind: the type, or a union of tagged structs
    """

    def __init__(self, kind: Any) -> None:
        self._decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(kind)

    def decode(self, data: bytes) -> Message:
        """Decode a message.

        :param data: the message
        :return: the value
        :raises DecodeError: it can't be decoded
        """
        try:
            return self._decoder.decode(data)
        except Exception as error:
            raise _translate(error) from None


@overload
def decode_json(data: bytes | str, kind: type[Message]) -> Message: ...


@overload
def decode_json(data: bytes | str) -> Any: ...


def decode_json(data: bytes | str, kind: Any = Any) -> Any:
    """Decode JSON.

    :param data: the message
    :param kind: type of the value; any by default
    :return: the value
    :raises DecodeError: it can't be decoded
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except Exception as error:
        raise _translate(error) from None


def _translate(error: Exception) -> DecodeError:
    if isinstance(error, DecodeError):
        return error
    # msgspec raises others too, for example RecursionError and UnicodeDecodeError
    return DecodeError(str(error) or repr(error))


__all__ = ["DecodeError", "JsonDecoder", "MsgpackDecoder", "decode_json"]
