"""Versions of streams as hosts know them from their own streams and from the store."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
import pytest

from basilroad.errors import ErrorKind, RefusedError
from basilroad.gateway.registry.directory import Directory
from basilroad.gateway.route import RetrySafety
from basilroad.gateway.versions.baseversion import BASE_KEY, RESTORE_SETTLE_S
from basilroad.gateway.versions.streamrow import (
    ORPHAN_AGE_S,
    RESUME_WINDOW_S,
    build_key,
)
from basilroad.gateway.versions.streamversions import RELIST_S, StreamVersions
from basilroad.gateway.versions.windows import VERSION_MEMORY_S
from builders import build_stream_route
from support.versionrig import (
    SERVICE,
    SimArchive,
    SimFleet,
    SimHost,
    SimStream,
    build_stream_call,
)
from support.virtualloop import run_virtually

SETTLE_S = 5.0
RESTART_S = 2.0


def virtually(
    test: Callable[[SimFleet], Coroutine[Any, Any, None]],
) -> Callable[[], None]:
    """:return: the test on an event loop without waits."""

    async def run() -> None:
        await test(SimFleet())

    def run_test() -> None:
        run_virtually(run())

    run_test.__name__, run_test.__doc__ = test.__name__, test.__doc__
    return run_test


async def start_with_two_versions(fleet: SimFleet, hosts: int = 2) -> None:
    """Serve v1 alone until it is the base version, then v1 and v2."""
    fleet.serve("v1")
    for _ in range(hosts):
        host = fleet.start_host()
        await asyncio.sleep(SETTLE_S)
        fleet.end(await fleet.begin(host, "v1"))
    await asyncio.sleep(VERSION_MEMORY_S)
    fleet.serve("v1", "v2")
    await asyncio.sleep(SETTLE_S)


async def restart_all(fleet: SimFleet, hosts: int = 2) -> SimHost:
    """:return: one of the hosts after all were killed at once."""
    fleet.kill_all()
    await asyncio.sleep(RESTART_S)
    for _ in range(hosts):
        fleet.start_host()
    await asyncio.sleep(1.0)
    return fleet.hosts[-1]


# fault: streams were joined of two versions after all hosts had been killed at once
@virtually
async def test_versions_are_known_after_the_end_of_all_hosts(fleet: SimFleet) -> None:
    await start_with_two_versions(fleet)
    streams = [await fleet.begin(host, v) for host in fleet.hosts for v in ("v1", "v2", "v2")]
    assert [stream.version for stream in streams] == 2 * ["v1", "v2", "v2"]
    host = await restart_all(fleet)
    assert [await host.find(stream) for stream in streams] == 2 * ["v1", "v2", "v2"]


# fault: as above, where the old version had left before the kill
@virtually
async def test_versions_are_known_after_the_old_one_has_left(fleet: SimFleet) -> None:
    await start_with_two_versions(fleet)
    old, new = [await fleet.begin(fleet.hosts[0], v) for v in ("v1", "v2")]
    fleet.serve("v2")
    await asyncio.sleep(SETTLE_S)
    host = await restart_all(fleet)
    assert (await host.find(old), await host.find(new)) == ("v1", "v2")


@virtually
async def test_any_host_knows_the_versions_of_the_streams_of_others(fleet: SimFleet) -> None:
    await start_with_two_versions(fleet)
    first, second = fleet.hosts
    streams = [await fleet.begin(first, v) for v in ("v1", "v2")]
    assert [await second.find(stream) for stream in streams] == ["v1", "v2"]


# fault: other hosts resumed a stream of the base version that may have been begun by another one
@virtually
async def test_a_stream_whose_version_is_in_doubt_is_not_known_to_any_host(fleet: SimFleet) -> None:
    await start_with_two_versions(fleet)
    first, second = fleet.hosts
    stream = await fleet.begin(first, "v1")
    first.versions.record_unknown(stream.call)
    fleet.end(stream)
    assert await first.find(stream) is None
    await asyncio.sleep(1.0)
    first.kill()
    assert await second.find(stream) is None


# fault: calls to the store are billed, and most of the time one version serves
@virtually
async def test_nothing_is_read_or_written_while_one_version_serves(fleet: SimFleet) -> None:
    fleet.serve("v1")
    for _ in range(3):
        host = fleet.start_host()
        await asyncio.sleep(SETTLE_S)
        fleet.end(await fleet.begin(host, "v1"))
    await asyncio.sleep(VERSION_MEMORY_S)
    calls = fleet.store.reads, fleet.store.writes
    for n in range(300):
        host = fleet.hosts[n % 3]
        stream = await fleet.begin(host, "v1")
        assert await fleet.hosts[(n + 1) % 3].find(stream) == "v1"
        fleet.end(stream)
    assert (fleet.store.reads, fleet.store.writes) == calls
    # the first host made the row of the base version
    assert (fleet.store.writes, len(fleet.store.rows)) == (1, 1)
    assert fleet.store.reads <= 4


@virtually
async def test_records_are_removed_after_the_time_for_a_take_up(fleet: SimFleet) -> None:
    await start_with_two_versions(fleet)
    streams = [await fleet.begin(fleet.hosts[0], "v2") for _ in range(5)]
    assert len(fleet.store.rows) == 6
    await asyncio.sleep(2.0)
    for stream in streams:
        fleet.end(stream)
    writes = fleet.store.writes
    await asyncio.sleep(RESUME_WINDOW_S - 1.0)
    assert await fleet.hosts[1].find(streams[0]) == "v2"
    assert (len(fleet.store.rows), fleet.store.writes) == (6, writes)
    await asyncio.sleep(20.0)
    assert (len(fleet.store.rows), fleet.store.writes) == (1, writes + 1)


@virtually
async def test_streams_that_begin_together_share_a_write(fleet: SimFleet) -> None:
    await start_with_two_versions(fleet)
    writes = fleet.store.writes
    streams = await asyncio.gather(*[fleet.begin(fleet.hosts[0], "v2") for _ in range(120)])
    assert all(stream.version == "v2" and stream.recorded for stream in streams)
    # a transaction holds the condition and the write of 50 records
    assert fleet.store.writes - writes == 3


# fault: a stream that moves before its first event is found at the version it has left
@pytest.mark.parametrize("path", [("v2", "v1"), ("v2", "v3"), ("v1", "v2"), ("v2", "v1", "v2")])
def test_a_stream_that_moves_before_its_first_event(path: tuple[str, ...]) -> None:
    @virtually
    async def move(fleet: SimFleet) -> None:
        await start_with_two_versions(fleet)
        fleet.serve("v1", "v2", "v3")
        await asyncio.sleep(SETTLE_S)
        stream = await fleet.begin(fleet.hosts[0], *path)
        assert stream.version == path[-1]
        host = await restart_all(fleet)
        assert await host.find(stream) == path[-1]

    move()


# fault: a write without a response is applied after the stream has moved
def test_a_late_write_does_not_bring_back_a_version_that_was_left() -> None:
    @virtually
    async def move(fleet: SimFleet) -> None:
        await start_with_two_versions(fleet)
        host, store = fleet.hosts[0], fleet.store
        store.mute, store.late_s = True, 4.0
        stream = fleet.begin(host, "v2", "v1", wait_s=0.5)
        task = asyncio.ensure_future(stream)
        await asyncio.sleep(0.3)
        store.mute = False
        passed = await task
        assert passed.version == "v1"
        await asyncio.sleep(10.0)
        assert await fleet.hosts[1].find(passed) == "v1"

    move()


# fault: as above, where the version that was left is wanted again and the store still holds it
@virtually
async def test_a_late_write_does_not_replace_a_version_that_is_requested_again(
    fleet: SimFleet,
) -> None:
    await start_with_two_versions(fleet)
    fleet.serve("v1", "v2", "v3")
    await asyncio.sleep(SETTLE_S)
    beginning = asyncio.ensure_future(fleet.begin(fleet.hosts[0], "v2", "v3", "v2", wait_s=0.5))
    await asyncio.sleep(0.6)
    fleet.store.loses_writes, fleet.store.late_s = True, 4.0
    await asyncio.sleep(0.3)
    fleet.store.loses_writes = False
    stream = await beginning
    assert (stream.version, stream.recorded) == ("v2", True)
    await asyncio.sleep(10.0)
    assert await fleet.hosts[1].find(stream) == "v2"


# fault: a change of the base version is applied after that version was listed again
@virtually
async def test_a_late_change_of_the_base_version(fleet: SimFleet) -> None:
    await start_with_two_versions(fleet)
    first = fleet.hosts[0]
    fleet.serve("v2")
    fleet.store.loses_writes, fleet.store.late_s = False, 15.0
    begun_at = asyncio.get_running_loop().time()
    for left_s in (45.0, 80.0):
        fleet.end(await fleet.begin(first, "v2"))
        await asyncio.sleep(begun_at + left_s - asyncio.get_running_loop().time())
    fleet.store.loses_writes = True
    await asyncio.sleep(25.0)
    writes = fleet.store.writes
    fleet.serve("v1", "v2")
    fleet.store.loses_writes = False
    await asyncio.sleep(2.0)
    assert writes > 0
    stream = await fleet.begin(first, "v1")
    assert stream.version == "v1"
    await asyncio.sleep(30.0)
    host = await restart_all(fleet)
    assert await host.find(stream) == "v1"


# fault: after a failed write, a host tried again without a pause while only a removal was to come
@virtually
async def test_a_host_is_idle_while_the_store_is_away_and_only_a_removal_waits(
    fleet: SimFleet,
) -> None:
    await start_with_two_versions(fleet)
    host = fleet.hosts[0]
    fleet.end(await fleet.begin(host, "v2"))
    await asyncio.sleep(RESUME_WINDOW_S + 1.0)
    work, turns = host.versions.keeper.work, 0

    async def count_turn() -> None:
        nonlocal turns
        turns += 1
        assert turns < 100
        await work()

    host.versions.keeper.work = count_turn
    fleet.store.down = True
    # the write fails, then the stream begins at the version that needs none
    stream = await fleet.begin(host, "v2", "v1", wait_s=0.5)
    assert stream.version == "v1"
    await asyncio.sleep(SETTLE_S)
    assert turns < 50


# fault: a stream was joined of two versions; the host that began it did not know the base version
@virtually
async def test_no_stream_begins_unrecorded_while_any_of_two_versions_may_be_the_base(
    fleet: SimFleet,
) -> None:
    await start_with_two_versions(fleet)
    late = fleet.start_host()
    late.archive.cut = True
    # other hosts pass the listing on
    late.directory.replace(fleet.list_entries())
    await asyncio.sleep(SETTLE_S)
    stream = await fleet.begin(late, "v2")
    if stream.version is not None:
        assert await fleet.hosts[0].find(stream) in (None, stream.version)
    fleet.serve("v2")
    late.directory.replace(fleet.list_entries())
    await asyncio.sleep(SETTLE_S)
    assert (await fleet.begin(late, "v2")).version == "v2", "no other host can take it up elsewhere"


async def begin_where_preferred(fleet: SimFleet, count: int, per_s: float) -> list[SimStream]:
    """:return: streams that prefer v2, after their first events."""

    async def begin(host: SimHost) -> SimStream:
        version = "v2" if host.versions.may_begin(SERVICE, "v2") else "v1"
        stream = await fleet.begin(host, version)
        fleet.end(stream)
        return stream

    tasks = []
    for _ in range(count):
        tasks.append(asyncio.ensure_future(begin(fleet.hosts[0])))
        await asyncio.sleep(1 / per_s)
    return await asyncio.gather(*tasks)


# fault: half of the streams that began at another version were broken off before their first event
@pytest.mark.parametrize("per_s", [0.5, 2.0, 12.0])
def test_streams_begin_at_the_base_version_while_a_record_would_wait_for_its_turn(
    per_s: float,
) -> None:
    @virtually
    async def begin(fleet: SimFleet) -> None:
        await start_with_two_versions(fleet)
        fleet.hosts[0].versions.keeper.attach(fleet.hosts[0].archive, lambda: 410)
        streams = await begin_where_preferred(fleet, 60, per_s)
        passed = [stream.version for stream in streams if stream.version is not None]
        assert len(passed) >= 0.9 * len(streams)
        assert "v2" in passed

    begin()


# fault: a fifth of the streams could not begin at another version, as each write held one record
@pytest.mark.parametrize("seed", range(4))
def test_records_share_the_few_transactions_of_a_host(seed: int) -> None:
    @virtually
    async def begin(fleet: SimFleet) -> None:
        await start_with_two_versions(fleet)
        host, generator, tasks = fleet.hosts[0], random.Random(seed), []
        host.versions.keeper.attach(host.archive, lambda: 410)
        for _ in range(200):
            await asyncio.sleep(generator.expovariate(1 / 3))
            tasks.append(asyncio.ensure_future(begin_where_preferred(fleet, 1, 1.0)))
        streams = [stream for task in tasks for stream in await task]
        assert all(stream.version is not None and stream.recorded for stream in streams)
        assert sum(stream.version == "v2" for stream in streams) >= 0.87 * len(streams)

    begin()


@virtually
async def test_a_record_is_written_before_the_first_event_where_transactions_are_plenty(
    fleet: SimFleet,
) -> None:
    await start_with_two_versions(fleet)
    host, loop = fleet.hosts[0], asyncio.get_running_loop()
    for n in range(20):
        host.versions.begin(build_stream_call(f"stream-{n}"), "v2")
        await asyncio.sleep(0.3)
        started_at = loop.time()
        assert await host.versions.confirm(build_stream_call(f"stream-{n}"), "v2")
        assert loop.time() == started_at


# fault: as above, beside a store that answers late
@pytest.mark.parametrize("slow_s", [1.5, 3.0])
def test_streams_begin_at_the_base_version_while_the_store_is_slow(
    slow_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    write, delay_s = SimArchive.write, 0.0

    async def write_late(archive: SimArchive, *args: Any) -> object:
        await asyncio.sleep(delay_s)
        return await write(archive, *args)

    monkeypatch.setattr(SimArchive, "write", write_late)

    @virtually
    async def begin(fleet: SimFleet) -> None:
        nonlocal delay_s
        await start_with_two_versions(fleet)
        delay_s = slow_s
        streams = await begin_where_preferred(fleet, 100, 5.0)
        assert sum(stream.version is not None for stream in streams) >= 0.8 * len(streams)

    begin()


# fault: while the store is away, streams begin whose versions no other host can know
@virtually
async def test_new_streams_go_to_the_base_version_while_the_store_is_away(
    fleet: SimFleet,
) -> None:
    await start_with_two_versions(fleet)
    host = fleet.hosts[0]
    assert host.versions.may_begin(SERVICE, "v2")
    fleet.store.down = True
    refused = await fleet.begin(host, "v2")
    assert refused.version is None
    assert not host.versions.may_begin(SERVICE, "v2")
    assert host.versions.may_begin(SERVICE, "v1")
    moved = await fleet.begin(host, "v1")
    assert (moved.version, moved.recorded) == ("v1", True)
    fleet.store.down = False
    await asyncio.sleep(SETTLE_S)
    assert host.versions.may_begin(SERVICE, "v2")
    assert (await fleet.begin(host, "v2")).recorded


# fault: a store that is away lets no stream begin where no version can do without it
@virtually
async def test_streams_begin_without_a_record_where_no_version_needs_none(
    fleet: SimFleet,
) -> None:
    await start_with_two_versions(fleet)
    fleet.serve("v2")
    await asyncio.sleep(SETTLE_S)
    fleet.store.down = True
    host = fleet.hosts[0]
    assert host.versions.may_begin(SERVICE, "v2")
    stream = await fleet.begin(host, "v2")
    assert (stream.version, stream.recorded) == ("v2", False)
    fleet.store.down = False
    # the record is made as soon as the store is back
    await asyncio.sleep(SETTLE_S)
    assert await fleet.hosts[1].find(stream) == "v2"


# fault: a take-up is guessed while the records can't be read
@pytest.mark.parametrize("fault", ["down", "mute"])
def test_a_take_up_is_refused_while_the_store_is_away(fault: str) -> None:
    @virtually
    async def take_up(fleet: SimFleet) -> None:
        await start_with_two_versions(fleet)
        first, second = fleet.hosts
        stream = await fleet.begin(first, "v2")
        setattr(fleet.store, fault, True)
        call = build_stream_call("again", resumes=stream.call.id)
        begun_at = asyncio.get_running_loop().time()
        with pytest.raises(RefusedError) as refused:
            await second.versions.find(call)
        assert refused.value.refusal.kind is ErrorKind.STORE_UNAVAILABLE
        assert refused.value.refusal.retry_after is not None
        assert asyncio.get_running_loop().time() - begun_at <= 1.6
        # a host's own streams resume
        assert await first.find(stream) == "v2"

    take_up()


# fault: a caller can find out about streams of another workspace
@virtually
async def test_a_stream_of_another_workspace_is_unknown(fleet: SimFleet) -> None:
    await start_with_two_versions(fleet)
    first, second = fleet.hosts
    stream = await fleet.begin(first, "v2")
    for host in (first, second):
        unknown = await host.versions.find(build_stream_call("a", "never"))
        other = await host.versions.find(build_stream_call("b", stream.call.id, "x", api_key="x"))
        assert (unknown, other) == ("v1", "v1")


# review case 8: streams resumed at another version after their key had changed its workspace
@pytest.mark.parametrize(
    ("begun", "taken_up"),
    [
        ({"workspace": "a"}, {"workspace": "b"}),
        ({"workspace": "a"}, {"workspace": ""}),
        ({"workspace": ""}, {"workspace": "b"}),
        ({"workspace": "", "api_key": ""}, {"workspace": "b"}),
        ({"workspace": "a", "api_key": "old"}, {"workspace": "a", "api_key": "new"}),
    ],
    ids=["moved", "workspaces gone", "workspaces new", "keys new", "key replaced"],
)
def test_a_stream_is_known_after_a_change_of_keys_and_workspaces(
    begun: dict[str, str], taken_up: dict[str, str]
) -> None:
    @virtually
    async def take_up(fleet: SimFleet) -> None:
        await start_with_two_versions(fleet)
        first, second = fleet.hosts
        call = build_stream_call("s", **begun)
        first.versions.begin(call, "v2")
        assert await first.versions.confirm(call, "v2")
        again = build_stream_call("again", "s", **taken_up)
        assert [await host.versions.find(again) for host in (first, second)] == ["v2", "v2"]
        started = await restart_all(fleet)
        assert await started.versions.find(again) == "v2"

    take_up()


# fault: two workspaces may use one id, and a record of the one must not hide that of the other
@virtually
async def test_streams_of_one_id_are_told_apart_by_their_workspace(fleet: SimFleet) -> None:
    await start_with_two_versions(fleet)
    first, second = fleet.hosts
    calls = {
        version: build_stream_call("s", workspace=version, api_key=version)
        for version in ("v1", "v2")
    }
    for version, call in calls.items():
        first.versions.begin(call, version)
        assert await first.versions.confirm(call, version)
    for host in (first, second):
        for version in calls:
            again = build_stream_call("again", "s", workspace=version, api_key=version)
            assert await host.versions.find(again) == version


@virtually
async def test_a_key_with_streams_of_one_id_in_two_workspaces_takes_up_its_own(
    fleet: SimFleet,
) -> None:
    await start_with_two_versions(fleet)
    first = fleet.hosts[0]
    moved = build_stream_call("s", workspace="a", api_key="moved")
    other = build_stream_call("s", workspace="b", api_key="other")
    for call, version in ((moved, "v2"), (other, "v1")):
        first.versions.begin(call, version)
        assert await first.versions.confirm(call, version)
    # the key of the first has moved to the second workspace: either stream may be meant
    assert await first.versions.find(build_stream_call("c", "s", "b", api_key="moved")) is None
    assert await first.versions.find(build_stream_call("d", "s", "a", api_key="moved")) == "v2"
    assert await first.versions.find(build_stream_call("e", "s", "b", api_key="other")) == "v1"


# fault: callers that don't name their stream were refused by each host that had started lately
@virtually
async def test_a_take_up_that_names_no_stream_resumes_while_only_the_base_is_known(
    fleet: SimFleet,
) -> None:
    fleet.serve("v1")
    host = fleet.start_host()
    fleet.end(await fleet.begin(host, "v1"))
    await asyncio.sleep(SETTLE_S)
    restarted = await restart_all(fleet)
    assert await restarted.versions.find(build_stream_call("a")) == "v1"
    await asyncio.sleep(VERSION_MEMORY_S)
    assert await restarted.versions.find(build_stream_call("a")) == "v1"


# fault: such a stream could resume at another version than the one that began it
@virtually
async def test_a_take_up_that_names_no_stream_is_refused_beside_a_release(fleet: SimFleet) -> None:
    await start_with_two_versions(fleet)
    assert await fleet.hosts[0].versions.find(build_stream_call("a")) is None
    restarted = await restart_all(fleet)
    assert await restarted.versions.find(build_stream_call("a")) is None
    fleet.serve("v2")
    await asyncio.sleep(SETTLE_S)
    assert await fleet.hosts[0].versions.find(build_stream_call("a")) is None
    restarted = await restart_all(fleet)
    assert await restarted.versions.find(build_stream_call("a")) is None


# fault: as above, where the listing lacked the other version after a restore or an outage
@pytest.mark.parametrize("restored", [True, False])
def test_a_take_up_that_names_no_stream_waits_for_a_complete_listing(restored: bool) -> None:
    @virtually
    async def take_up(fleet: SimFleet) -> None:
        await start_with_two_versions(fleet)
        copy = dict(fleet.store.rows), fleet.store.revision
        fleet.kill_all()
        if restored:
            fleet.restore(*copy)
        fleet.serve("v1")
        host = fleet.start_host()
        if not restored:
            host.directory.mark_listing_unreliable()
        with pytest.raises(RefusedError) as caught:
            await host.versions.find(build_stream_call("a"))
        assert caught.value.refusal.kind is ErrorKind.STORE_UNAVAILABLE
        await asyncio.sleep(RELIST_S + SETTLE_S)
        assert await host.versions.find(build_stream_call("a")) == "v1"

    take_up()


# fault: all streams need a record permanently after a release
@virtually
async def test_the_base_version_follows_a_release(fleet: SimFleet) -> None:
    await start_with_two_versions(fleet, hosts=3)
    fleet.serve("v2")
    early = await fleet.begin(fleet.hosts[0], "v2")
    for _ in range(200):
        for host in fleet.hosts:
            fleet.end(await fleet.begin(host, "v2"))
    writes, reads = fleet.store.writes, fleet.store.reads
    late = await fleet.begin(fleet.hosts[0], "v2")
    await asyncio.sleep(SETTLE_S)
    assert (fleet.store.writes, fleet.store.reads) == (writes, reads)
    host = await restart_all(fleet)
    assert (await host.find(early), await host.find(late)) == ("v2", "v2")


# fault: records of hosts that died stay in the store permanently
@virtually
async def test_records_of_hosts_that_died_are_removed_after_a_release(fleet: SimFleet) -> None:
    await start_with_two_versions(fleet)
    await asyncio.gather(*[fleet.begin(fleet.hosts[0], "v2") for _ in range(120)])
    await restart_all(fleet)
    assert len(fleet.store.rows) == 121
    fleet.serve("v2")
    for _ in range(40):
        for host in fleet.hosts:
            fleet.end(await fleet.begin(host, "v2"))
        await asyncio.sleep(3.0)
    running = await fleet.begin(fleet.hosts[0], "v1")
    reads, writes = fleet.store.reads, fleet.store.writes
    await asyncio.sleep(ORPHAN_AGE_S + 100.0)
    # the record of a stream that still runs stays
    assert {key for _, key in fleet.store.rows} == {BASE_KEY, build_key(running.call)}
    # three removals, and pages until none is left
    assert fleet.store.writes - writes <= 5
    assert fleet.store.reads - reads <= 5


# fault: the record of a stream that ran for longer than ten minutes was removed as left behind,
# and the stream went on at the base version
@virtually
async def test_the_record_of_a_long_stream_stays_while_it_may_be_taken_up(fleet: SimFleet) -> None:
    await start_with_two_versions(fleet, hosts=3)
    running = [await fleet.begin(host, "v2", budget_s=3 * ORPHAN_AGE_S) for host in fleet.hosts]
    for versions in (("v2", "v3"), ("v3",)):
        # the host that changes the base version removes records
        fleet.serve(*versions)
        await asyncio.sleep(VERSION_MEMORY_S + ORPHAN_AGE_S + 120.0)
    host = await restart_all(fleet)
    assert [await host.find(stream) for stream in running] == ["v2"] * 3


# fault: a stream without a record, whose caller had minutes, went on at the next base version
@virtually
async def test_the_base_version_stays_while_its_long_streams_may_be_taken_up(
    fleet: SimFleet,
) -> None:
    fleet.limit_s = 5 * RESUME_WINDOW_S
    await start_with_two_versions(fleet)
    stream = await fleet.begin(fleet.hosts[0], "v1", budget_s=fleet.limit_s)
    assert stream.version == "v1"
    host = await restart_all(fleet)
    fleet.serve("v2")
    fleet.end(await fleet.begin(host, "v2", budget_s=fleet.limit_s))
    await asyncio.sleep(VERSION_MEMORY_S + 60.0)
    assert await host.find(stream) == "v1"
    await asyncio.sleep(fleet.limit_s)
    late = await fleet.begin(host, "v2", budget_s=fleet.limit_s)
    assert await host.find(late) == "v2"


# fault: a base version that is about to change is relied on when it is listed again
@virtually
async def test_a_base_version_that_is_listed_again_stays(fleet: SimFleet) -> None:
    await start_with_two_versions(fleet)
    host = fleet.hosts[0]
    fleet.serve("v2")
    fleet.store.mute, fleet.store.late_s = False, None
    for _ in range(9):
        fleet.end(await fleet.begin(host, "v2"))
        await asyncio.sleep(11.0)
    fleet.serve("v1", "v2")
    await asyncio.sleep(SETTLE_S)
    streams = [await fleet.begin(host, v) for v in ("v1", "v2")]
    await asyncio.sleep(SETTLE_S)
    restarted = await restart_all(fleet)
    assert [await restarted.find(stream) for stream in streams] == ["v1", "v2"]


# fault: a host that slept relies on what changed meanwhile
@virtually
async def test_a_host_that_was_cut_off_for_long_reads_the_base_version_again(
    fleet: SimFleet,
) -> None:
    await start_with_two_versions(fleet)
    first, second = fleet.hosts
    second.archive.cut = True
    fleet.serve("v2")
    for _ in range(15):
        fleet.end(await fleet.begin(first, "v2"))
        await asyncio.sleep(10.0)
    assert not second.versions._is_base(second.versions.keeper.open(SERVICE), "v1")
    second.archive.cut = False
    fleet.serve("v1", "v2")
    await asyncio.sleep(2 * SETTLE_S)
    stream = await fleet.begin(second, "v1")
    assert await first.find(stream) == "v1"


# fault: a restored store has lost the records of streams that still run
@virtually
async def test_what_a_restored_store_has_lost_is_written_again(fleet: SimFleet) -> None:
    copy = dict(fleet.store.rows), fleet.store.revision
    await start_with_two_versions(fleet)
    streams = [await fleet.begin(fleet.hosts[0], v) for v in ("v1", "v2")]
    fleet.restore(*copy)
    await asyncio.sleep(15.0)
    host = await restart_all(fleet)
    assert [await host.find(stream) for stream in streams] == ["v1", "v2"]


# fault: a stream whose record a restored store had lost counted as one of the base version
@virtually
async def test_a_stream_whose_record_may_be_lost_is_unknown(fleet: SimFleet) -> None:
    await start_with_two_versions(fleet)
    copy = dict(fleet.store.rows), fleet.store.revision
    stream = await fleet.begin(fleet.hosts[0], "v2")
    fleet.kill_all()
    fleet.restore(*copy)
    host = await restart_all(fleet)
    assert await host.find(stream) is None


# fault: no stream could be taken up any more after a restore, or each needed a record
@virtually
async def test_records_are_complete_again_after_a_restore(fleet: SimFleet) -> None:
    await start_with_two_versions(fleet)
    fleet.restore(dict(fleet.store.rows), fleet.store.revision)
    first, second = fleet.hosts
    stream = await fleet.begin(first, "v1")
    assert await second.find(stream) == "v1"
    fleet.end(stream)
    await asyncio.sleep(2 * VERSION_MEMORY_S)
    writes = fleet.store.writes
    later = await fleet.begin(first, "v1")
    assert fleet.store.writes == writes
    assert await second.find(later) == "v1"


# fault: the restored listing lacked a version, so its streams counted as ones of the base version
@virtually
async def test_a_lost_record_is_unknown_until_the_listing_is_complete_again(
    fleet: SimFleet,
) -> None:
    await start_with_two_versions(fleet)
    copy = dict(fleet.store.rows), fleet.store.revision
    stream = await fleet.begin(fleet.hosts[0], "v2")
    fleet.kill_all()
    fleet.restore(*copy)
    fleet.serve("v1")
    host = await restart_all(fleet)
    assert await host.find(stream) is None
    fleet.serve("v1", "v2")
    await asyncio.sleep(RELIST_S)
    assert await host.find(stream) is None


# fault: a stream of a route that allows no resume, without a record, counted as of the base version
@virtually
async def test_a_stream_that_may_not_resume_is_of_unknown_version_beside_two(
    fleet: SimFleet,
) -> None:
    await start_with_two_versions(fleet)
    recorded = await fleet.begin(fleet.hosts[0], "v2")
    host = await restart_all(fleet)
    route = build_stream_route(retry_safety=RetrySafety.FORBIDDEN)
    call = attrs.evolve(build_stream_call("takeup", resumes="once"), route=route)
    assert await host.versions.find(call) is None
    assert await host.versions.find(attrs.evolve(call, resumes=recorded.call.id)) == "v2"
    fleet.serve("v1")
    await asyncio.sleep(VERSION_MEMORY_S + SETTLE_S)
    assert await host.versions.find(call) == "v1"


# fault: a version that left before the hosts started was unknown to them, so that a stream of it
# whose record a restored store had lost counted as one of the base version
@virtually
async def test_a_lost_record_is_unknown_while_its_version_is_away(fleet: SimFleet) -> None:
    await start_with_two_versions(fleet)
    copy = dict(fleet.store.rows), fleet.store.revision
    stream = await fleet.begin(fleet.hosts[0], "v2")
    fleet.kill_all()
    fleet.restore(*copy)
    fleet.serve("v1")
    host = await restart_all(fleet)
    await asyncio.sleep(RELIST_S + SETTLE_S)
    assert await host.find(stream) is None


# fault: as above, where the base version had no row yet when the copy was made
@virtually
async def test_a_lost_record_is_unknown_while_the_base_version_is_lost_too(
    fleet: SimFleet,
) -> None:
    copy = dict(fleet.store.rows), fleet.store.revision
    await start_with_two_versions(fleet)
    stream = await fleet.begin(fleet.hosts[0], "v2")
    fleet.kill_all()
    fleet.restore(*copy)
    fleet.serve("v1")
    host = await restart_all(fleet)
    assert await host.find(stream) is None


# fault: a base version that was chosen after a restore counted as that of streams from before
@virtually
async def test_a_base_version_that_replaces_a_lost_one_began_no_earlier_stream(
    fleet: SimFleet,
) -> None:
    copy = dict(fleet.store.rows), fleet.store.revision
    fleet.serve("v1")
    stream = await fleet.begin(fleet.start_host(), "v1")
    fleet.kill_all()
    fleet.restore(*copy)
    fleet.serve("v2")
    host = await restart_all(fleet)
    assert await host.find(stream) is None
    await asyncio.sleep(RESTORE_SETTLE_S + SETTLE_S)
    assert host.versions.keeper.open(SERVICE).base.version == "v2"
    assert await host.find(stream) is None
    await asyncio.sleep(VERSION_MEMORY_S)
    assert (await host.find(await fleet.begin(host, "v2"))) == "v2"


# fault: as above, where a host that was left knew the base version
@virtually
async def test_a_lost_record_is_unknown_at_a_host_that_was_left(fleet: SimFleet) -> None:
    copy = dict(fleet.store.rows), fleet.store.revision
    await start_with_two_versions(fleet)
    first, second = fleet.hosts
    stream = await fleet.begin(first, "v2")
    fleet.kill(first)
    fleet.restore(*copy)
    assert await second.find(stream) is None


# fault: while one version served, no stream without a record was found for long after a restore
@virtually
async def test_streams_of_the_only_version_are_found_once_the_listing_is_complete(
    fleet: SimFleet,
) -> None:
    fleet.serve("v1")
    host = fleet.start_host()
    await asyncio.sleep(SETTLE_S)
    stream = await fleet.begin(host, "v1")
    fleet.kill_all()
    fleet.restore(dict(fleet.store.rows), fleet.store.revision)
    host = await restart_all(fleet)
    await asyncio.sleep(RELIST_S)
    assert await host.find(stream) == "v1"


# fault: after a restore, a change of the base version hid that records were missing
@virtually
async def test_a_changed_base_version_does_not_hide_lost_records(fleet: SimFleet) -> None:
    await start_with_two_versions(fleet)
    fleet.serve("v2", "v3")
    await asyncio.sleep(VERSION_MEMORY_S - 10.0)
    copy = dict(fleet.store.rows), fleet.store.revision
    first, second = fleet.hosts
    stream = await fleet.begin(first, "v3")
    fleet.kill(first)
    fleet.restore(*copy)
    # the base version changes while the stream may be taken up
    await asyncio.sleep(RESUME_WINDOW_S - 5.0)
    assert second.versions.keeper.open(SERVICE).base.version == "v2"
    assert await second.find(stream) is None


def test_without_an_archive_the_own_streams_are_known() -> None:
    async def check() -> None:
        versions = StreamVersions(Directory())
        call = build_stream_call("a")
        versions.begin(call, "v2")
        assert await versions.confirm(call, "v2")
        versions.end(call)
        assert await versions.find(build_stream_call("b", "a")) == "v2"
        assert await versions.find(build_stream_call("b", "c")) is None

    asyncio.run(check())


# fault: callers whose requests had no id resumed each other's streams
def test_a_take_up_that_names_no_stream_is_not_one_without_an_id() -> None:
    async def check() -> None:
        versions = StreamVersions(Directory())
        assert await versions.confirm(build_stream_call(""), "v2")
        assert await versions.find(build_stream_call("b")) is None

    asyncio.run(check())
