"""A large config reaches all hosts of a data centre in time over a link of limited bandwidth."""

from __future__ import annotations

import asyncio
import logging
import random
import time

import attrs
import msgspec
import pytest
from aiohttp import web

from basilroad.clocks import read_boot_clock
from basilroad.gateway.dispatch.selection import Locality
from basilroad.gateway.exchange.configexchange import ConfigExchange
from basilroad.gateway.exchange.gossip import GOSSIP_INTERVAL_S
from basilroad.gateway.exchange.relay import Relay, Update, Withdrawal
from basilroad.gateway.gateway import Gateway, GatewaySettings
from basilroad.peers.address import Address
from basilroad.platform.configwatch import ConfigWatch
from basilroad.platform.protocol import PlatformProtocol
from basilroad.platform.serverswatch import ServersWatch
from basilroad.platform.store import StoreClient
from basilroad.platform.watch import TableWatch
from basilroad.standin.rowstore import RowStoreStandin
from support.addresses import find_free_address
from support.sharedlink import SharedLink
from support.watchrig import BUDGET, SERVER, Rig, build_config, wait_until

HOSTS = 5
CONFIG_BYTES = 60_000
LINK_BYTES_PER_S = 400_000
"""One host reads the config in 0.2 s; five at once read it in 1 s."""

DELAY_S = 0.04
CHANGE_INTERVAL_S = 0.3
CHANGES = 12
LAG_LIMIT_S = 1.5

_KEYS = random.Random(7)


