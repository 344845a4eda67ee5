"""Check the decoding of an engine's event stream."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given, strategies as st

from basilroad.endpoints.errors import EngineRefusedError
from basilroad.endpoints.messages import EngineFinish, EngineToken
from basilroad.endpoints.stream import MAX_FRAME_BYTES, EventStreamReader

STREAM = (
    b'data: {"offset":0,"token":" oak"}\n\n'
    b'data: {"token":" \xc3\xa7er\\n\\n","offset":1}\n\n'
    b'data: {"finish":"length","prompt_tokens":2,"completion_tokens":2,"cached_tokens":0}\n\n'
)
EVENTS = [EngineToken(0, " oak"), EngineToken(1, " çer\n\n"), EngineFinish("length", 2, 2, 0)]


@given(st.sets(st.integers(0, len(STREAM))))
def test_chunks_may_end_anywhere(cuts: set[int]) -> None:
    reader = EventStreamReader()
    bounds = [0, *sorted(cuts), len(STREAM)]
    chunks = [STREAM[start:end] for start, end in pairwise(bounds)]
    assert [event for chunk in chunks for event in reader.read(chunk)] == EVENTS


@pytest.mark.parametrize(
    "event", [b'data: {"error":"unloaded"}', b"data: {", b"data: \xff", b'data: {"token":1}', b""]
)
def test_error_and_invalid_events_raise_an_error(event: bytes) -> None:
    with pytest.raises(EngineRefusedError):
        list(EventStreamReader().read(event + b"\n\n"))


def test_an_event_without_end_is_an_error() -> None:
    """An engine in trouble filled the memory of its agent with one event."""
    reader, part = EventStreamReader(), b"x" * 65536
    for _ in range(MAX_FRAME_BYTES // len(part)):
        assert not list(reader.read(part))
    with pytest.raises(EngineRefusedError, match="exceeds"):
        reader.read(part)
