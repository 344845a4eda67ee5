"""Age of the confirmation of keys from the store through each host that passes it on."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Sequence

import pytest

from basilroad.clocks import read_boot_clock
from basilroad.gateway.exchange import configexchange
from basilroad.gateway.exchange.configexchange import ConfigExchange
from basilroad.gateway.exchange.relay import Confirmation, Update, Withdrawal
from basilroad.platform import configwatch
from basilroad.platform.configwatch import CONFIRMATION_LAG_S
from support.addresses import find_free_address
from support.watchrig import (
    BUDGET,
    NOBODY,
    SERVER,
    Rig,
    build_config,
    wait_until,
)


@pytest.fixture
async def reader() -> AsyncIterator[Rig]:
    """A reader that has read the store and has a follower."""
    rig = Rig(address=find_free_address())
    await rig.start()
    rig.store.put("op", "config", build_config(1, "taken"))
    rig.store.put("servers", "i-1", SERVER)
    await wait_until(lambda: rig.version == 1 and rig.gateway.directory.get("i-1") is not None)
    # a host that has just started sends no updates
    await asyncio.sleep(configwatch.RESTORE_SETTLE_S + 0.1)
    rig.relay.update_peers([("i", NOBODY)])
    yield rig
    await rig.stop()


def list_sent(rig: Rig) -> Sequence[Update | Withdrawal]:
    """:return: what a reader sends now."""
    rig.relay._sent_at = 0.0
    return rig.relay.list_due()[0]


def list_confirmation_times(rig: Rig) -> list[float]:
    """:return: times of the confirmations that a reader sends now."""
    now = read_boot_clock()
    return [now - u.age_ms / 1000 for u in list_sent(rig) if isinstance(u, Update)]


async def test_a_reader_that_reads_again_confirms_nothing_meanwhile(reader: Rig) -> None:
    # the history is gone and the reads of all rows hang
    reader.store.history_from = reader.store.revision + 1
    reader.store.silent = True
    reader.store.put("op", "config", build_config(2))
    reader.store.break_off()
    cut_at = read_boot_clock()
    confirmed = []
    while read_boot_clock() < cut_at + BUDGET.reread_s - 0.3:
        confirmed += list_confirmation_times(reader)
        await asyncio.sleep(0.05)
    assert confirmed
    assert max(confirmed) <= cut_at + 0.01
    age_s = reader.gateway.freshness.age_s()
    assert age_s is not None
    assert age_s >= read_boot_clock() - cut_at - 0.01


async def test_a_reader_that_can_not_read_again_withdraws_in_time(reader: Rig) -> None:
    reader.store.silent = True
    reader.store.break_off()
    cut_at = time.monotonic()
    await wait_until(lambda: any(isinstance(m, Withdrawal) for m in list_sent(reader)))
    assert time.monotonic() - cut_at <= BUDGET.reread_s + 0.3


async def test_a_reader_confirms_nothing_by_a_store_that_was_just_restored(reader: Rig) -> None:
    copy = reader.store.take_copy()
    reader.store.put("op", "config", build_config(2))
    await wait_until(lambda: reader.version == 2)
    restored_at = read_boot_clock()
    reader.store.restore(copy)
    while read_boot_clock() < restored_at + configwatch.RESTORE_SETTLE_S - 0.1:
        assert all(at <= restored_at + 0.01 for at in list_confirmation_times(reader))
        await asyncio.sleep(0.05)


# fault: a reader whose watch failed continued to send its followers a listing that it no longer
# kept
async def test_a_reader_whose_watch_fails_withdraws(
    reader: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(*_: object, **__: object) -> None:
        raise RuntimeError("unexpected")

    monkeypatch.setattr(reader.gateway.directory, "replace", fail)
    monkeypatch.setattr(reader.watches[1], "apply_changes", fail)
    reader.store.put("servers", "i-1", {**SERVER, "state": "draining"})
    failed_at = time.monotonic()
    await wait_until(lambda: any(isinstance(m, Withdrawal) for m in list_sent(reader)))
    assert time.monotonic() - failed_at <= BUDGET.reread_s + 0.5


async def test_an_update_that_waited_at_a_suspended_follower_is_as_old_as_it_is(
    reader: Rig,
) -> None:
    reader.store.refusing = 503
    await asyncio.sleep(1.0)
    age_s = reader.gateway.freshness.age_s()
    assert age_s is not None
    revision = reader.store.revision
    # its age was right when it was sent, ten seconds ago
    late = Update("a", 1, time.monotonic() - 10.0, 0, revision, revision, epoch=reader.store.era)
    reader.relay.take(late, NOBODY)
    assert not reader.gateway.freshness.is_within(age_s)


@pytest.mark.parametrize("pause", ["before", "after"])
async def test_a_fetched_confirmation_is_no_younger_than_it_was_at_its_reader(
    monkeypatch: pytest.MonkeyPatch, pause: str
) -> None:
    exchange = ConfigExchange(find_free_address())
    exchange.document = b"{}"
    confirmed_at = read_boot_clock() - 0.2
    exchange.confirmation = Confirmation(1, 0.0, confirmed_at)
    serve = exchange._serve

    async def serve_late(request: object) -> object:
        # either host is suspended while the fetch or its response is in flight
        if pause == "before":
            await asyncio.sleep(0.3)
        response = await serve(request)  # type: ignore[arg-type]
        if pause == "after":
            await asyncio.sleep(0.3)
        return response

    monkeypatch.setattr(exchange, "_serve", serve_late)
    await exchange.start()
    assert exchange._address is not None
    fetched = await ConfigExchange(None).fetch(exchange._address)
    await exchange.stop()
    assert fetched is not None
    assert confirmed_at - 0.5 <= fetched.confirmed_at <= confirmed_at


async def test_a_host_that_takes_over_sends_no_confirmation_from_its_time_as_a_follower(
    reader: Rig,
) -> None:
    # it follows another reader for a while, and then takes over without a read
    read_at = read_boot_clock()
    revision = reader.store.revision
    until = time.monotonic() + 1.5
    while time.monotonic() < until:
        now = time.monotonic()
        update = Update("a", 1, now, 0, revision, revision, epoch=reader.store.era)
        reader.relay.take(update, NOBODY)
        await asyncio.sleep(0.1)
    reader.store.refusing = 503
    reader.relay._updated_at = 0.0
    assert all(
        at <= read_at + configwatch.CONFIG_LONG_POLL_S for at in list_confirmation_times(reader)
    )


def test_a_version_without_a_sound_age_confirms_nothing() -> None:
    for text in ("", "-1", "1e3", "1.5", "\u0664", "9" * 16, "nan"):
        assert configexchange._read_count({"Confirmed-Age-Ms": text}, "Confirmed-Age-Ms") is None


# fault: a follower whose clock of the store stays uncertain read the whole config at each update
async def test_a_follower_whose_clock_is_suspect_reads_the_store_once(rig: Rig) -> None:
    rig.store.put("op", "config", build_config(1, "key"))
    await wait_until(lambda: rig.version == 1)
    # the poll from before it follows ends
    for seconds in (1.0, 1.0):
        calls = rig.store.calls
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            revision = rig.store.revision
            store_s = time.monotonic() - CONFIRMATION_LAG_S - 6.0
            update = Update("a", 1, store_s, 0, revision, revision, epoch=rig.store.era)
            rig.relay.take(update, NOBODY)
            rig.gateway.freshness._confirmed_at = read_boot_clock() - CONFIRMATION_LAG_S - 5.0
            await asyncio.sleep(0.05)
    assert rig.store.calls - calls <= 1
