"""Events of the application server stand-in, which name their maker."""

from __future__ import annotations

import re

import attrs

_EVENT = re.compile(rb"id: (\d+)\ndata: token (\d+) of (\S+) by (\S+)\n\n")


@attrs.frozen
class StreamEvent:
    """An event of a stream.

    :param number: position in the stream, from 1
    :param version: software version of the server that made it
    :param run: name of the run that made it, unlike that of any other
    """

    number: int
    version: str
    run: str

    def encode(self) -> bytes:
        """:return: the event as it is sent."""
        text = f"token {self.number} of {self.version} by {self.run}"
        return f"id: {self.number}\ndata: {text}\n\n".encode()


def decode_events(data: bytes) -> list[StreamEvent]:
    """Decode the events of a response.

    :param data: its body, as far as it was received
    :return: complete events that are as they were sent, in order of their arrival
    """
    return [
        StreamEvent(int(number), version.decode(), run.decode())
        for number, token, version, run in _EVENT.findall(data)
        if number == token
    ]


__all__ = ["StreamEvent", "decode_events"]
