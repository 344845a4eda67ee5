"""Crashes that show what is refused, in the store."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs
import msgspec
import pytest

from basilroad.coordination.crashledger import CRASHES_TO_REFUSE, CrashRecord, CrashSettings
from basilroad.gateway.dispatch.selection import Locality
from basilroad.gateway.gateway import Gateway, GatewaySettings
from basilroad.platform import crasharchive
from basilroad.platform.crasharchive import CRASHES_TABLE, CrashArchive
from basilroad.platform.protocol import PlatformProtocol
from basilroad.platform.store import StoreClient
from basilroad.standin.rowstore import RowStoreStandin
from builders import build_call, build_stream_route
from support.watchrig import wait_until

DEADLY = frozenset({"1bad1bad1bad"})
AGE_S = 60.0
"""Age of the newest crash, and time between two of them."""


@attrs.define(eq=False)
class Host:
    """A gateway with its archive."""

    gateway: Gateway
    archive: CrashArchive
    client: StoreClient

    @property
    def is_refusing(self) -> bool:
        return self.gateway.containment.ledger.find_refusal(DEADLY) is not None

    def record_crashes(self, *, own: bool = True) -> None:
        containment, call = self.gateway.containment, build_call(build_stream_route())
        records = [
            CrashRecord(f"e{n}/{n}", f"={n}", DEADLY, began=True, age_s=AGE_S * (n + 1))
            for n in range(CRASHES_TO_REFUSE)
        ]
        if not own:
            containment.restore(records)
            return
        for record in records:
            containment._record_own(record, call)

    async def stop(self) -> None:
        await self.archive.stop()
        await self.client.close()


StartHost = Callable[[str], Awaitable[Host]]


@pytest.fixture
async def store(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[RowStoreStandin]:
    monkeypatch.setattr(crasharchive, "WRITE_INTERVAL_S", 0.05)
    monkeypatch.setattr(crasharchive, "RETRY_MIN_S", 0.05)
    store = RowStoreStandin()
    await store.start()
    yield store
    await store.stop()


@pytest.fixture
async def start_host(store: RowStoreStandin) -> AsyncIterator[StartHost]:
    hosts = []

    async def start(name: str) -> Host:
        place = Locality("a", "r", {"a": "r"})
        gateway = Gateway(GatewaySettings(name, place), PlatformProtocol())
        client = StoreClient(f"http://127.0.0.1:{store.port}")
        host = Host(gateway, CrashArchive(client, name, gateway.containment), client)
        hosts.append(host)
        await host.archive.start()
        return host

    yield start
    for host in hosts:
        await host.stop()


def read_row(store: RowStoreStandin, host: str) -> list[object]:
    value = store.get(CRASHES_TABLE, host)
    return [] if value is None else msgspec.json.decode(value)["reports"]


# fault: gateways that had all been killed did not know which requests crash endpoints
async def test_a_gateway_that_starts_alone_refuses_what_another_refused(
    store: RowStoreStandin, start_host: StartHost
) -> None:
    first = await start_host("h1")
    first.record_crashes()
    await wait_until(lambda: len(read_row(store, "h1")) == CRASHES_TO_REFUSE)
    await first.stop()
    second = await start_host("h2")
    await wait_until(lambda: second.is_refusing)
    refused = second.gateway.containment.ledger.find_refusal(DEADLY)
    assert refused is not None
    # the crashes are as old as they are, and so the refusal ends no later
    left_s = refused.refused_until - time.monotonic()
    oldest_s = CrashSettings().retain_s - CRASHES_TO_REFUSE * AGE_S
    assert oldest_s - 2.0 <= left_s <= oldest_s


# fault: each gateway that is informed of a crash writes it, and writes to the store are billed
async def test_only_gateways_that_saw_a_crash_write_it(
    store: RowStoreStandin, start_host: StartHost
) -> None:
    saw, other = await start_host("saw"), await start_host("other")
    other.record_crashes(own=False)
    saw.record_crashes()
    await wait_until(lambda: bool(read_row(store, "saw")))
    await asyncio.sleep(0.3)
    assert store.get(CRASHES_TABLE, "other") is None
    # two reads and one write
    assert store.calls == 3


# fault: a wrong refusal is restored after the end of all gateways
async def test_a_part_that_is_cleared_is_taken_out_of_the_store(
    store: RowStoreStandin, start_host: StartHost
) -> None:
    host = await start_host("h1")
    host.record_crashes()
    await wait_until(lambda: bool(read_row(store, "h1")))
    host.gateway.containment._record_passed(DEADLY)
    await wait_until(lambda: not read_row(store, "h1"))


# fault: a store that is down at the start or at a crash loses the crash
async def test_the_archive_waits_for_the_store(
    store: RowStoreStandin, start_host: StartHost
) -> None:
    store.refusing = 503
    host = await start_host("h1")
    host.record_crashes()
    assert host.is_refusing
    await asyncio.sleep(0.2)
    store.refusing = 0
    await wait_until(lambda: bool(read_row(store, "h1")))


# fault: a store that was restored from an older copy has lost the crashes
async def test_crashes_are_written_again_to_a_restored_store(
    store: RowStoreStandin, start_host: StartHost
) -> None:
    copy = store.take_copy()
    host = await start_host("h1")
    host.record_crashes()
    await wait_until(lambda: bool(read_row(store, "h1")))
    store.restore(copy)
    assert not read_row(store, "h1")
    await host.client.read_table("servers")
    await wait_until(lambda: len(read_row(store, "h1")) == CRASHES_TO_REFUSE)


# fault: a row that can't be read hides the others, or ends the archive
@pytest.mark.parametrize(
    "value",
    [b"", b"{", b"[" * 100_000, b'{"written_s":0,"reports":[[1]]}', b'{"written_s":"x"}'],
    ids=["empty", "cut", "deep", "malformed", "untyped"],
)
async def test_a_malformed_row_is_skipped(
    store: RowStoreStandin, start_host: StartHost, value: bytes
) -> None:
    store.put(CRASHES_TABLE, "a", value)
    first = await start_host("h1")
    first.record_crashes()
    await wait_until(lambda: bool(read_row(store, "h1")))
    second = await start_host("h2")
    await wait_until(lambda: second.is_refusing)


# fault: refusals never end, as each start takes the crashes for new ones
async def test_crashes_of_long_ago_are_not_read(
    store: RowStoreStandin, start_host: StartHost
) -> None:
    first = await start_host("h1")
    first.record_crashes()
    await wait_until(lambda: bool(read_row(store, "h1")))
    store.clock_offset_s = CrashSettings().retain_s
    second = await start_host("h2")
    await wait_until(lambda: second.archive._clock_offset_s is not None)
    assert not second.is_refusing


# fault: the clock of a store that was replaced dates crashes into the future
async def test_a_store_clock_that_is_behind_makes_no_crash_younger_than_reported(
    store: RowStoreStandin, start_host: StartHost
) -> None:
    first = await start_host("h1")
    first.record_crashes()
    await wait_until(lambda: bool(read_row(store, "h1")))
    store.clock_offset_s = -1e6
    second = await start_host("h2")
    await wait_until(lambda: second.is_refusing)
    refused = second.gateway.containment.ledger.find_refusal(DEADLY)
    assert refused is not None
    limit_s = CrashSettings().retain_s - CRASHES_TO_REFUSE * AGE_S
    assert refused.refused_until - time.monotonic() <= limit_s
