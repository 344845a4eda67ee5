"""Decoders of messages from other processes raise one error, whatever the bytes are."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import pytest
from hypothesis import given, strategies as st

from basilroad.backing.hosts import HostsAnswer
from basilroad.coordination.claim import ClaimRecord
from basilroad.coordination.decoding import DecodeError, JsonDecoder, MsgpackDecoder, decode_json
from basilroad.coordination.leaserow import LeaseRow
from basilroad.endpoints.errors import EngineRefusedError
from basilroad.endpoints.messages import EngineToken
from basilroad.endpoints.stream import EventStreamReader
from basilroad.errors import RefusedError
from basilroad.gateway.exchange.relay import Update
from basilroad.gateway.exchange.state import StateMessage
from basilroad.settings.status import HostStatus

DEPTH = 3000
"""Nesting far beyond what a decoder follows."""

NESTED = [
    pytest.param(b'{"x":' + b"[" * DEPTH, id="broken-off"),
    pytest.param(b'{"x":' + b"[" * DEPTH + b"]" * DEPTH + b"}", id="complete"),
    pytest.param(b'{"x":' * DEPTH + b"1" + b"}" * DEPTH, id="objects"),
]

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)

KINDS = [HostsAnswer, ClaimRecord, LeaseRow, HostStatus, EngineToken]


# a request that is nested deeply must be answered 400, not 500
@pytest.mark.parametrize("data", NESTED)
@pytest.mark.parametrize("kind", KINDS)
def test_json_nested_too_deeply_is_a_decode_error(data: bytes, kind: type[object]) -> None:
    for decode in (lambda: decode_json(data, kind), lambda: JsonDecoder(kind).decode(data)):
        with pytest.raises(DecodeError):
            decode()


@pytest.mark.parametrize("kind", [StateMessage, Update])
def test_messagepack_nested_too_deeply_is_a_decode_error(kind: type[object]) -> None:
    with pytest.raises(DecodeError):
        MsgpackDecoder[object](kind).decode(b"\x91" * DEPTH + b"\x01")


@given(st.binary(max_size=64) | VALUES.map(msgspec.json.encode))
def test_any_bytes_are_decoded_or_a_decode_error(data: bytes) -> None:
    decoders: list[Callable[[bytes], object]] = [
        *(JsonDecoder(kind).decode for kind in KINDS),
        MsgpackDecoder[object](StateMessage | Update).decode,
    ]
    for decode in decoders:
        try:
            decode(data)
        except DecodeError:
            pass


# an engine's event that can't be read must end its own stream, not the agent's driver
@pytest.mark.parametrize("data", NESTED)
def test_an_event_of_an_engine_nested_too_deeply_is_refused(data: bytes) -> None:
    with pytest.raises(EngineRefusedError):
        list(EventStreamReader().read(b"data: " + data + b"\n\n"))


# a caller's body that can't be read must be answered 400
@pytest.mark.parametrize("data", NESTED)
def test_a_request_body_nested_too_deeply_is_refused(data: bytes) -> None:
    from basilroad.entry.generations.request import read_request

    with pytest.raises(RefusedError) as caught:
        read_request(data, chat=False)
    assert caught.value.refusal.answer.http_status == 400
