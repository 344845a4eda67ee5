"""Messages between gateways about the locations of prompts."""

from __future__ import annotations

from typing import Annotated

import msgspec

from basilroad.gateway.calls.call import CACHE_KEY_BYTES
from basilroad.gateway.exchange.promptkeepers import KEEPERS
from basilroad.gateway.exchange.state import Count, StartTime
from basilroad.gateway.registry.endpoint import MAX_NAME_CHARS

MAX_RECORDS = 16
"""Locations per datagram, which stays below the usual MTU with names of the usual length."""

Key = Annotated[bytes, msgspec.Meta(min_length=CACHE_KEY_BYTES, max_length=CACHE_KEY_BYTES)]
"""Key of a prompt."""

Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
"""Name of a gateway or an endpoint, or an address."""


class PromptRecord(msgspec.Struct, array_like=True):
    """The location of a prompt.

    :param key: key of the prompt
    :param endpoint: id of the endpoint
    :param started_ms: its start time
    :param age_ms: milliseconds since the run began
    :param left_ms: milliseconds until the location expires
    """

    key: Key
    endpoint: Name
    started_ms: StartTime
    age_ms: Count
    left_ms: Count


class PromptRecords(msgspec.Struct, array_like=True, tag="prompts"):
    """Locations that the receiver is to keep.

    :param records: the locations
    """

    records: Annotated[list[PromptRecord], msgspec.Meta(max_length=MAX_RECORDS)]


class PromptRequest(msgspec.Struct, array_like=True, tag="prompt request"):
    """Request for the location of a prompt.

    :param host: name of the gateway that asks
    :param address: its listening address, to which replies go once the request was passed on
    :param number: number of the request in its process
    :param key: key of the prompt
    :param keepers: names of the keepers known to the gateway that asks, to which the request is not
        passed on; empty in a request that was passed on
    """

    host: Name
    address: Name
    number: Count
    key: Key
    keepers: Annotated[list[Name], msgspec.Meta(max_length=KEEPERS)] = []


class PromptReply(msgspec.Struct, array_like=True, tag="prompt"):
    """Reply to a request.

    :param host: name of the sender
    :param number: number of the request
    :param record: the location; ``None`` if the sender doesn't have it
    :param passed_on: number of gateways to which it has passed the request on
    """

    host: Name
    number: Count
    record: PromptRecord | None = None
    passed_on: Annotated[int, msgspec.Meta(ge=0, le=KEEPERS)] = 0


PromptMessage = PromptRecords | PromptRequest | PromptReply


__all__ = [
    "MAX_RECORDS",
    "PromptMessage",
    "PromptRecord",
    "PromptRecords",
    "PromptReply",
    "PromptRequest",
]
