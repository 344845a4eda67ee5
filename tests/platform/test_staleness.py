"""The steps from a silent connection to a known change add up to the platform's bounds."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator

import pytest
from hypothesis import given, strategies as st

from basilroad.gateway.exchange.gossip import GOSSIP_INTERVAL_S
from basilroad.gateway.exchange.relay import Update, Withdrawal
from basilroad.gateway.registry.endpoint import EndpointState
from basilroad.http.client import KeepAlive
from basilroad.platform.configwatch import CONFIG_LONG_POLL_S
from basilroad.platform.serverswatch import SERVERS_LONG_POLL_S, SERVERS_PAUSE_S
from basilroad.platform.staleness import (
    MIN_POLL_S,
    REREAD_RESERVE_S,
    RESPONSE_ALLOWANCE_S,
    StalenessBudget,
)
from basilroad.platform.store import Changes
from basilroad.platform.watch import FOLLOW_CHECK_INTERVAL_S
from support.watchrig import DRAIN_S, NOBODY, SERVER, Rig, build_config, wait_until

SHORTEST_CONTACT_S = MIN_POLL_S + RESPONSE_ALLOWANCE_S + REREAD_RESERVE_S


# the limits of the steps were constants, and their sum exceeded the contact limit
@given(st.floats(SHORTEST_CONTACT_S, 60.0), st.floats(0.1, 10.0))
def test_pause_poll_and_read_add_up_to_the_contact_limit(contact_s: float, drain_s: float) -> None:
    budget = StalenessBudget(contact_s, drain_s)
    for wait_s, wanted_pause_s in (
        (CONFIG_LONG_POLL_S, 0.0),
        (SERVERS_LONG_POLL_S, SERVERS_PAUSE_S),
    ):
        pause_s = budget.limit_pause(wanted_pause_s)
        poll_s = budget.limit_poll(wait_s, pause_s)
        spent_s = pause_s + poll_s + RESPONSE_ALLOWANCE_S + REREAD_RESERVE_S
        assert spent_s <= contact_s + 1e-9
        assert poll_s >= MIN_POLL_S


@pytest.mark.parametrize("contact_s", [0.0, 0.5, SHORTEST_CONTACT_S])
def test_a_poll_never_gets_shorter_than_its_minimum(contact_s: float) -> None:
    budget = StalenessBudget(contact_s, DRAIN_S)
    assert budget.limit_poll(4.0, 0.0) == pytest.approx(MIN_POLL_S)
    assert budget.limit_pause(0.5) == pytest.approx(0.0)


CONTACT_S = 2.5

FOLLOWER_READ_S = 0.25
"""A read by a follower on a new connection between regions, and calls in flight."""


@pytest.fixture
async def silent_rig() -> AsyncIterator[Rig]:
    rig = Rig(StalenessBudget(CONTACT_S, DRAIN_S))
    await rig.start()
    rig.store.put("op", "config", build_config(1))
    rig.store.put("servers", "i-1", SERVER)
    await wait_until(lambda: rig.version == 1 and rig.gateway.directory.get("i-1") is not None)
    yield rig
    await rig.stop()


# calls reached a drained server for seconds after the connections to the store fell silent
@pytest.mark.by_turns
@pytest.mark.parametrize("before_s", [0.0, 0.2, 0.45, 1.2])
async def test_a_drain_is_known_in_time_although_connections_fall_silent(
    silent_rig: Rig, before_s: float
) -> None:
    rig = silent_rig
    # a change starts the pause in which the connection falls silent unnoticed
    rig.store.put("servers", "i-2", SERVER)
    await asyncio.sleep(before_s)
    rig.store.put("servers", "i-1", {**SERVER, "state": "draining"})
    assert rig.store.silence_connections()
    silent_at = time.monotonic()
    endpoint = rig.gateway.directory.get("i-1")
    assert endpoint is not None
    await wait_until(lambda: endpoint.entry.state is EndpointState.DRAINING)
    assert time.monotonic() - silent_at <= CONTACT_S


async def test_a_config_is_in_force_in_time_although_connections_fall_silent(
    silent_rig: Rig,
) -> None:
    silent_rig.store.put("op", "config", build_config(2))
    silent_rig.store.silence_connections()
    silent_at = time.monotonic()
    await wait_until(lambda: silent_rig.version == 2)
    assert time.monotonic() - silent_at <= CONTACT_S


# a follower knew of a drain after its reader had noticed that the way to the store is cut, and then
# only after the reader's updates had been missing for a while
@pytest.mark.parametrize(("drain_s", "config_apply_s"), [(2.5, 2.5), (4.0, 4.0), (5.0, 5.0)])
def test_a_cut_of_the_reader_and_the_read_of_its_followers_add_up_to_the_bounds(
    drain_s: float, config_apply_s: float
) -> None:
    steps_s = KeepAlive().limit_s + GOSSIP_INTERVAL_S + FOLLOW_CHECK_INTERVAL_S
    assert steps_s + FOLLOWER_READ_S <= min(drain_s, config_apply_s)


async def test_a_reader_whose_poll_is_lost_withdraws(silent_rig: Rig) -> None:
    rig = silent_rig
    rig.relay.update_peers([("i", NOBODY)])
    await wait_until(lambda: bool(rig.relay.list_due()[0]))
    rig.store.silence_connections()
    seen: list[object] = []

    def is_withdrawn() -> bool:
        seen.extend(rig.relay.list_due()[0])
        return any(isinstance(message, Withdrawal) for message in seen)

    rig.store.refusing = 503
    await wait_until(is_withdrawn)
    rig.store.refusing = 0
    seen.clear()
    await wait_until(lambda: any(isinstance(m, Update) for m in rig.relay.list_due()[0]))


# fault: a reader that reads the tables again kept its followers without a limit
async def test_a_reader_that_reads_again_for_too_long_withdraws(
    silent_rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    rig = silent_rig
    rig.relay.update_peers([("i", NOBODY)])
    await wait_until(lambda: bool(rig.relay.list_due()[0]))

    async def read_for_ever(_: str) -> Changes:
        return await asyncio.get_running_loop().create_future()

    monkeypatch.setattr(rig.client, "read_table", read_for_ever)
    rig.store.history_from = rig.store.revision + 1
    rig.store.put("other", "row", b"")
    rig.store.break_off()
    dropped_at = time.monotonic()
    seen: list[object] = []
    while not any(isinstance(message, Withdrawal) for message in seen):
        seen.extend(rig.relay.list_due()[0])
        await asyncio.sleep(0.01)
        assert time.monotonic() - dropped_at <= rig.budget.reread_s + GOSSIP_INTERVAL_S + 0.2
    assert any(isinstance(message, Update) for message in seen), "it is the reader still"


async def measure_withdrawal(rig: Rig) -> float:
    """:return: seconds from now until a reader withdraws."""
    began_at = time.monotonic()
    await wait_until(lambda: any(isinstance(m, Withdrawal) for m in rig.relay.list_due()[0]))
    return time.monotonic() - began_at


# fault: a reader whose store closed its polls and was gone kept its followers without a limit
@pytest.mark.by_turns
@pytest.mark.parametrize("silent", [True, False])
async def test_a_reader_whose_store_does_not_return_withdraws(
    silent_rig: Rig, silent: bool
) -> None:
    rig = silent_rig
    rig.relay.update_peers([("i", NOBODY)])
    await wait_until(lambda: bool(rig.relay.list_due()[0]))
    # the store closes the polls that it holds, not one that is still in transit
    await wait_until(lambda: rig.store.polls == len(rig.watches))
    rig.store.silent, rig.store.refusing = silent, 0 if silent else 503
    rig.store.break_off()
    assert await measure_withdrawal(rig) <= rig.budget.reread_s + GOSSIP_INTERVAL_S


# fault: a reader whose poll was in transit when its store fell silent kept its followers beyond
# the time within which a silent connection has to be noticed
@pytest.mark.by_turns
async def test_a_reader_whose_polls_are_in_transit_when_the_store_falls_silent_withdraws(
    silent_rig: Rig,
) -> None:
    rig = silent_rig
    rig.relay.update_peers([("i", NOBODY)])
    await wait_until(lambda: bool(rig.relay.list_due()[0]))
    await wait_until(lambda: rig.store.polls == len(rig.watches))
    rig.store.put("op", "config", build_config(2))
    rig.store.put("servers", "i-2", SERVER)
    while rig.version == 1:
        await asyncio.sleep(0)
    assert rig.store.polls == 0
    rig.store.silent = True
    rig.store.break_off()
    assert await measure_withdrawal(rig) <= rig.budget.silence_s + GOSSIP_INTERVAL_S


@pytest.mark.parametrize(("drain_s", "config_apply_s"), [(2.5, 2.5), (4.0, 4.0), (5.0, 5.0)])
def test_a_pause_a_reread_and_the_read_of_followers_add_up_to_the_bounds(
    drain_s: float, config_apply_s: float
) -> None:
    budget = StalenessBudget(CONTACT_S, drain_s)
    steps_s = budget.reread_s + GOSSIP_INTERVAL_S + FOLLOW_CHECK_INTERVAL_S + FOLLOWER_READ_S
    assert budget.limit_pause(SERVERS_PAUSE_S) + steps_s <= drain_s
    assert steps_s <= config_apply_s


# each idle connection that fell silent with the poll cost a further time-out, and an entry that was
# removed meanwhile was kept as if the store had been away
@pytest.mark.by_turns
async def test_silence_of_many_connections_costs_one_time_out(silent_rig: Rig) -> None:
    rig = silent_rig
    await asyncio.gather(*(rig.client.read_table("other") for _ in range(6)))
    rig.store.put("servers", "i-1", None)
    rig.store.silence_connections()
    silent_at = time.monotonic()
    await wait_until(lambda: rig.gateway.directory.get("i-1") is None)
    assert time.monotonic() - silent_at <= CONTACT_S
