"""Accounting of bytes sent over the links between regions, by cause."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from basilroad.metrics import LinkCause
from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from collections.abc import Sequence

    from basilroad.metrics import Metrics

FRAME_OVERHEAD_BYTES = 66
"""Headers per frame: gRPC 5, HTTP/2 9, TCP 32 and IP 20."""

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
    """Counts the bytes of frames sent to remote regions, including their headers.

    :param region: region of this process
    :param metrics: receives the counts
    """

    def __init__(self, region: str, metrics: Metrics) -> None:
        self.region = region
        self._metrics = metrics

    def is_remote(self, region: str) -> bool:
        """:return: whether a peer's region is known and not the local one."""
        return region not in ("", self.region)

    def count(self, target: str, messages: Sequence[Message], size: int) -> None:
        """Count a frame by the causes of its messages.

        :param target: region of the peer
        :param messages: messages of the frame
        :param size: size of the frame as sent, in bytes
        """
        if not self.is_remote(target):
            return
        uncompressed: Counter[LinkCause] = Counter()
        for message in messages:
            uncompressed[find_cause(message)] += message.ByteSize()
        share = size / max(1, sum(uncompressed.values()))
        for cause, count in uncompressed.items():
            self._count(target, cause, round(count * share))
        self._count(target, LinkCause.FRAMING, FRAME_OVERHEAD_BYTES)
        self._metrics.count_link_uncompressed(self.region, target, sum(uncompressed.values()))

    def _count(self, target: str, cause: LinkCause, size: int) -> None:
        self._metrics.count_link_bytes(self.region, target, cause, size)


def find_cause(message: Message) -> LinkCause:
    """:return: cause of a message."""
    body = message.WhichOneof("body") or ""
    if body == "start" and isinstance(message, wire.EntryMessage) and message.start.prior:
        return LinkCause.RESUME
    return _CAUSES.get(body, LinkCause.CONTROL)


__all__ = ["FRAME_OVERHEAD_BYTES", "LinkMeter", "find_cause"]
