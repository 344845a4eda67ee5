"""Versions that the row of the base version names, for hosts that start after a restore."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest

from basilroad.gateway.registry.directory import Directory
from basilroad.gateway.versions.archive import ArchiveRow, MayCommit
from basilroad.gateway.versions.baserow import (
    StoredBase,
    decode_base,
)
from basilroad.gateway.versions.baseversion import (
    BASE_KEY,
    CHANGE_SPREAD_S,
    CREATE_SPREAD_S,
    BaseVersion,
)
from basilroad.gateway.versions.listing import VersionListing
from basilroad.gateway.versions.streamversions import RELIST_S
from basilroad.gateway.versions.windows import (
    FORGET_S,
    VERSION_MEMORY_S,
)
from support.versionrig import SERVICE, SimFleet, SimHost
from support.virtualloop import run_virtually

SETTLE_S = 5.0


class OldBase(msgspec.Struct):
    """Value of the row as releases before the names knew it."""

    version: str
    generation: int
    successor: str | None = None
    epoch: int = 0


def read_base(fleet: SimFleet) -> StoredBase:
    base = decode_base(fleet.store.rows[SERVICE, BASE_KEY])
    assert base is not None
    return base


def rewrite_as_before(fleet: SimFleet) -> None:
    """Read and write the row like a host of a release before the names."""
    row = fleet.store.rows[SERVICE, BASE_KEY]
    value = msgspec.json.encode(msgspec.json.decode(row.value, type=OldBase))
    fleet.store.revision += 1
    fleet.store.rows[SERVICE, BASE_KEY] = ArchiveRow(value, fleet.store.revision)


async def start(fleet: SimFleet, hosts: int = 2) -> None:
    """Serve v1 alone until it is the base version."""
    fleet.serve("v1")
    for _ in range(hosts):
        fleet.end(await fleet.begin(fleet.start_host(), "v1"))
    await asyncio.sleep(VERSION_MEMORY_S)


async def restart_restored(fleet: SimFleet, *versions: str) -> SimHost:
    """:return: a host that has started with the listing of versions after a restore of the copy."""
    copy = dict(fleet.store.rows), fleet.store.revision
    fleet.kill_all()
    fleet.restore(*copy)
    fleet.serve(*versions)
    return fleet.start_host()


# fault: a row that was written before a version came said nothing of it after a restore
def test_a_row_of_an_old_host_gets_the_names() -> None:
    async def run() -> None:
        fleet = SimFleet()
        await start(fleet)
        rewrite_as_before(fleet)
        fleet.kill_all()
        fleet.serve("v1", "v2")
        host = fleet.start_host()
        # opens the service
        fleet.end(await fleet.begin(host, "v1"))
        await asyncio.sleep(SETTLE_S)
        assert read_base(fleet).others == ("v2",)

    run_virtually(run())


# fault: names that an old host has left out stayed away, so that streams were joined
def test_names_that_an_old_host_has_left_out_are_written_again() -> None:
    async def run() -> None:
        fleet = SimFleet()
        await start(fleet)
        fleet.serve("v1", "v2")
        await asyncio.sleep(SETTLE_S)
        assert read_base(fleet).others == ("v2",)
        rewrite_as_before(fleet)
        assert read_base(fleet).others == ()
        fleet.end(await fleet.begin(fleet.start_host(), "v1"))
        await asyncio.sleep(SETTLE_S)
        assert read_base(fleet).others == ("v2",)

    run_virtually(run())


# fault: a host could take another base version for the one in force beside hosts without the names
def test_an_old_host_reads_the_base_version_from_a_row_with_names() -> None:
    value = msgspec.json.encode(StoredBase("v1", 3, "v2", 2, ("v2", "v3")))
    assert msgspec.json.decode(value, type=OldBase) == OldBase("v1", 3, "v2", 2)
    old = msgspec.json.encode(OldBase("v1", 3, "v2", 2))
    assert decode_base(ArchiveRow(old, 1)) == StoredBase("v1", 3, "v2", 2)


# fault: each host wrote the row for a further version, and calls are billed
@pytest.mark.parametrize("hosts", [3, 24, 100])
def test_a_version_is_named_by_one_write(hosts: int) -> None:
    async def run() -> None:
        fleet = SimFleet()
        await start(fleet, hosts)
        writes, reads, revision = fleet.store.writes, fleet.store.reads, fleet.store.revision
        fleet.serve("v1", "v2")
        await asyncio.sleep(60.0)
        assert fleet.store.revision == revision + 1
        assert fleet.store.reads - reads <= hosts
        # hosts that read the row at the same moment also try
        assert fleet.store.writes - writes <= 1 + hosts // 20

    run_virtually(run())


# fault: a version that had left long ago kept take-ups refused after a restore
def test_a_version_that_left_long_ago_is_not_named() -> None:
    async def run() -> None:
        fleet = SimFleet()
        await start(fleet)
        fleet.serve("v1", "v2")
        await asyncio.sleep(SETTLE_S)
        fleet.serve("v1")
        await asyncio.sleep(VERSION_MEMORY_S)
        # others may still have it in their listing's memory
        assert read_base(fleet).others == ("v2",)
        await asyncio.sleep(FORGET_S - VERSION_MEMORY_S + CHANGE_SPREAD_S + SETTLE_S)
        assert read_base(fleet).others == ()
        writes, reads = fleet.store.writes, fleet.store.reads
        stream = await fleet.begin(fleet.hosts[0], "v1")
        host = await restart_restored(fleet, "v1")
        assert (fleet.store.writes, fleet.store.reads) == (writes, reads)
        await asyncio.sleep(RELIST_S + 1.0)
        assert await host.find(stream) == "v1"

    run_virtually(run())


# fault: as above, where all hosts had been killed before they could remove it
def test_hosts_that_start_later_remove_the_name_of_a_version() -> None:
    async def run() -> None:
        fleet = SimFleet()
        await start(fleet)
        fleet.serve("v1", "v2")
        await asyncio.sleep(SETTLE_S)
        fleet.kill_all()
        fleet.serve("v1")
        for _ in range(2):
            fleet.end(await fleet.begin(fleet.start_host(), "v1"))
        await asyncio.sleep(FORGET_S + CHANGE_SPREAD_S + SETTLE_S)
        assert read_base(fleet).others == ()

    run_virtually(run())


# fault: streams of the only version were refused for longer than others could be taken up
def test_a_named_version_counts_for_as_long_as_its_streams_may_be_taken_up() -> None:
    async def run() -> None:
        fleet = SimFleet()
        await start(fleet)
        fleet.serve("v1", "v2")
        await asyncio.sleep(SETTLE_S)
        host = await restart_restored(fleet, "v1")
        early = await fleet.begin(host, "v1")
        assert await host.find(early) == "v1"
        await asyncio.sleep(VERSION_MEMORY_S + SETTLE_S)
        late = await fleet.begin(fleet.start_host(), "v1")
        assert await host.find(late) == "v1"

    run_virtually(run())


# fault: a surviving host named a version no more after a restore of a copy from before it
def test_a_restored_row_gets_the_names_again() -> None:
    async def run() -> None:
        fleet = SimFleet()
        await start(fleet)
        copy = dict(fleet.store.rows), fleet.store.revision
        fleet.serve("v1", "v2")
        await asyncio.sleep(SETTLE_S)
        fleet.serve("v1")
        await asyncio.sleep(SETTLE_S)
        fleet.restore(*copy)
        await asyncio.sleep(SETTLE_S)
        assert read_base(fleet).others == ("v2",)

    run_virtually(run())


# fault: a removal without a response was applied after its version was listed again
def test_a_late_removal_of_a_name_is_superseded() -> None:
    async def run() -> None:
        fleet = SimFleet()
        await start(fleet, hosts=1)
        fleet.serve("v1", "v2")
        await asyncio.sleep(SETTLE_S)
        fleet.serve("v1")
        await asyncio.sleep(FORGET_S - 1.0)
        fleet.store.loses_writes, fleet.store.late_s = True, 8.0
        writes = fleet.store.writes
        async with asyncio.timeout(CHANGE_SPREAD_S + SETTLE_S):
            while fleet.store.writes == writes:
                await asyncio.sleep(0.1)
        fleet.store.loses_writes = False
        fleet.serve("v1", "v2")
        await asyncio.sleep(2 * CHANGE_SPREAD_S + SETTLE_S)
        assert read_base(fleet).others == ("v2",)

    run_virtually(run())


# fault: a trusted base version was in doubt after a name was written without a response
def test_a_name_without_a_response_leaves_the_base_version_trusted() -> None:
    async def run() -> None:
        fleet = SimFleet()
        await start(fleet, hosts=1)
        base = fleet.hosts[0].versions.keeper.open(SERVICE).base
        fleet.store.loses_writes = True
        fleet.serve("v1", "v2")
        await asyncio.sleep(CREATE_SPREAD_S + SETTLE_S)
        assert base.is_trusted(asyncio.get_running_loop().time())
        assert base.stored is not None
        fleet.store.loses_writes = False
        await asyncio.sleep(CHANGE_SPREAD_S + SETTLE_S)
        assert read_base(fleet).others == ("v2",)

    run_virtually(run())


def test_a_change_without_a_response_is_read_again_by_a_host_without_trust() -> None:
    base = BaseVersion(SERVICE, VersionListing(Directory()), random.Random(0))
    value = msgspec.json.encode(StoredBase("v1", 1, epoch=1))
    base.apply_read(ArchiveRow(value, 1), 0.0, False, 1)
    base.apply(MayCommit("no response"), 1.0)
    assert base.stored is None
    assert base.needs_read(1.0)
