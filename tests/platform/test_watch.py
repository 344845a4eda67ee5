"""Watches on config and entries, also through outages of the store."""

from __future__ import annotations

import asyncio
import time

import msgspec
import pytest

from basilroad.clocks import read_boot_clock
from basilroad.gateway.dispatch.selection import Locality
from basilroad.gateway.exchange.configexchange import ConfigExchange
from basilroad.gateway.exchange.relay import (
    EntryRecord,
    ListedChange,
    Relay,
    Update,
    Withdrawal,
    pack_change,
)
from basilroad.gateway.gateway import Gateway, GatewaySettings
from basilroad.gateway.registry.endpoint import EndpointEntry
from basilroad.gateway.revision import Revision
from basilroad.peers.address import Address
from basilroad.platform import configwatch, serverswatch
from basilroad.platform.configwatch import ConfigWatch
from basilroad.platform.protocol import PlatformProtocol
from basilroad.platform.store import StoreClient
from basilroad.standin.rowstore import RowStoreStandin
from support.addresses import find_free_address
from support.timelimit import TimeLimit, limit_time
from support.watchrig import (
    BUDGET,
    NOBODY,
    SERVER,
    Rig,
    build_config,
    wait_until,
)

REMOVED_S = 2.5
"""Seconds within which an endpoint that has left must be removed."""


async def test_a_version_is_in_force_soon_after_it_was_written(rig: Rig) -> None:
    rig.store.put("op", "config", build_config(1, "k"))
    await wait_until(lambda: rig.version == 1)
    rig.store.put("op", "config", build_config(5, "k", "l"))
    await wait_until(lambda: rig.version == 5)
    assert rig.gateway.freshness.is_within(1.0)


async def test_an_older_version_is_never_in_force_again(rig: Rig) -> None:
    rig.store.put("op", "config", build_config(5))
    await wait_until(lambda: rig.version == 5)
    rig.store.put("op", "config", build_config(3))
    rig.store.put("op", "config", build_config(6))
    await wait_until(lambda: rig.version == 6)


async def test_a_config_that_can_not_be_read_leaves_the_last_one_in_force(rig: Rig) -> None:
    rig.store.put("op", "config", build_config(1))
    await wait_until(lambda: rig.version == 1)
    rig.store.put("op", "config", b"{torn")
    rig.store.put("op", "config", build_config(2))
    await wait_until(lambda: rig.version == 2)


@pytest.mark.parametrize("outage", ["refusing", "silent"])
async def test_keys_age_while_the_store_is_unavailable_and_are_confirmed_after(
    rig: Rig, outage: str
) -> None:
    rig.store.put("op", "config", build_config(1, "k"))
    await wait_until(lambda: rig.gateway.freshness.is_within(0.5))
    setattr(rig.store, outage, 503 if outage == "refusing" else True)
    await wait_until(lambda: not rig.gateway.freshness.is_within(0.6))
    rig.store.put("op", "config", build_config(2))
    setattr(rig.store, outage, 0 if outage == "refusing" else False)
    await wait_until(lambda: rig.version == 2 and rig.gateway.freshness.is_within(0.5))


async def test_dropped_history_leads_to_a_full_read(rig: Rig) -> None:
    rig.store.put("op", "config", build_config(1))
    rig.store.put("servers", "i-1", SERVER)
    await wait_until(lambda: rig.version == 1 and rig.gateway.directory.get("i-1") is not None)
    rig.store.refusing = 503
    await asyncio.sleep(0.5)
    rig.store.put("op", "config", build_config(2))
    rig.store.history_from = rig.store.revision + 1
    rig.store.refusing = 0
    await wait_until(lambda: rig.version == 2)


async def test_polls_back_off_while_the_history_stays_gone(rig: Rig) -> None:
    # the history is dropped, and full reads lag behind by some seconds
    rig.store.put("op", "config", build_config(1))
    await wait_until(lambda: rig.version == 1)
    rig.store.history_from = 10**9
    rig.store.put("op", "config", build_config(2))
    await wait_until(lambda: rig.version == 2)
    calls = rig.store.calls
    await asyncio.sleep(2.0)
    # two tables, two calls per attempt, and a backoff that grows to at least 0.2 s
    assert rig.store.calls - calls <= 2 * 2 * (2.0 / 0.2 + 4)
    rig.store.history_from = 0
    rig.store.put("op", "config", build_config(3))
    await wait_until(lambda: rig.version == 3)


