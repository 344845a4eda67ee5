"""Streams resume only at servers of the software version that began them."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator, Awaitable
from pathlib import Path

import aiohttp
import pytest

from basilroad.standin.appserver import AppServerStandin
from basilroad.standin.rowstore import RowStoreStandin
from soak.link import Link
from soak.process import GatewayProcess
from soak.rundelay import RunLimit
from support.addresses import name_ip
from support.gatewayrig import GatewayRig, build_config
from support.streamcaller import StreamCaller, Try
from support.watchrig import wait_until

OLD, NEW, NEWEST = "v1", "v2", "v3"
GATEWAYS = 2
SERVERS = 2
"""Servers of each version."""

STREAMS = 16
EVENTS = 240
EVENT_INTERVAL_S = 0.03
STREAM_TIMEOUT_S = 15.0
FIRST_TRY_TIMEOUT_S = 40.0
"""Time limit of the tries that begin streams; ``STREAM_END_S`` ends the test before."""

STREAM_END_S = 10.0
"""Time within which these tries end, without the time that gateways or test wait for a
processor; their events take 7.2 s."""

WAIT_TIMEOUT_S = 20.0
"""Time limit of other waits, without that time too."""

POLL_S = 0.01
UNLISTED_S = 1.0
"""Time in which gateways read that entries were removed."""

DOWN_S = 0.3
"""Time for which killed gateways are down."""

RESTART_S = 0.05
"""Time between end and start of a server that is released in place."""

SILENT_S = 1.0
"""Time for which the store is silent before and after the kill."""

RESTORED_S = 1.0
"""Time from the return of the store from a copy to the kill."""

AT_ONCE_S = 2.0
"""Time within which a stream ends that can't resume; one that waits has a deadline beyond it."""

PEER_LOGGED = "peer heard"
REFUSED = 503


