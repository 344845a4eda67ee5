"""Check the compression of frames between regions and the accounting of their bytes."""

from __future__ import annotations

from collections import Counter

import pytest

from basilroad.metrics import LinkCause, Metrics
from basilroad.peers.codec import BadFrameError, FrameCodec
from basilroad.peers.traffic import FRAME_OVERHEAD_BYTES, LinkMeter
from basilroad.peers.wire import peer_pb2 as wire


class CountingMetrics(Metrics):
    """Records link bytes by cause."""

    def __init__(self) -> None:
        super().__init__("")
        self.seen: Counter[LinkCause] = Counter()

    def count_link_bytes(self, source: str, target: str, cause: LinkCause, size: int) -> None:
        assert (source, target) == ("riga", "kurzeme")
        self.seen[cause] += size


def make_tokens(number: int) -> wire.AgentMessage:
    tokens = wire.Tokens(generation="0123456789abcdef", attempt=1, offset=number, tokens=[" oak"])
    return wire.AgentMessage(tokens=tokens)


def test_frames_round_trip_and_later_ones_compress_better() -> None:
    sender, receiver = FrameCodec(wire.AgentFrame), FrameCodec(wire.AgentFrame)
    plain = sender.pack([make_tokens(0)])
    assert not plain.compressed
    sender.compresses = True
    sizes = []
    for number in range(20):
        frame = sender.pack([make_tokens(number)])
        sizes.append(frame.ByteSize())
        found = wire.AgentFrame.FromString(receiver.inflate(frame.compressed))
        assert list(found.messages) == [make_tokens(number)]
    assert sizes[-1] < plain.ByteSize() / 2


def test_corrupt_frame_raises_an_error() -> None:
    with pytest.raises(BadFrameError):
        FrameCodec(wire.AgentFrame).inflate(b"\xff\xff\xff")


def test_bytes_are_counted_by_cause_and_only_between_regions() -> None:
    metrics = CountingMetrics()
    meter = LinkMeter("riga", metrics)
    first = wire.StartGeneration(prompt="x" * 300)
    again = wire.StartGeneration(prompt="x" * 300, prior=["a"])
    messages = [wire.EntryMessage(start=first), wire.EntryMessage(start=again)]
    meter.count("riga", messages, 600)
    meter.count("", messages, 600)
    assert not metrics.seen
    meter.count("kurzeme", messages, 400)
    assert abs(metrics.seen[LinkCause.PROMPT] + metrics.seen[LinkCause.RESUME] - 400) <= 1
    assert metrics.seen[LinkCause.FRAMING] == FRAME_OVERHEAD_BYTES
