"""Malformed messages from callers, servers and peers end at most the message itself."""

from __future__ import annotations

import asyncio
import time

import msgspec
import pytest
from hypothesis import given, strategies as st

from basilroad.coordination.budget import RetryBudget, RetrySettings
from basilroad.errors import RefusedError
from basilroad.gateway.calls.call import PromptSize
from basilroad.gateway.calls.handler import CallHandler
from basilroad.gateway.dispatch.promptlocations import PromptLocations
from basilroad.gateway.dispatch.selection import Chooser, estimate_wait, has_room
from basilroad.gateway.exchange.gossip import Gossip
from basilroad.gateway.exchange.loans import RetryLoans
from basilroad.gateway.exchange.promptexchange import PromptExchange
from basilroad.gateway.exchange.relay import Relay, Update
from basilroad.gateway.registry.directory import Directory
from basilroad.gateway.streams.events import EventOrderError, EventSequence
from basilroad.peers.address import Address
from basilroad.platform.config import ConfigError, decode_config, decode_server
from basilroad.platform.protocol import read_prompt_key, read_prompt_size
from builders import ENGINE, PLACE, RecordingResponder, build_call, build_entry, build_stream_route

NUMBERS = st.integers(-(2**63), 2**63 - 1)
VALUES = st.recursive(
    st.none() | st.booleans() | NUMBERS | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
STATE_FIELDS = st.tuples(
    st.just("state"),
    st.text(max_size=8),
    NUMBERS,
    NUMBERS,
    st.just("127.0.0.1:9001"),
    st.dictionaries(st.sampled_from(["e0", "e1", "x"]), st.tuples(NUMBERS, NUMBERS, NUMBERS)),
    st.dictionaries(st.sampled_from(["e0", "e1", "x"]), NUMBERS),
    st.lists(st.sampled_from(["127.0.0.1:9002", "x", "1.1.1.1:99999"]), max_size=2),
)


def build_gossip() -> tuple[Gossip, Directory, list[Update]]:
    directory = Directory()
    for number in range(2):
        directory.put(build_entry(f"e{number}", service="llm"))
    relay = Relay("z", time.monotonic)
    taken: list[Update] = []
    relay.subscribe(taken.append)
    address = Address("127.0.0.1", 9000)
    loans = RetryLoans("z", lambda _: RetryBudget(RetrySettings()))
    prompts = PromptExchange("z", PLACE, PromptLocations())
    gossip = Gossip("z", "riga-a", address, directory, relay, loans, prompts=prompts)
    return gossip, directory, taken


def use(gossip: Gossip, directory: Directory) -> None:
    """Make the decisions that follow from what was received."""
    gossip.tick()
    call = build_call(build_stream_route())
    Chooser(PLACE).choose(directory, call, ENGINE, time.monotonic())
    for endpoint in directory:
        assert estimate_wait(endpoint, PromptSize(8000, 1000), time.monotonic()) >= 0
        has_room(endpoint, PromptSize(8000, 1000), ENGINE, time.monotonic())
        assert endpoint.remote.calls >= 0
        assert endpoint.last_failed_at <= time.monotonic()


@given(st.binary(max_size=200))
def test_any_datagram_is_survived(data: bytes) -> None:
    gossip, directory, _ = build_gossip()
    gossip.datagram_received(data, ("127.0.0.1", 1))
    use(gossip, directory)


@given(STATE_FIELDS)
def test_any_numbers_of_a_peer_are_survived(fields: tuple[object, ...]) -> None:
    gossip, directory, _ = build_gossip()
    gossip.datagram_received(msgspec.msgpack.encode(fields), ("127.0.0.1", 1))
    use(gossip, directory)


@given(st.lists(VALUES, max_size=9))
def test_any_fields_of_an_update_are_survived(fields: list[object]) -> None:
    gossip, directory, _ = build_gossip()
    try:
        data = msgspec.msgpack.encode(["update", *fields])
    except (ValueError, msgspec.MsgspecError, OverflowError):
        return
    gossip.datagram_received(data, ("127.0.0.1", 1))
    use(gossip, directory)


@given(VALUES)
def test_any_entry_or_config_is_read_or_rejected(value: object) -> None:
    data = msgspec.json.encode(value)
    for decode in (decode_config, lambda raw: decode_server("i", raw)):
        try:
            decode(data)
        except ConfigError:
            pass


@given(st.binary(max_size=64), st.text(max_size=16))
def test_any_bytes_of_an_entry_are_read_or_rejected(data: bytes, address: str) -> None:
    entry = {
        "service": "s",
        "address": address,
        "zone": "a",
        "slots": 4,
        "state": "ready",
        "version": "v1",
        "born": 1000,
    }
    for raw in (data, msgspec.json.encode(entry)):
        try:
            decode_server("i", raw)
        except ConfigError:
            pass


@given(st.text(max_size=20) | st.text("0123456789²٣", min_size=1, max_size=5000))
def test_any_text_of_a_size_header_is_read(text: str) -> None:
    size = read_prompt_size({"X-Token-Usage": f"{text},{text}"})
    assert size.total >= 0
    read_prompt_key({"X-Prompt-Prefix": text})
    assert build_call(build_stream_route(), resume_after=text).events_received >= 0


@given(st.lists(st.binary(max_size=40) | st.sampled_from([b"id: 1\n\n", b"id: 9" * 9, b"\n"])))
def test_any_bytes_of_a_stream_are_read_or_rejected(parts: list[bytes]) -> None:
    events = EventSequence()
    try:
        for part in parts:
            events.take(part)
    except EventOrderError:
        pass


def test_an_event_id_of_thousands_of_digits_is_rejected() -> None:
    with pytest.raises(EventOrderError):
        EventSequence().take(b"id: " + b"1" * 5000 + b"\n\n")


RAW_RESPONSES = [
    b"",
    b"\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    b"HTTP/1.1 999 X\r\n\r\n",
    b"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok",
    b"HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nok",
    b"HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nok",
    b"HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\nok",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffffffffff\r\n",
    b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n\x00\x01",
    b"HTTP/9.9 200 OK\r\n\r\n",
    b"\xff" * 300,
]


@pytest.mark.parametrize("raw", RAW_RESPONSES)
async def test_a_malformed_response_fails_one_call_only(gateway, raw: bytes) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(65536)
        writer.write(raw)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    gateway.directory.put(build_entry("i-1", port=port))
    for number in range(2):
        with pytest.raises(RefusedError):
            await CallHandler(gateway).handle(build_call(id=f"c{number}"), RecordingResponder())
    assert gateway.dispatcher.waiting == 0
    server.close()
