"""Check the decoding of an engine's event stream."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given, strategies as st

from basilroad.endpoints.errors import EngineRefusedError
from basilroad.endpoints.messages import EngineFinish, EngineToken
from basilroad.endpoints.stream import EventStreamReader

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
