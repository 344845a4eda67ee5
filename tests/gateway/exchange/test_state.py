"""Encoding of a state as a datagram."""

from __future__ import annotations

import msgspec

from basilroad.gateway.exchange.state import MAX_DATAGRAM_BYTES, StateMessage, encode_state


def build_state(loads: int) -> StateMessage:
    reports = {f"e{number:03}": (1, 1000 + number, 0) for number in range(loads)}
    return StateMessage("g0", 1000, 1, "127.0.0.1:9000", reports, {"e9": 5}, [])


def test_a_state_that_fits_is_sent_whole() -> None:
    message = build_state(3)
    data = encode_state(message)
    assert msgspec.msgpack.decode(data, type=StateMessage) == build_state(3)


def test_the_largest_loads_are_sent() -> None:
    data = encode_state(build_state(300))
    assert len(data) <= MAX_DATAGRAM_BYTES
    sent = msgspec.msgpack.decode(data, type=StateMessage)
    assert sent.loads
    assert sorted(sent.loads) == [f"e{n:03}" for n in range(300 - len(sent.loads), 300)]
    assert sent.failures == {"e9": 5}


def test_the_prompts_that_an_older_gateway_names_are_skipped() -> None:
    message = build_state(3)
    message.runs = [("prompt", "e1")]
    message.stopping = True
    sent = msgspec.msgpack.decode(encode_state(message), type=StateMessage)
    assert sent.stopping
