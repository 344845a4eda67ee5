"""Confirmation of keys, contact with the store and entries after a restore."""

from __future__ import annotations

import asyncio

import pytest

from basilroad.clocks import read_boot_clock
from basilroad.gateway.exchange.relay import Update
from basilroad.platform import configwatch, serverswatch
from support.watchrig import NOBODY, STARTED, Rig, build_config, wait_until

pytestmark = pytest.mark.by_turns


async def restore_before_a_revocation(rig: Rig) -> None:
    """Restore the store to a copy that lacks a config which was acknowledged while it was cut."""
    rig.store.put("op", "config", build_config(1, "taken"))
    await wait_until(lambda: rig.version == 1)
    copy = rig.store.take_copy()
    rig.store.refusing = 503
    await asyncio.sleep(0.6)
    rig.store.restore(copy)
    rig.store.refusing = 0


async def test_a_reader_that_starts_with_the_copy_confirms_no_key_of_others() -> None:
    # fault: it takes the copy's config for the last one, and its followers, which know of the
    # restore and wait for the store to settle, believed it
    rig = Rig()
    rig.store.put("op", "config", build_config(1, "taken"))
    rig.store.restore(rig.store.take_copy())
    await rig.start()
    await wait_until(lambda: rig.version == 1)
    await asyncio.sleep(0.1)
    rig.relay.update_peers([("i", NOBODY)])
    early = rig.relay.list_due()[0]
    await asyncio.sleep(configwatch.RESTORE_SETTLE_S)
    late = rig.relay.list_due()[0]
    await rig.stop()
    assert not early
    assert late


async def test_a_response_made_before_the_store_has_settled_confirms_no_key(rig: Rig) -> None:
    # fault: only the time of arrival was compared, and a response may be in flight for a second
    await restore_before_a_revocation(rig)
    config = rig.watches[0]
    await wait_until(lambda: config._restore is not None)
    made_at = read_boot_clock()
    await rig.watches[0].stop()
    await asyncio.sleep(configwatch.RESTORE_SETTLE_S)
    config.on_confirmed(made_at, None)
    assert not rig.gateway.freshness.is_within(configwatch.RESTORE_SETTLE_S + 0.2)


async def test_keys_are_confirmed_as_soon_as_a_restored_store_has_settled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(configwatch, "CONFIG_LONG_POLL_S", 4.0)
    rig = Rig()
    rig.store.put("op", "config", build_config(1, "k"))
    await rig.start()
    await wait_until(lambda: rig.version == 1)
    rig.store.restore(rig.store.take_copy())
    config = rig.watches[0]
    await wait_until(lambda: config._restore is not None)
    settled_at = config._restore.seen_at + configwatch.RESTORE_SETTLE_S
    freshness = rig.gateway.freshness
    await wait_until(lambda: read_boot_clock() - freshness.age_s() >= settled_at)
    late_s = read_boot_clock() - settled_at
    await rig.stop()
    # a whole poll would end two seconds late
    assert late_s < 1.0


async def test_a_restore_after_a_failure_of_a_watch_is_noticed(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    # fault: a watch that failed forgot its epoch, and took the copy's keys for the last ones
    rig.store.put("op", "config", build_config(1, "taken"))
    await wait_until(lambda: rig.version == 1)
    copy = rig.store.take_copy()
    apply, failing = rig.gateway.apply_table, True

    def fail(table: object) -> bool:
        if failing:
            raise RuntimeError("unexpected")
        return apply(table)  # type: ignore[arg-type]

    monkeypatch.setattr(rig.gateway, "apply_table", fail)
    rig.store.put("op", "config", build_config(2, "k"))
    await wait_until(lambda: rig.watches[0].is_snapshot_due)
    rig.store.refusing = 503
    failing = False
    await asyncio.sleep(0.6)
    rig.store.restore(copy)
    rig.store.refusing = 0
    await asyncio.sleep(1.0)
    assert not rig.gateway.freshness.is_within(0.9)


async def test_the_copys_rows_count_soon_after_their_time(monkeypatch: pytest.MonkeyPatch) -> None:
    # fault: a long poll of four seconds came between the end of that time and the listing
    monkeypatch.setattr(serverswatch, "COPIED_ROWS_S", 1.0)
    rig = Rig()
    await rig.start()
    rig.store.put("servers", "i-1", STARTED)
    await wait_until(lambda: rig.gateway.directory.get("i-1") is not None)
    copy = rig.store.take_copy()
    rig.store.put("servers", "i-1", None)
    await wait_until(lambda: rig.gateway.directory.get("i-1") is None)
    rig.store.restore(copy)
    await asyncio.sleep(2.5)
    listed = rig.gateway.directory.get("i-1") is not None
    await rig.stop()
    assert listed


async def test_responses_without_an_epoch_are_of_the_last_one(rig: Rig) -> None:
    # fault: responses without the header were older than all others, for good
    rig.store.put("op", "config", build_config(1, "k"))
    await wait_until(lambda: rig.version == 1)
    rig.store.sends_era = False
    rig.store.put("op", "config", build_config(2, "k"))
    await wait_until(lambda: rig.version == 2 and rig.gateway.freshness.is_within(0.2))


async def test_a_reader_reports_the_removal_of_an_entry_that_it_held_back(rig: Rig) -> None:
    # fault: followers that had read the copy kept an endpoint that only the reader knew had ended
    rig.store.put("op", "config", build_config(1, "k"))
    rig.store.put("servers", "i-1", STARTED)
    await wait_until(lambda: rig.gateway.directory.get("i-1") is not None)
    copy = rig.store.take_copy()
    rig.store.put("servers", "i-1", None)
    await wait_until(lambda: rig.gateway.directory.get("i-1") is None)
    rig.store.restore(copy)
    rig.relay.update_peers([("i", NOBODY)])
    await wait_until(lambda: all(w._epoch == rig.store.era for w in rig.watches))
    await wait_until(lambda: bool(rig.relay.list_due()[0]))
    known = rig.watches[1]._revision
    assert known is not None
    rig.store.refusing = 503
    await asyncio.sleep(0.5)
    rig.store.put("servers", "i-1", None)
    rig.store.history_from = rig.store.revision + 1
    rig.store.refusing = 0
    updates: list[Update] = []

    def is_reported() -> bool:
        # a reader that has lost the store sends its followers a withdrawal first
        updates[:] = [each for each in rig.relay.list_due()[0] if isinstance(each, Update)]
        return bool(updates) and updates[-1].complete_to > known

    await wait_until(is_reported)
    assert updates[0].complete_from <= known
    assert [record.id for update in updates for record in update.changes] == ["i-1"]


async def test_versions_written_again_one_by_one_confirm_no_key_too_soon(rig: Rig) -> None:
    # fault: any version written again counted as the last one
    rig.store.put("op", "config", build_config(1, "taken"))
    await wait_until(lambda: rig.version == 1)
    copy = rig.store.take_copy()
    rig.store.refusing = 503
    await asyncio.sleep(0.6)
    # versions 2 and 3 were acknowledged here, and 3 took the key away
    rig.store.restore(copy)
    rig.store.refusing = 0
    await wait_until(lambda: rig.watches[0]._restore is not None)
    rig.store.put("op", "config", build_config(2, "taken"))
    await wait_until(lambda: rig.version == 2)
    await asyncio.sleep(0.3)
    assert not rig.gateway.freshness.is_within(0.6)