class Fleet:
    """Gateways as processes of their own, which can be killed, and servers of two versions."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = RowStoreStandin()
        self.servers: list[AppServerStandin] = []
        self.gateways: list[GatewayProcess] = []
        self.sent: dict[StreamCaller, asyncio.Future[Try]] = {}
        self._ends: dict[StreamCaller, RunLimit] = {}
        self._numbers = itertools.count(1)

    async def start(self) -> None:
        await self.store.start()
        config = build_config(1, "key", timeout_ms=round(1000 * FIRST_TRY_TIMEOUT_S))
        self.store.put("op", "config", config)
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))
        for number in range(GATEWAYS):
            link = Link(self.store.port, self.store.ip)
            await link.start()
            gateway = GatewayProcess(number, name_ip(100 + number), self.folder, link)
            gateway.start()
            self.gateways.append(gateway)

    async def add_servers(self, version: str) -> None:
        for number in range(SERVERS):
            server = AppServerStandin(
                f"i-{version}-{number}",
                events=EVENTS,
                event_interval_s=EVENT_INTERVAL_S,
                ip=name_ip(len(self.servers)),
                version=version,
            )
            await server.start()
            self.servers.append(server)
            self.store.put("servers", server.id, server.build_entry("llm", slots=48))

    def list_servers(self, version: str) -> list[AppServerStandin]:
        return [server for server in self.servers if server.version == version]

    def unlist(self, version: str) -> None:
        for server in self.list_servers(version):
            self.store.put("servers", server.id, None)

    async def end_servers(self, version: str) -> None:
        for server in self.list_servers(version):
            await server.stop()

    async def remove_servers(self, version: str) -> None:
        """Let the servers of a version leave the store, and end a little later."""
        self.unlist(version)
        await asyncio.sleep(UNLISTED_S)
        await self.end_servers(version)

    def limit(self, limit_s: float) -> RunLimit:
        """:return: a time limit in which only the time counts that gateways and test can use."""
        return RunLimit(limit_s, lambda: [gateway.pid for gateway in self.gateways])

    async def _wait(
        self, awaitable: Awaitable[object], what: str, limit: RunLimit | None = None
    ) -> None:
        limit = limit or self.limit(WAIT_TIMEOUT_S)
        task = asyncio.ensure_future(awaitable)
        while not (await asyncio.wait([task], timeout=POLL_S))[0]:
            if limit.is_over():
                task.cancel()
                pytest.fail(f"{what} in time, {limit.describe()}")
        await task

    async def wait_listed(self, version: str) -> None:
        """Wait until each gateway places streams at servers of a version."""
        await self._wait(
            self._all_place_at(version), f"no stream of {version} begins at each gateway"
        )

    async def _all_place_at(self, version: str) -> None:
        for gateway in self.gateways:
            tasks: list[asyncio.Future[Try]] = []
            try:
                # gateways that know each other prefer different servers, unless these are busy
                while await self._begin_stream(gateway, tasks) != {version}:
                    await asyncio.sleep(0.05)
            finally:
                for task in tasks:
                    task.cancel()

    async def _begin_stream(
        self, gateway: GatewayProcess, tasks: list[asyncio.Future[Try]]
    ) -> set[str]:
        """:return: version of a stream that continues."""
        caller = StreamCaller(self.session, next(self._numbers), EVENTS)
        task = asyncio.ensure_future(caller.send(gateway.front))
        tasks.append(task)
        while not caller.events and not task.done():
            await asyncio.sleep(POLL_S)
        return caller.versions

    def send_streams(self, count: int = STREAMS) -> list[StreamCaller]:
        """:return: callers that have each sent a request to a gateway."""
        numbers = itertools.islice(self._numbers, count)
        callers = [
            StreamCaller(self.session, number, EVENTS, deadline_s=FIRST_TRY_TIMEOUT_S)
            for number in numbers
        ]
        limit = self.limit(STREAM_END_S)
        for caller in callers:
            sending = caller.send(self.find_front(caller))
            self.sent[caller] = asyncio.ensure_future(sending)
            self._ends[caller] = limit
        return callers

    async def begin_streams(self) -> list[StreamCaller]:
        """:return: callers that have received some events."""
        callers = self.send_streams()
        await self._wait(self._have_events(callers), "streams without events")
        return callers

    async def _have_events(self, callers: list[StreamCaller]) -> None:
        while not all(len(caller.events) > 2 for caller in callers):
            await asyncio.sleep(POLL_S)

    async def wait_ended(self, callers: list[StreamCaller]) -> None:
        """Wait until the requests that callers sent first, and together, have ended."""
        await self._wait(
            asyncio.gather(*(self.sent[caller] for caller in callers)),
            "streams without an end",
            self._ends[callers[0]],
        )

    async def list_late(self, callers: list[StreamCaller], limit_s: float) -> list[int]:
        """:return: numbers of the callers whose first request does not end within a time."""
        limit, sent = self.limit(limit_s), [self.sent[caller] for caller in callers]
        while not all(task.done() for task in sent) and not limit.is_over():
            await asyncio.wait(sent, timeout=POLL_S)
        return [caller.number for caller in callers if not self.sent[caller].done()]

    def find_front(self, caller: StreamCaller, shift: int = 0) -> str:
        """:return: URL of a gateway for a caller."""
        return self.gateways[(caller.number + shift) % len(self.gateways)].front

    async def wait_ready(self) -> None:
        await self._wait(self._all_are_ready(), "a gateway not ready")

    async def _all_are_ready(self) -> None:
        for gateway in self.gateways:
            while not await self._is_ready(gateway):
                await asyncio.sleep(0.05)

    async def _is_ready(self, gateway: GatewayProcess) -> bool:
        try:
            async with self.session.get(gateway.readiness) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def wait_known(self) -> None:
        """Wait until the gateways know each other."""
        await self._wait(self._all_have_peers(), "a gateway without peers")

    async def _all_have_peers(self) -> None:
        while not all(PEER_LOGGED in gateway.log.read_text() for gateway in self.gateways):
            await asyncio.sleep(POLL_S)

    async def kill_gateways(self) -> None:
        """Kill all gateways at once and wait until they are back."""
        await asyncio.gather(*(gateway.kill(DOWN_S) for gateway in self.gateways))
        await self.wait_ready()

    async def take_up(self, callers: list[StreamCaller]) -> None:
        """Let callers take up their streams at another gateway."""
        for caller in callers:
            caller.deadline_s = STREAM_END_S
        await asyncio.gather(*(c.take_up(self.find_front(c, shift=1)) for c in callers))

    async def stop(self) -> None:
        await self.session.close()
        for gateway in self.gateways:
            await gateway.end()
            await gateway.store.close()
        for server in self.servers:
            await server.stop()
        await self.store.stop()


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[Fleet]:
    fleet = Fleet(tmp_path)
    await fleet.start()
    yield fleet
    await fleet.stop()


def list_joined(callers: list[StreamCaller]) -> list[set[str]]:
    return [caller.versions for caller in callers if len(caller.versions) > 1]


def select(callers: list[StreamCaller], version: str) -> list[StreamCaller]:
    """:return: callers whose first event a version made."""
    return [caller for caller in callers if caller.events[0].version == version]


def have_begun(callers: list[StreamCaller], *versions: str) -> bool:
    """:return: whether streams of each version have begun, and none has ended."""
    begun = all(select(callers, version) for version in versions)
    return begun and not any(caller.is_whole for caller in callers)


# fault: a stream whose server had crashed resumed at one of another software version
async def test_a_stream_resumes_at_a_server_of_its_version(fleet: Fleet) -> None:
    for version in (OLD, NEW):
        await fleet.add_servers(version)
    await fleet.wait_ready()
    callers = await fleet.begin_streams()
    assert have_begun(callers, OLD, NEW)
    await fleet.list_servers(OLD)[0].stop()
    await fleet.wait_ended(callers)
    assert list_joined(callers) == []
    assert all(caller.is_whole for caller in callers)


# fault: streams whose software version had left resumed at servers of another one
async def test_streams_without_a_server_of_their_version_end_at_once(fleet: Fleet) -> None:
    for version in (OLD, NEW):
        await fleet.add_servers(version)
    await fleet.wait_ready()
    callers = await fleet.begin_streams()
    assert have_begun(callers, OLD, NEW)
    old, new = select(callers, OLD), select(callers, NEW)
    await fleet.remove_servers(OLD)
    late = await fleet.list_late(old, AT_ONCE_S)
    await fleet.wait_ended(callers)
    assert list_joined(callers) == []
    assert late == []
    assert all(caller.is_whole for caller in new)


# fault: once all gateways had been killed, streams resumed at servers of any software version
@pytest.mark.parametrize("joins_later", [False, True], ids=["together", "joined"])
async def test_streams_are_taken_up_at_their_version_after_the_end_of_all_gateways(
    fleet: Fleet, joins_later: bool
) -> None:
    await fleet.add_servers(OLD)
    if not joins_later:
        await fleet.add_servers(NEW)
    await fleet.wait_ready()
    callers = await fleet.begin_streams()
    if joins_later:
        await fleet.add_servers(NEW)
        await fleet.wait_listed(NEW)
        callers += await fleet.begin_streams()
    assert have_begun(callers, OLD, NEW)
    await fleet.kill_gateways()
    await fleet.take_up(callers)
    assert list_joined(callers) == []
    assert all(caller.is_whole for caller in callers)


# fault: a wait for a version did not end where gateways that know each other prefer other servers
async def test_a_version_is_waited_for_at_gateways_that_know_each_other(fleet: Fleet) -> None:
    await fleet.add_servers(OLD)
    await fleet.wait_ready()
    await fleet.wait_known()
    await fleet.add_servers(NEW)
    await fleet.wait_listed(NEW)


# fault: streams of the release before resumed at servers of the one after it
async def test_streams_are_taken_up_at_their_version_beside_a_second_release(fleet: Fleet) -> None:
    await fleet.add_servers(OLD)
    await fleet.wait_ready()
    await fleet.add_servers(NEW)
    await fleet.wait_listed(NEW)
    await fleet.remove_servers(OLD)
    callers = await fleet.begin_streams()
    await fleet.add_servers(NEWEST)
    await fleet.wait_listed(NEWEST)
    callers += await fleet.begin_streams()
    assert have_begun(callers, NEW, NEWEST)
    await fleet.kill_gateways()
    await fleet.take_up(callers)
    assert list_joined(callers) == []
    assert all(caller.is_whole for caller in callers)


# fault: streams of a software version that had left resumed at another one after such an end
async def test_streams_of_a_version_that_has_left_are_refused_at_once(fleet: Fleet) -> None:
    await fleet.add_servers(OLD)
    await fleet.wait_ready()
    callers = await fleet.begin_streams()
    await fleet.add_servers(NEW)
    await fleet.wait_listed(NEW)
    callers += await fleet.begin_streams()
    assert have_begun(callers, OLD, NEW)
    old, new = select(callers, OLD), select(callers, NEW)
    fleet.unlist(OLD)
    await asyncio.gather(fleet.kill_gateways(), fleet.end_servers(OLD))
    refused = await asyncio.gather(*(caller.send(fleet.find_front(caller, 1)) for caller in old))
    await fleet.take_up(new)
    assert list_joined(callers) == []
    assert {ended.status for ended in refused} == {REFUSED}
    assert max(ended.took_s for ended in refused) < AT_ONCE_S
    assert all(caller.is_whole for caller in new)


# fault: gateways that restarted beside a silent store let streams resume at any version
async def test_streams_are_taken_up_at_their_version_after_a_silent_store(fleet: Fleet) -> None:
    await fleet.add_servers(OLD)
    await fleet.wait_ready()
    callers = await fleet.begin_streams()
    await fleet.add_servers(NEW)
    await fleet.wait_listed(NEW)
    callers += await fleet.begin_streams()
    assert have_begun(callers, OLD, NEW)
    fleet.store.silent = True
    asyncio.get_running_loop().call_later(SILENT_S, setattr, fleet.store, "silent", False)
    await fleet.kill_gateways()
    await fleet.take_up(callers)
    assert list_joined(callers) == []
    assert all(caller.is_whole for caller in callers)


# fault: streams that began while the store was silent resumed at any version after such an end
async def test_streams_that_begin_beside_a_silent_store_are_not_joined(fleet: Fleet) -> None:
    await fleet.add_servers(OLD)
    await fleet.wait_ready()
    await fleet.add_servers(NEW)
    await fleet.wait_listed(NEW)
    fleet.store.silent = True
    sent = fleet.send_streams()
    await asyncio.sleep(SILENT_S)
    asyncio.get_running_loop().call_later(SILENT_S, setattr, fleet.store, "silent", False)
    await fleet.kill_gateways()
    await fleet.wait_ended(sent)
    begun = [caller for caller in sent if caller.events]
    await fleet.take_up(begun)
    assert list_joined(begun) == []
    assert 2 * sum(caller.is_whole for caller in begun) >= len(begun)


# fault: streams whose records a restored store had lost resumed at any version after such an end
@pytest.mark.parametrize("moment", ["before", "meanwhile", "after"])
async def test_streams_are_not_joined_after_a_restore_of_the_store(
    fleet: Fleet, moment: str
) -> None:
    await fleet.add_servers(OLD)
    await fleet.wait_ready()
    old = await fleet.begin_streams()
    await fleet.add_servers(NEW)
    copy = fleet.store.take_copy()
    await fleet.wait_listed(NEW)
    callers = [*old, *await fleet.begin_streams()]
    assert have_begun(callers, OLD, NEW)
    if moment == "before":
        fleet.store.restore(copy)
        await asyncio.sleep(RESTORED_S)
    elif moment == "meanwhile":
        asyncio.get_running_loop().call_later(DOWN_S / 2, fleet.store.restore, copy)
    await fleet.kill_gateways()
    if moment == "after":
        fleet.store.restore(copy)
    await fleet.take_up(callers)
    assert list_joined(callers) == []
    if moment == "before":
        # later no gateway is left that could write the records again
        assert 2 * sum(caller.is_whole for caller in callers) >= len(callers)


# fault: a server that restarted at its address with other software resumed its old streams
@pytest.mark.parametrize("name", ["", "i-after"], ids=["same-id", "new-id"])
@pytest.mark.parametrize("listed_after_s", [0.0, 0.3], ids=["listed-at-once", "listed-later"])
async def test_a_release_in_place_ends_streams_of_the_version_before(
    name: str, listed_after_s: float
) -> None:
    rig = GatewayRig()
    rig.llm = AppServerStandin("i-llm", events=EVENTS, event_interval_s=EVENT_INTERVAL_S)
    await rig.start()
    try:
        await rig.configure(1, "key", timeout_ms=round(1000 * STREAM_TIMEOUT_S))
        callers = [StreamCaller(rig.session, number, EVENTS) for number in range(1, 5)]
        front = rig.url
        tasks = [asyncio.ensure_future(caller.send(front)) for caller in callers]
        await wait_until(lambda: all(len(caller.events) > 2 for caller in callers))
        before = rig.llm.id
        await rig.llm.release(NEW, down_s=RESTART_S, name=name)
        await asyncio.sleep(listed_after_s)
        if rig.llm.id != before:
            rig.store.put("servers", before, None)
        rig.store.put("servers", rig.llm.id, rig.llm.build_entry("llm"))
        await asyncio.gather(*tasks)
        assert list_joined(callers) == []
        # nor do they get it at the next try
        await asyncio.gather(*(caller.send(front) for caller in callers))
        assert list_joined(callers) == []
        later = StreamCaller(rig.session, 9, EVENTS)
        await later.take_up(front)
        assert later.is_whole
        assert later.versions == {NEW}
    finally:
        await rig.stop()
