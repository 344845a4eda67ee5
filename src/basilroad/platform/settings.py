"""Settings file that the platform provides for each process."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import attrs
import yaml

from basilroad.gateway.dispatch.selection import Locality
from basilroad.peers.address import Address, parse_address

SETTINGS_VARIABLE = "BASILROAD_SETTINGS"
"""Environment variable that holds the path of the settings file."""

METRICS_PORT = 9464
"""Port of the metrics listener, as in the deploy file."""


class ProcessSettingsError(Exception):
    """The settings can't be read or are invalid.

    :param message: field and cause
    """


@attrs.frozen
class Bounds:
    """Limits that the platform sets for its processes; times in seconds.

    :param drain_s: time until no call reaches a draining server any more
    :param grace_s: time from SIGTERM to SIGKILL
    :param config_apply_s: time until a config version is in force
    :param revoke_s: time until calls with a revoked key no longer run; ``None`` if not enforced
    :param retry_ratio: allowed number of retries per request
    :param retry_window_s: window over which attempts are counted
    :param retry_slack: retries allowed in addition per window, over all hosts together
    :param contact_s: time after a disturbance from which a host is held to the other bounds
    """

    drain_s: float
    grace_s: float
    config_apply_s: float
    revoke_s: float | None
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    contact_s: float


@attrs.frozen
class StoreAccess:
    """Connection settings of the platform's store.

    :param address: address on which it listens
    """

    address: Address


@attrs.frozen
class ProcessSettings:
    """Settings of one process on a host.

    :param host: name of the host
    :param role: role of the process
    :param place: data centre and region of the host
    :param front: listen address for callers
    :param ready: listen address for readiness checks
    :param metrics: listen address for metrics
    :param peers: address for datagrams of other gateways; ``None`` if not configured
    :param bounds: limits set by the platform
    :param store: connection settings of the store
    """

    host: str
    role: str
    place: Locality
    front: Address
    ready: Address
    metrics: Address
    peers: Address | None
    bounds: Bounds
    store: StoreAccess


def load_process_settings(path: Path) -> ProcessSettings:
    """Read the settings file of a process.

    :param path: path of the YAML file
    :return: the settings
    :raises ProcessSettingsError: the file can't be read or is invalid
    """
    try:
        document = yaml.safe_load(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError, yaml.YAMLError) as error:
        raise ProcessSettingsError(f"{path}: can't be read: {error}") from error
    if not isinstance(document, dict):
        raise ProcessSettingsError(f"{path}: expected a table at the top")
    try:
        return _decode(_Fields(document))
    except ProcessSettingsError as error:
        raise ProcessSettingsError(f"{path}: {error}") from error


class _Fields:
    """Typed access to the fields of a document by their dotted names.

    :param table: the document
    """

    def __init__(self, table: Mapping[str, Any]) -> None:
        self._table = table

    def find(self, name: str) -> Any:
        value: Any = self._table
        for part in name.split("."):
            value = value.get(part) if isinstance(value, Mapping) else None
        return value

    def text(self, name: str) -> str:
        value = self.find(name)
        if not isinstance(value, str):
            raise ProcessSettingsError(f"{name}: expected text, found {value!r}")
        return value

    def number(self, name: str) -> float:
        value = self.find(name)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise ProcessSettingsError(f"{name}: expected a number, found {value!r}")
        return float(value)

    def seconds(self, name: str) -> float:
        return self.number(name) / 1000

    def address(self, name: str) -> Address:
        try:
            return parse_address(self.text(name))
        except ValueError as error:
            raise ProcessSettingsError(f"{name}: {error}") from error

    def address_at(self, name: str, port: int) -> Address:
        try:
            return Address(self.text(name), port)
        except ValueError as error:
            raise ProcessSettingsError(f"{name}: {error}") from error


def _decode(fields: _Fields) -> ProcessSettings:
    regions = fields.find("zones")
    if not isinstance(regions, dict):
        raise ProcessSettingsError(f"zones: expected a table, found {regions!r}")
    place = Locality(fields.text("zone"), fields.text("region"), regions)
    return ProcessSettings(
        host=fields.text("node"),
        role=fields.text("role"),
        place=place,
        front=fields.address("listen.front"),
        ready=fields.address("listen.ready"),
        metrics=fields.address_at("ip", METRICS_PORT),
        peers=_find_peers(fields),
        bounds=_decode_bounds(fields),
        store=StoreAccess(fields.address("platform.address")),
    )


def _decode_bounds(fields: _Fields) -> Bounds:
    strict = fields.find("bounds.strictRevoke") is True
    return Bounds(
        drain_s=fields.seconds("bounds.drainMs"),
        grace_s=fields.number("bounds.graceS"),
        config_apply_s=fields.seconds("bounds.configApplyMs"),
        revoke_s=fields.seconds("bounds.revokeMs") if strict else None,
        retry_ratio=fields.number("bounds.retryBudgetRatio"),
        retry_window_s=fields.number("bounds.budgetWindowS"),
        retry_slack=fields.number("bounds.retrySlack"),
        contact_s=fields.seconds("bounds.contactMs"),
    )


def _find_peers(fields: _Fields) -> Address | None:
    ports = fields.find("internalPorts")
    if not isinstance(ports, list) or not ports or not isinstance(ports[0], int):
        return None
    return fields.address_at("ip", ports[0])


__all__ = [
    "SETTINGS_VARIABLE",
    "Bounds",
    "ProcessSettings",
    "ProcessSettingsError",
    "StoreAccess",
    "load_process_settings",
]