async def test_entries_come_and_go_and_malformed_ones_are_skipped(rig: Rig) -> None:
    rig.store.put("servers", "i-1", SERVER)
    rig.store.put("servers", "i-2", b"\xff not an entry")
    rig.store.put("servers", "i-3", {**SERVER, "state": "asleep"})
    await wait_until(lambda: rig.gateway.directory.get("i-1") is not None)
    assert [endpoint.id for endpoint in rig.gateway.directory] == ["i-1"]
    rig.store.put("servers", "i-1", {**SERVER, "state": "draining"})
    endpoint = rig.gateway.directory.get("i-1")
    assert endpoint is not None
    await wait_until(lambda: not endpoint.is_available(0.0))
    rig.store.put("servers", "i-1", None)
    await wait_until(lambda: rig.gateway.directory.get("i-1") is None)


async def test_an_entry_that_becomes_malformed_is_removed(rig: Rig) -> None:
    rig.store.put("servers", "i-1", SERVER)
    await wait_until(lambda: rig.gateway.directory.get("i-1") is not None)
    rig.store.put("servers", "i-1", b"spoiled")
    await wait_until(lambda: rig.gateway.directory.get("i-1") is None)


async def test_entries_that_come_together_cost_few_calls(rig: Rig) -> None:
    # the engines of a data centre restart one after the other within a second
    await wait_until(lambda: rig.store.calls >= 4)
    before = rig.store.calls
    for number in range(30):
        rig.store.put("servers", f"i-{number}", SERVER)
        await asyncio.sleep(0.03)
    await wait_until(lambda: len(list(rig.gateway.directory)) == 30)
    # meanwhile, config polls of 0.3 s and entry polls every 0.5 s continue
    assert rig.store.calls - before < 15


async def test_a_change_after_an_idle_period_is_applied_at_once(rig: Rig) -> None:
    await asyncio.sleep(0.1)
    rig.store.put("servers", "i-1", SERVER)
    async with limit_time(serverswatch.SERVERS_PAUSE_S / 2):
        while rig.gateway.directory.get("i-1") is None:
            await asyncio.sleep(0.01)


async def test_a_short_key_age_limit_shortens_the_config_polls() -> None:
    # a fleet in which revoked keys have to be refused within 1.5 s
    store = RowStoreStandin()
    await store.start()
    store.put("op", "config", build_config(1, "k"))
    client = StoreClient(f"http://127.0.0.1:{store.port}")
    place = Locality("a", "r", {"a": "r"})
    gateway = Gateway(GatewaySettings("h", place, key_age_limit_s=0.8), PlatformProtocol())
    service = ConfigWatch(
        client, gateway, Relay("h", read_boot_clock), ConfigExchange(None), BUDGET
    )
    await service.start()
    await wait_until(lambda: gateway.table is not None)
    ages = []
    for _ in range(100):
        await asyncio.sleep(0.02)
        ages.append(gateway.freshness.is_within(0.8))
    await service.stop()
    await client.close()
    await store.stop()
    assert all(ages)