def build_large_config(version: int, size: int = CONFIG_BYTES) -> bytes:
    # random keys don't compress, so that the size on the link is that of the config
    return msgspec.json.encode(build_config(version, _KEYS.randbytes(size // 2).hex()))


@attrs.define(eq=False)
class Host:
    """A host of the data centre, whose exchange also gives the address of its datagrams."""

    name: str
    address: Address
    gateway: Gateway
    relay: Relay
    exchange: ConfigExchange
    client: StoreClient
    watches: list[TableWatch]

    @property
    def version(self) -> int:
        return self.gateway.table.version if self.gateway.table else 0


class DataCentre:
    """Hosts that share a reader and a link to the store."""

    def __init__(self) -> None:
        self.store = RowStoreStandin()
        self.link = SharedLink(LINK_BYTES_PER_S, DELAY_S)
        self.hosts: list[Host] = []
        self.written: list[tuple[float, int]] = []
        self.withdrawals = 0
        self.longest_lag_s = 0.0
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, config_bytes: int = 0) -> None:
        await self.store.start()
        self.store.put("servers", "i-1", SERVER)
        self.write_config(config_bytes)
        address = await self.link.start(Address("127.0.0.1", self.store.port))
        for number in range(HOSTS):
            self.hosts.append(await self._start_host(f"h{number}", address))
        for host in self.hosts:
            others = [(other.name, other.address) for other in self.hosts if other is not host]
            host.relay.update_peers(others)
        self._tasks = [asyncio.create_task(self._relay()), asyncio.create_task(self._measure())]

    async def _start_host(self, name: str, store: Address) -> Host:
        place = Locality("a", "r", {"a": "r"})
        gateway = Gateway(GatewaySettings(name, place), PlatformProtocol())
        relay, exchange = Relay(name, read_boot_clock), ConfigExchange(find_free_address())
        client = StoreClient(f"http://{store}")
        watches: list[TableWatch] = [
            ConfigWatch(client, gateway, relay, exchange, BUDGET),
            ServersWatch(client, gateway, relay, BUDGET),
        ]
        assert exchange._address is not None
        for service in (exchange, *watches):
            await service.start()
        return Host(name, exchange._address, gateway, relay, exchange, client, watches)

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for host in self.hosts:
            for service in (*host.watches, host.exchange):
                await service.stop()
            await host.client.close()
        await self.link.stop()
        await self.store.stop()

    def write_config(self, size: int = CONFIG_BYTES) -> None:
        version = len(self.written) + 1
        self.store.put("op", "config", build_large_config(version, size))
        self.written.append((time.monotonic(), version))

    def drop_history(self) -> None:
        self.store.history_from = self.store.revision + 1
        self.store.put("op", "other", b"")
        self.store.break_off()

    async def _relay(self) -> None:
        by_address = {host.address: host for host in self.hosts}
        while True:
            for host in self.hosts:
                messages, recipients = host.relay.list_due()
                for message in messages:
                    self.withdrawals += isinstance(message, Withdrawal)
                    for address in recipients:
                        peer = by_address[address].relay
                        if isinstance(message, Withdrawal):
                            peer.take_withdrawal(message, host.address)
                        else:
                            peer.take(message, host.address)
            await asyncio.sleep(GOSSIP_INTERVAL_S)

    async def _measure(self) -> None:
        while True:
            now = time.monotonic()
            for host in self.hosts:
                missing = [at for at, version in self.written if version > host.version]
                if missing and host.version:
                    self.longest_lag_s = max(self.longest_lag_s, now - missing[0])
            await asyncio.sleep(0.02)


async def start_data_centre() -> DataCentre:
    """:return: a data centre whose hosts have read the store once, and follow the first one."""
    data_centre = DataCentre()
    await data_centre.start()
    await wait_until(lambda: all(host.version for host in data_centre.hosts))
    await wait_until(lambda: all(host.relay.follows for host in data_centre.hosts[1:]))
    await asyncio.sleep(1.0)
    return data_centre


# fault: a reader whose history was gone withdrew, and all hosts read the store at once
@pytest.mark.by_turns
async def test_hosts_keep_their_reader_when_the_history_is_dropped() -> None:
    data_centre = await start_data_centre()
    # ends the polls that followers have begun before
    data_centre.write_config(0)
    await wait_until(lambda: all(host.version == 2 for host in data_centre.hosts))
    for number in range(CHANGES):
        data_centre.write_config()
        if number == CHANGES // 3:
            data_centre.drop_history()
        await asyncio.sleep(CHANGE_INTERVAL_S)
    last = data_centre.written[-1][1]
    await wait_until(lambda: all(host.version == last for host in data_centre.hosts))
    await data_centre.stop()
    assert data_centre.longest_lag_s <= LAG_LIMIT_S
    assert data_centre.withdrawals == 0


# fault: hosts that read a large config at once were cut while its bytes arrived, and began anew
@pytest.mark.by_turns
async def test_hosts_that_start_together_read_a_large_config_once() -> None:
    data_centre = DataCentre()
    await data_centre.start(CONFIG_BYTES)
    await wait_until(lambda: all(host.version for host in data_centre.hosts))
    # a read of each table, a poll of each, and the answer to one of those polls
    assert data_centre.store.calls <= 5 * HOSTS
    await data_centre.stop()


# fault: a fetch over the slow link of a reader was cut while its bytes arrived
@pytest.mark.by_turns
async def test_a_config_is_fetched_over_a_slow_link() -> None:
    link, address = SharedLink(CONFIG_BYTES / 0.8), find_free_address()
    exchange = ConfigExchange(address)
    exchange.document = build_large_config(1)
    await exchange.start()
    fetched = await ConfigExchange(None).fetch(await link.start(address))
    assert fetched is not None
    assert fetched.document == exchange.document
    await link.stop()
    await exchange.stop()


# fault: a follower that received a newer version during a fetch read the store as well
@pytest.mark.by_turns
async def test_a_follower_reads_only_from_its_reader_in_a_storm(
    rig: Rig, caplog: pytest.LogCaptureFixture
) -> None:
    rig.store.put("op", "config", build_config(1))
    await wait_until(lambda: rig.version == 1)
    reader, link = ConfigExchange(find_free_address()), SharedLink(CONFIG_BYTES / 0.3)
    await reader.start()
    assert reader._address is not None
    address = await link.start(reader._address)
    await follow(rig, 1, 0.6, address)
    calls = rig.store.calls
    # a fetch takes 0.3 s, and the reader has the next version after 0.1 s
    for version in range(10, 30):
        reader.document = build_large_config(version)
        await follow(rig, version, 0.1, address)
    assert rig.version >= 25
    assert rig.store.calls == calls
    await follow(rig, 29, 1.0, address)
    # updates that repeat a version during its fetch request no second one
    caplog.clear()
    with caplog.at_level(logging.INFO):
        reader.document = build_large_config(30)
        await follow(rig, 30, 1.5, address)
    assert rig.version == 30
    assert [record.message for record in caplog.records].count("config fetched") == 1
    await link.stop()
    await reader.stop()


# fault: a reader on a slow link sent each follower the whole config uncompressed, at each version
@pytest.mark.by_turns
async def test_a_large_config_costs_a_slow_link_little() -> None:
    link, address = SharedLink(20_000), find_free_address()
    exchange = ConfigExchange(address)
    routes = [
        {"name": f"r-{number}", "host": f"h{number}.example", "prefix": f"/{number}/"}
        | {"kind": "idempotent", "timeoutMs": 4000, "sloMs": 300, "service": "s"}
        for number in range(500)
    ]
    config = {**build_config(1), "routes": routes}
    exchange.document = msgspec.json.encode(config)
    await exchange.start()
    started_at = time.monotonic()
    fetched = await ConfigExchange(None).fetch(await link.start(address))
    assert fetched is not None
    assert fetched.document == exchange.document
    assert time.monotonic() - started_at <= 0.3 * len(exchange.document) / 20_000
    await link.stop()
    await exchange.stop()


@pytest.mark.parametrize("headers", [(), (("Content-Encoding", "deflate"),)])
async def test_a_config_that_is_not_compressed_or_spoiled(
    headers: tuple[tuple[str, str], ...],
) -> None:
    async def serve(_: web.BaseRequest) -> web.Response:
        return web.Response(body=b"{}", headers=dict(headers))

    address = find_free_address()
    runner = web.ServerRunner(web.Server(serve))
    await runner.setup()
    await web.TCPSite(runner, address.ip, address.port).start()
    fetched = await ConfigExchange(None).fetch(address)
    assert (fetched.document if fetched else None) == (None if headers else b"{}")
    await runner.cleanup()


# fault: a reader kept its followers when its store restarted with another clock, by which they
# took no confirmation of their keys any more
@pytest.mark.by_turns
@pytest.mark.parametrize("step_s", [-1000.0, 1000.0])
async def test_followers_keep_their_keys_when_the_store_returns_with_another_clock(
    step_s: float,
) -> None:
    data_centre = await start_data_centre()
    # the polls of the followers from before they had a reader end
    await asyncio.sleep(4.0)
    data_centre.store.clock_offset_s = step_s
    data_centre.store.break_off()
    await asyncio.sleep(6.0)
    calls = data_centre.store.calls
    for _ in range(30):
        # a reader's poll takes 2.2 s
        assert all(host.gateway.freshness.is_within(3.0) for host in data_centre.hosts)
        await asyncio.sleep(0.1)
    calls = data_centre.store.calls - calls
    await data_centre.stop()
    assert calls < HOSTS


async def follow(rig: Rig, version: int, seconds: float, address: Address) -> None:
    """Send the updates of a reader for a while."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        revision = rig.store.revision
        update = Update("a", version, time.monotonic(), 0, revision, revision, epoch=rig.store.era)
        rig.relay.take(update, address)
        await asyncio.sleep(0.1)
