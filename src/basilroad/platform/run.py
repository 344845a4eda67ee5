"""Composition root of a gateway process on the platform."""

from __future__ import annotations

import asyncio
import logging
import signal
from typing import TYPE_CHECKING

import attrs
from mode import Service

from basilroad.clocks import read_boot_clock
from basilroad.coordination.budget import RetrySettings
from basilroad.coordination.timer import Timer
from basilroad.gateway.dispatch.dispatcher import SWEEP_INTERVAL_S
from basilroad.gateway.exchange.configexchange import ConfigExchange
from basilroad.gateway.exchange.gossip import GOSSIP_INTERVAL_S, Gossip
from basilroad.gateway.exchange.relay import Relay
from basilroad.gateway.gateway import Gateway, GatewaySettings
from basilroad.gateway.registry.liveness import LIVENESS_CHECK_INTERVAL_S
from basilroad.gateway.versions.listing import OBSERVE_INTERVAL_S
from basilroad.platform.configwatch import ConfigWatch
from basilroad.platform.crasharchive import CrashArchive
from basilroad.platform.frontend import PlatformFrontend
from basilroad.platform.peerdiscovery import PeerDiscovery
from basilroad.platform.protocol import PlatformProtocol
from basilroad.platform.serverswatch import ServersWatch
from basilroad.platform.settings import (
    ProcessSettings,
    ProcessSettingsError,
    load_process_settings,
)
from basilroad.platform.staleness import StalenessBudget
from basilroad.platform.store import StoreClient
from basilroad.platform.streamarchive import StreamArchive

if TYPE_CHECKING:
    from pathlib import Path

    from mode.types import ServiceT

    from basilroad.stopsignal import StopSignal

_LOGGER = logging.getLogger(__name__)

SETTINGS_POLL_INTERVAL_S = 1.0
"""Interval of checks of the settings file, which may change without a SIGHUP."""

REVOKE_RESERVE_S = 0.7
"""Part of the revocation limit that is left for a call already in flight to a server."""

RETRY_RATIO_SHARE = 0.8
"""Share of the allowed retry ratio that is used, as the platform counts over other windows."""

HOSTS_UPDATE_INTERVAL_S = 1.0
"""Interval at which the number of known gateways is updated; retry budgets count over 10 s."""


