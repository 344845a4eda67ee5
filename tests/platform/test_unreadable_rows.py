"""Rows that can't be read are skipped by themselves; the other rows hold."""

from __future__ import annotations

import asyncio

import h11
import msgspec
import pytest
from hypothesis import given, strategies as st

from basilroad.gateway.exchange.relay import (
    EntryRecord,
    ListedChange,
    Update,
    pack_change,
    unpack_changes,
)
from basilroad.gateway.registry.endpoint import EndpointEntry, EndpointState
from basilroad.gateway.revision import Revision
from basilroad.platform.config import ConfigError, decode_config, decode_server
from basilroad.platform.peerdiscovery import GATEWAYS_TABLE, PeerDiscovery
from basilroad.platform.protocol import HEADER_EXPECTED_ENDPOINT, PlatformProtocol
from basilroad.platform.store import StoreClient
from support.watchrig import NOBODY, SERVER, Rig, build_config, wait_until

DEPTH = 2000

UNREADABLE = [
    pytest.param(b'{"x":' + b"[" * DEPTH, id="nested-and-broken-off"),
    pytest.param(b'{"x":' + b"[" * DEPTH + b"]" * DEPTH + b"}", id="nested"),
    pytest.param(b'{"slots":' + b"9" * 5000 + b"}", id="digits"),
    pytest.param(b"\xff\xfe", id="not-utf-8"),
    pytest.param(b"", id="empty"),
]

FIELDS = st.fixed_dictionaries(
    {
        "service": st.text(max_size=300),
        "address": st.sampled_from(["10.0.0.1:80", "10.0.0.1:0", "10.0.0.1:99999", "x:80"])
        | st.text(max_size=20),
        "zone": st.text(max_size=300),
        "slots": st.integers(),
        "state": st.sampled_from(["ready", "draining", "asleep"]),
        "born": st.integers() | st.none() | st.floats(allow_nan=False),
    }
)

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)


# one row that can't be read stopped the watch of all rows, and drained servers got calls
@pytest.mark.parametrize("value", UNREADABLE)
async def test_an_unreadable_entry_does_not_hold_up_changes_of_others(
    rig: Rig, value: bytes
) -> None:
    rig.store.put("servers", "i-1", SERVER)
    await wait_until(lambda: rig.gateway.directory.get("i-1") is not None)
    rig.store.put("servers", "other", value)
    await asyncio.sleep(0.1)
    rig.store.put("servers", "i-1", {**SERVER, "state": "draining"})
    endpoint = rig.gateway.directory.get("i-1")
    assert endpoint is not None
    await wait_until(lambda: endpoint.entry.state is EndpointState.DRAINING)
    assert rig.gateway.directory.get("other") is None


# a gateway that started beside such a row knew no server at all
@pytest.mark.parametrize("value", UNREADABLE)
async def test_a_first_listing_with_an_unreadable_entry_is_applied(rig: Rig, value: bytes) -> None:
    rig.store.refusing = 503
    await asyncio.sleep(0.1)
    rig.store.put("servers", "a-other", value)
    rig.store.put("servers", "i-1", SERVER)
    rig.store.refusing = 0
    await wait_until(lambda: rig.gateway.directory.get("i-1") is not None)


# an unreadable config must neither stop the watch nor hold up the next version
@pytest.mark.parametrize("value", UNREADABLE)
async def test_a_version_after_an_unreadable_config_is_in_force(rig: Rig, value: bytes) -> None:
    rig.store.put("op", "config", build_config(1))
    await wait_until(lambda: rig.version == 1)
    rig.store.put("op", "config", value)
    rig.store.put("op", "config", build_config(2))
    await wait_until(lambda: rig.version == 2)


# a change whose application fails must not hold up the changes after it
async def test_an_entry_that_can_not_be_applied_does_not_hold_up_others(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    rig.store.put("servers", "i-1", SERVER)
    await wait_until(lambda: rig.gateway.directory.get("i-1") is not None)
    put = rig.gateway.directory.put

    def fail_for_one(entry: EndpointEntry) -> None:
        if entry.id == "bad":
            raise RuntimeError(entry.id)
        put(entry)

    monkeypatch.setattr(rig.gateway.directory, "put", fail_for_one)
    rig.store.put("servers", "bad", SERVER)
    rig.store.put("servers", "i-2", SERVER)
    await wait_until(lambda: rig.gateway.directory.get("i-2") is not None)


# an entry that was accepted but can't be encoded again failed wherever it was used next
@given(st.text(max_size=300), FIELDS)
def test_an_accepted_entry_can_be_sent_to_gateways_and_named_in_calls(
    server_id: str, fields: dict[str, object]
) -> None:
    try:
        entry = decode_server(server_id, msgspec.json.encode(fields))
    except ConfigError:
        return
    change = ListedChange(Revision(1, 7), entry.id, entry)
    update = Update("g", 1, 1.0, 0, 6, 7, [pack_change(change)], 1)
    received = msgspec.msgpack.decode(msgspec.msgpack.encode(update), type=Update)
    assert unpack_changes(received) == [change]
    headers = [("Host", "h"), (HEADER_EXPECTED_ENDPOINT, entry.id)]
    h11.Request(method="GET", target="/", headers=headers)


@given(st.binary(max_size=64) | VALUES.map(msgspec.json.encode))
def test_any_bytes_of_a_row_or_report_are_read_or_name_nothing(data: bytes) -> None:
    for decode in (decode_config, lambda raw: decode_server("i", raw)):
        try:
            decode(data)
        except ConfigError:
            pass
    PlatformProtocol().decode_report(data)


@pytest.mark.parametrize("value", UNREADABLE)
def test_an_unreadable_report_says_nothing(value: bytes) -> None:
    assert PlatformProtocol().decode_report(value) is None


# a follower that got such a record dropped all changes sent with it
@pytest.mark.parametrize("address", ["10.0.0.1:99999", "x", "0.0.0.0:80"])
def test_an_unreadable_record_of_a_reader_names_no_endpoint(address: str) -> None:
    records = [
        EntryRecord(6, "i-1", "s", address, "a"),
        EntryRecord(7, "i-2", "s", "10.0.0.2:80", "a", version="v1"),
    ]
    first, second = unpack_changes(Update("g", 1, 1.0, 0, 5, 7, records, 1))
    assert (first.endpoint_id, first.entry) == ("i-1", None)
    assert second.entry is not None
    assert second.entry.version == "v1"


class PeerList:
    """Records the addresses of peers."""

    def __init__(self) -> None:
        self.addresses: set[str] = set()

    def add_peers(self, addresses: object) -> None:
        assert hasattr(addresses, "__iter__")
        self.addresses.update(map(str, addresses))

    def record_registered(self, near: object) -> None:
        assert near is not None


# one row of another writer hid all gateways from each other
@pytest.mark.parametrize("value", [*UNREADABLE, b"10.0.0.1:99999 a", b"\xc3 a"])
async def test_an_unreadable_peer_does_not_hide_the_others(rig: Rig, value: bytes) -> None:
    peers = PeerList()
    rig.store.put(GATEWAYS_TABLE, "other", value)
    rig.store.put(GATEWAYS_TABLE, "p", b"10.0.0.2:7 a")
    client = StoreClient(f"http://127.0.0.1:{rig.store.port}")
    discovery = PeerDiscovery(client, "h", "a", NOBODY, peers)  # type: ignore[arg-type]
    await discovery.start()
    await wait_until(lambda: "10.0.0.2:7" in peers.addresses)
    await discovery.stop()
    await client.close()
