"""Bytes that a process sends over the links between regions, by cause."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from basilroad.metrics import LinkCause
from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from collections.abc import Sequence

    from basilroad.metrics import Metrics

FRAME_OVERHEAD_BYTES = 66
"""Headers around a frame: gRPC 5, HTTP/2 9, TCP 32 and IP 20."""

_CAUSES = {
    "start": LinkCause.PROMPT,
    "attach": LinkCause.RESUME,
    "attached": LinkCause.RESUME,
    "call": LinkCause.CALL,
    "answer": LinkCause.CALL,
    "settle": LinkCause.CALL,
    "settled": LinkCause.CALL,
    "register": LinkCause.DIRECTORY,
    "find": LinkCause.DIRECTORY,
    "found": LinkCause.DIRECTORY,
    "tokens": LinkCause.TOKENS,
    "finished": LinkCause.TOKENS,
    "failed": LinkCause.TOKENS,
    "settings": LinkCause.SETTINGS,
    "heartbeat": LinkCause.HEARTBEAT,
    "cache": LinkCause.CACHE,
}

Message = wire.EntryMessage | wire.AgentMessage


class LinkMeter:
    """Counts each frame that leaves the region, its headers included.

    :param region: of this process
    :param metrics: told of the counts
    """

    def __init__(self, region: str, metrics: Metrics) -> None:
        self.region = region
        self._metrics = metrics

    def is_remote(self, region: str) -> bool:
        """:return: whether a peer's region is known and another one."""
        return region not in ("", self.region)

    def count(self, target: str, messages: Sequence[Message], size: int) -> None:
        """Count a frame by what it carries.

        :param target: region of the peer
        :param messages: what the frame carries
        :param size: bytes of the frame as it is sent
        """
        if not self.is_remote(target):
            return
        plain: Counter[LinkCause] = Counter()
        for message in messages:
            plain[find_cause(message)] += message.ByteSize()
        share = size / max(1, sum(plain.values()))
        for cause, count in plain.items():
            self._count(target, cause, round(count * share))
        self._count(target, LinkCause.FRAMING, FRAME_OVERHEAD_BYTES)
        self._metrics.count_link_uncompressed(self.region, target, sum(plain.values()))

    def _count(self, target: str, cause: LinkCause, size: int) -> None:
        self._metrics.count_link_bytes(self.region, target, cause, size)


def find_cause(message: Message) -> LinkCause:
    """:return: what a message is sent for."""
    body = message.WhichOneof("body") or ""
    if body == "start" and isinstance(message, wire.EntryMessage) and message.start.prior:
        return LinkCause.RESUME
    return _CAUSES.get(body, LinkCause.CONTROL)


__all__ = ["FRAME_OVERHEAD_BYTES", "LinkMeter", "find_cause"]