class PlatformService(Service):
    """One gateway process on the platform.

    :param settings: settings of this process
    :param path: file from which they were read
    :param stop_signal: signal that requests a planned shutdown
    """

    def __init__(
        self, settings: ProcessSettings, path: Path, stop_signal: StopSignal | None = None
    ) -> None:
        super().__init__()
        self.settings = settings
        self._path = path
        self._file_stamp = _read_file_stamp(path)
        self.timers = Timer()
        self.gateway = Gateway(
            build_gateway_settings(settings), PlatformProtocol(), stop_signal=stop_signal
        )
        self.store = StoreClient(f"http://{settings.store.address}")
        self.front = PlatformFrontend(settings, self.gateway)
        self.relay = Relay(settings.host, read_boot_clock)
        self.exchange = ConfigExchange(settings.peers)
        self.gossip: Gossip | None = None
        if settings.peers is not None:
            self.gossip = Gossip(
                settings.host,
                self.gateway.settings.place.data_centre,
                settings.peers,
                self.gateway.directory,
                self.relay,
                self.gateway.loans,
                crashes=self.gateway.containment.exchange,
                permits=self.gateway.permits,
                prompts=self.gateway.prompts,
                engine_probes=self.gateway.engine_probes,
                is_stopping=lambda: self.gateway.shutdown.is_requested,
            )
            self.gateway.are_most_hosts_stopping = self.gossip.are_most_stopping
            self.gateway.list_other_stops = self.gossip.list_stops

    def on_init_dependencies(self) -> list[ServiceT]:
        """:return: the child services, in their start order."""
        bounds = self.settings.bounds
        budget = StalenessBudget(bounds.contact_s, bounds.drain_s)
        services: list[ServiceT] = [
            self.timers,
            self.exchange,
            ConfigWatch(self.store, self.gateway, self.relay, self.exchange, budget),
            ServersWatch(self.store, self.gateway, self.relay, budget),
            CrashArchive(self.store, self.settings.host, self.gateway.containment),
            StreamArchive(self.store, self.gateway),
        ]
        settings = self.settings
        if self.gossip is not None and settings.peers is not None:
            services.append(
                PeerDiscovery(
                    self.store,
                    settings.host,
                    settings.place.data_centre,
                    settings.peers,
                    self.gossip,
                )
            )
        # last to start and first to stop, so that calls in flight still have the other services
        services.append(self.front)
        return services

    async def on_start(self) -> None:
        """Listen for the other gateways, before any child service listens for callers."""
        if self.gossip is not None:
            await self.gossip.start()

    async def on_started(self) -> None:
        """Install the SIGHUP handler and schedule the periodic tasks."""
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.reload)
        if self.gossip is not None:
            self.timers.subscribe(GOSSIP_INTERVAL_S, self.gossip.tick)
            self.timers.subscribe(HOSTS_UPDATE_INTERVAL_S, self._update_known_hosts)
        self.timers.subscribe(SETTINGS_POLL_INTERVAL_S, self.reload_if_changed)
        self.timers.subscribe(SWEEP_INTERVAL_S, self.gateway.sweep)
        self.timers.subscribe(OBSERVE_INTERVAL_S, self.gateway.stream_versions.keeper.observe)
        self.timers.subscribe(LIVENESS_CHECK_INTERVAL_S, self.gateway.liveness.check)

    def _update_known_hosts(self) -> None:
        if self.gossip is not None:
            self.gateway.update_known_hosts(
                len(self.gossip.peers) + 1, self.gossip.list_live_peers()
            )
            self.relay.update_peers(self.gossip.list_near_peers())

    def reload_if_changed(self) -> None:
        """Reload the settings if their file has changed without a SIGHUP."""
        file_stamp = _read_file_stamp(self._path)
        if file_stamp != self._file_stamp:
            self.reload()

    def reload(self) -> None:
        """Reload the settings; invalid ones are rejected as a whole."""
        self._file_stamp = _read_file_stamp(self._path)
        try:
            settings = load_process_settings(self._path)
        except ProcessSettingsError as error:
            _LOGGER.error("reload refused", extra={"detail": str(error)})
            return
        changed = [
            field.name
            for field in attrs.fields(ProcessSettings)
            if getattr(settings, field.name) != getattr(self.settings, field.name)
        ]
        self.settings = settings
        self.gateway.settings = build_gateway_settings(settings)
        _LOGGER.info("reload", extra={"changed": changed})

    async def on_shutdown(self) -> None:
        """Close sockets and connections after all child services have stopped."""
        if self.gossip is not None:
            self.gossip.close()
        await self.gateway.engine_probes.close()
        await self.gateway.liveness.close()
        await self.store.close()


def _read_file_stamp(path: Path) -> tuple[int, int] | None:
    try:
        status = path.stat()
    except OSError:
        # a file that is being replaced is found at the next check
        return None
    return status.st_mtime_ns, status.st_size


def build_gateway_settings(settings: ProcessSettings) -> GatewaySettings:
    """Derive a gateway's settings from those of its process.

    :param settings: settings of this process
    :return: settings of its gateway
    """
    bounds = settings.bounds
    key_age_s = None if bounds.revoke_s is None else bounds.revoke_s - REVOKE_RESERVE_S
    return GatewaySettings(
        host=settings.host,
        place=settings.place,
        key_age_limit_s=key_age_s,
        retries=RetrySettings(
            ratio=RETRY_RATIO_SHARE * bounds.retry_ratio,
            minimum_per_s=bounds.retry_slack / bounds.retry_window_s,
            window_s=bounds.retry_window_s,
        ),
        grace_s=bounds.grace_s,
    )


__all__ = ["PlatformService", "build_gateway_settings"]
