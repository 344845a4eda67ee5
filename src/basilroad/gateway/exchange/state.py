"""State that gateways send each other."""

from __future__ import annotations

from typing import Annotated

import msgspec

MAX_DATAGRAM_BYTES = 1400
"""Maximum size of a datagram, below the usual MTU."""

Count = Annotated[int, msgspec.Meta(ge=0, le=2**40)]
"""A number that a peer reports; others are rejected with their datagram."""

LoadReport = tuple[Count, Count, Count]
"""Calls, memory tokens and pending prefill tokens of a gateway at one endpoint."""

StartTime = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
"""Unix milliseconds."""


class StateMessage(msgspec.Struct, array_like=True, tag="state"):
    """State of one gateway.

    :param host: its name
    :param started_ms: start of its process in Unix milliseconds
    :param sequence: number of the message in that process
    :param address: its listening address for datagrams
    :param loads: its load at each endpoint
    :param failures: milliseconds since the failure of each failed endpoint
    :param peers: addresses of some gateways that it knows
    :param runs: not used; older gateways name prompts here
    :param data_centre: its data centre
    :param leaving: start time of each leaving endpoint and milliseconds since its notice
    :param limits: start time of endpoints that named a limit, requests per 1000 seconds (0 if it
        has ended), and milliseconds since that was known
    :param stopping: whether its shutdown was requested
    """

    host: str
    started_ms: int
    sequence: int
    address: str
    loads: dict[str, LoadReport]
    failures: dict[str, Count]
    peers: list[str]
    runs: list[tuple[str, str]] = []
    data_centre: str = ""
    leaving: dict[str, tuple[StartTime, Count]] = {}
    limits: dict[str, tuple[StartTime, Count, Count]] = {}
    stopping: bool = False


def encode_state(message: StateMessage) -> bytes:
    """Encode a state as a datagram, which has the largest loads that fit.

    :param message: the state; what doesn't fit is removed from it
    :return: the datagram
    """
    data = msgspec.msgpack.encode(message)
    while len(data) > MAX_DATAGRAM_BYTES and message.loads:
        kept = sorted(message.loads.items(), key=lambda item: -item[1][1])
        message.loads = dict(kept[: len(kept) // 2])
        data = msgspec.msgpack.encode(message)
    return data


__all__ = ["Count", "LoadReport", "StartTime", "StateMessage", "encode_state"]