async def test_a_response_with_a_change_confirms_the_keys_as_of_the_change(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # a config changes late in a long poll, and the store becomes unavailable soon after
    monkeypatch.setattr(configwatch, "CONFIG_LONG_POLL_S", 1.0)
    rig = Rig()
    rig.store.put("op", "config", build_config(1, "k"))
    await rig.start()
    await wait_until(lambda: rig.version == 1)
    await asyncio.sleep(0.8)
    rig.store.put("op", "config", build_config(2, "k"))
    rig.store.refusing = 503
    await wait_until(lambda: rig.version == 2)
    assert rig.gateway.freshness.is_within(0.2)
    await rig.stop()


async def test_an_unexpected_error_does_not_end_a_watch(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    rig.store.put("op", "config", build_config(1))
    await wait_until(lambda: rig.version == 1)
    apply, failures = rig.gateway.apply_table, 2

    def fail_twice(table: object) -> bool:
        nonlocal failures
        if failures:
            failures -= 1
            raise RuntimeError("unexpected")
        return apply(table)  # type: ignore[arg-type]

    monkeypatch.setattr(rig.gateway, "apply_table", fail_twice)
    rig.store.put("op", "config", build_config(2))
    await wait_until(lambda: rig.version == 2)
    assert all(not service.should_stop for service in rig.watches)


def build_update(rig: Rig, version: int, age_s: float = 0.0, base: int = 0) -> Update:
    """:return: an update of a reader that read the store just now."""
    store_s = round(time.monotonic(), 3) - age_s
    store = rig.store
    age_ms = round(1000 * age_s)
    return Update("a-reader", version, store_s, age_ms, base, store.revision, epoch=store.era)


async def follow(
    rig: Rig, version: int, seconds: float, base: int = 0, address: Address = NOBODY
) -> None:
    """Send the updates of a reader for a while."""
    until = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < until:
        rig.relay.take(build_update(rig, version, base=base), address)
        await asyncio.sleep(0.1)


async def test_a_follower_makes_no_calls_and_keeps_its_keys_fresh(rig: Rig) -> None:
    rig.store.put("op", "config", build_config(1, "k"))
    await wait_until(lambda: rig.version == 1)
    await follow(rig, 1, 0.6)
    calls = rig.store.calls
    rig.store.refusing = 503
    await follow(rig, 1, 1.2)
    assert rig.store.calls == calls
    assert rig.gateway.freshness.is_within(0.4)


async def test_a_follower_reads_a_newer_config_itself(rig: Rig) -> None:
    rig.store.put("op", "config", build_config(1, "k"))
    await wait_until(lambda: rig.version == 1)
    await follow(rig, 1, 0.6)
    rig.store.put("op", "config", build_config(2))
    await follow(rig, 2, 0.4)
    assert rig.version == 2


async def test_an_update_of_another_version_confirms_no_key(rig: Rig) -> None:
    rig.store.put("op", "config", build_config(5, "k"))
    await wait_until(lambda: rig.version == 5)
    await follow(rig, 5, 0.6)
    await follow(rig, 4, 1.0)
    assert not rig.gateway.freshness.is_within(0.8)


async def test_a_follower_reads_the_changes_that_updates_lack(rig: Rig) -> None:
    rig.store.put("op", "config", build_config(1, "k"))
    await wait_until(lambda: rig.version == 1)
    await follow(rig, 1, 0.6)
    rig.store.put("servers", "i-1", SERVER)
    await follow(rig, 1, 0.4, base=rig.store.revision)
    assert rig.gateway.directory.get("i-1") is not None


async def test_a_host_without_updates_reads_the_store_again(rig: Rig) -> None:
    rig.store.put("op", "config", build_config(1, "k"))
    await wait_until(lambda: rig.version == 1)
    await follow(rig, 1, 0.6)
    rig.store.put("op", "config", build_config(2))
    rig.store.put("servers", "i-1", SERVER)
    await wait_until(lambda: rig.version == 2 and rig.gateway.directory.get("i-1") is not None)


# fault: a host whose own reads the store refused kept the last config beside a newer reader
@pytest.mark.by_turns
async def test_a_host_that_the_store_refuses_gets_the_config_from_its_reader(rig: Rig) -> None:
    rig.store.put("op", "config", build_config(1, "k"))
    await wait_until(lambda: rig.version == 1)
    reader = ConfigExchange(find_free_address())
    await reader.start()
    await follow(rig, 1, 0.6, address=reader._address)
    rig.store.refusing = 429
    reader.document = msgspec.json.encode(build_config(2))
    await follow(rig, 2, 1.2, address=reader._address)
    assert rig.version == 2
    assert rig.gateway.freshness.is_within(0.4)
    assert rig.exchange.document == reader.document, "it can pass the config on itself"
    await reader.stop()


async def test_dropped_history_is_relayed_as_a_difference(rig: Rig) -> None:
    rig.store.put("op", "config", build_config(1))
    rig.store.put("servers", "i-1", SERVER)
    rig.store.put("servers", "i-2", SERVER)
    await wait_until(lambda: rig.version == 1 and len(list(rig.gateway.directory)) == 2)
    # a host that has just started sends no updates
    await asyncio.sleep(configwatch.RESTORE_SETTLE_S + 0.1)
    rig.relay.update_peers([("i", NOBODY)])
    updates, _ = rig.relay.list_due()
    known = updates[-1].revision
    rig.store.put("servers", "i-1", None)
    rig.store.put("servers", "i-3", SERVER)
    rig.store.history_from = rig.store.revision + 1
    await wait_until(lambda: rig.gateway.directory.get("i-3") is not None)
    updates, _ = rig.relay.list_due()
    assert updates[0].base <= known
    changes = [(c.id, bool(c.service)) for u in updates for c in u.changes if c.revision > known]
    assert sorted(changes) == [("i-1", False), ("i-3", True)]


# fault: a reader that returned to the store passed its new listing on as all that had changed, and
# its followers kept the endpoints that had come and gone since its last read
@pytest.mark.holds_stop
async def test_an_endpoint_that_came_and_went_while_its_reader_was_cut_off_is_removed(
    rig: Rig,
) -> None:
    reader = Rig(host="a")
    await reader.start()

    def put(table: str, key: str, value: object) -> None:
        for each in (reader, rig):
            each.store.put(table, key, value)

    put("op", "config", build_config(1))
    put("servers", "i-1", SERVER)
    reader.relay.update_peers([("h", NOBODY)])
    await wait_until(lambda: reader.gateway.directory.get("i-1") is not None)
    await asyncio.sleep(configwatch.RESTORE_SETTLE_S + 0.1)
    reader.store.refusing = 503
    await wait_until(lambda: reader.relay.list_due()[0][:1] == [Withdrawal("a")])
    put("servers", "i-2", SERVER)
    await wait_until(lambda: rig.gateway.directory.get("i-2") is not None)
    await follow(rig, 1, 0.6)
    before = build_update(rig, 1)
    put("servers", "i-2", None)
    reader.store.refusing = 0
    limit = TimeLimit(REMOVED_S)
    while rig.gateway.directory.get("i-2") is not None:
        limit.check("the endpoint is not removed")
        updates = [m for m in reader.relay.list_due()[0] if isinstance(m, Update)]
        # until then another reader sends what it knows
        for update in updates or [before]:
            rig.relay.take(update, NOBODY)
        await asyncio.sleep(0.02)
    await reader.stop()


async def test_a_difference_in_several_updates_costs_its_followers_no_call(rig: Rig) -> None:
    rig.store.put("op", "config", build_config(1))
    rig.store.put("servers", "i-1", SERVER)
    await wait_until(lambda: rig.version == 1 and rig.gateway.directory.get("i-1") is not None)
    await follow(rig, 1, 0.6)
    known = rig.store.revision
    for number in (2, 3):
        rig.store.put("servers", f"i-{number}", SERVER)
    end, calls = rig.store.revision, rig.store.calls
    for base, number in ((known, 2), (known + 1, 3)):
        entry = EndpointEntry(f"i-{number}", "s", Address("10.0.0.1", 80), "a", 4)
        change = pack_change(ListedChange(Revision(rig.store.era, base + 1), entry.id, entry))
        update = build_update(rig, 1, base=base)
        update.revision, update.changes = base + 1, [change]
        update.unseen_from, update.unseen_to = known, end
        rig.relay.take(update, NOBODY)
    await asyncio.sleep(0.3)
    assert rig.store.calls == calls
    assert rig.gateway.directory.get("i-3") is not None


async def test_a_follower_that_misses_changes_and_their_history_reads_all_rows(rig: Rig) -> None:
    rig.store.put("op", "config", build_config(1))
    rig.store.put("servers", "i-1", SERVER)
    await wait_until(lambda: rig.version == 1 and rig.gateway.directory.get("i-1") is not None)
    await follow(rig, 1, 0.6)
    rig.store.put("servers", "i-2", SERVER)
    rig.store.history_from = rig.store.revision + 1
    await follow(rig, 1, 0.8, base=rig.store.revision)
    assert rig.gateway.directory.get("i-2") is not None


async def test_a_follower_reads_versions_that_an_older_gateway_does_not_send(rig: Rig) -> None:
    # fault: the entry lost its version, which also counted as a restart of its endpoint
    rig.store.put("op", "config", build_config(1))
    rig.store.put("servers", "i-1", {**SERVER, "version": "v1"})
    await wait_until(lambda: rig.version == 1 and rig.gateway.directory.get("i-1") is not None)
    await follow(rig, 1, 0.6)
    known = rig.gateway.directory.get("i-1")
    pool = known.pool
    rig.store.put("servers", "i-1", {**SERVER, "version": "v1", "slots": 5})
    update = build_update(rig, 1, base=rig.store.revision - 1)
    record = EntryRecord(rig.store.revision, "i-1", "s", "10.0.0.1:80", "a", 5)
    update.changes.append(record)
    for _ in range(6):
        rig.relay.take(update, NOBODY)
        await asyncio.sleep(0.1)
    assert known.entry.slots == 5
    assert known.entry.version == "v1"
    assert known.pool is pool


async def test_a_follower_reads_a_restored_store_itself(rig: Rig) -> None:
    # fault: a follower applied revisions and clock of one epoch in another
    rig.store.put("op", "config", build_config(1, "k"))
    rig.store.put("servers", "i-1", SERVER)
    await wait_until(lambda: rig.version == 1 and rig.gateway.directory.get("i-1") is not None)
    await follow(rig, 1, 0.6)
    copy = rig.store.take_copy()
    rig.store.clock_offset_s = 1000.0
    rig.store.restore(copy)
    rig.store.put("servers", "i-2", SERVER)
    await follow(rig, 1, 1.0, base=rig.store.revision)
    assert rig.gateway.directory.get("i-2") is not None
    assert all(service._revision.epoch == rig.store.era for service in rig.watches)


async def test_updates_of_a_reader_that_has_not_seen_a_restore_change_nothing(rig: Rig) -> None:
    # fault: after a restore a host took changes and confirmations from before it
    rig.store.put("op", "config", build_config(1, "k"))
    await wait_until(lambda: rig.version == 1)
    old = build_update(rig, 1, base=rig.store.revision)
    old.revision += 100
    old.changes.append(EntryRecord(old.revision, "i-9", "s", "10.0.0.9:80", "a"))
    rig.store.restore(rig.store.take_copy())
    await wait_until(lambda: all(w._revision.epoch == rig.store.era for w in rig.watches))
    rig.relay.take(old, NOBODY)
    await asyncio.sleep(0.2)
    assert not rig.relay.follows
    assert rig.gateway.directory.get("i-9") is None
