"""Settings file of one daemon."""

from __future__ import annotations

from collections import Counter
from typing import Literal

import attrs
from attrs.validators import and_, deep_iterable

from basilroad.world.validators import (
    allow_empty,
    check_address,
    check_ip,
    check_name,
    check_not_negative,
    check_positive,
    check_unique,
    check_url,
)

MEBIBYTE = 1024 * 1024
"""Bytes in a mebibyte."""


@attrs.frozen(kw_only=True)
class EntrySettings:
    """Settings of the entry daemon.

    :param listen: ``ip:port`` for callers' HTTP
    :param max_body_bytes: largest request body, in bytes
    :param keep_s: seconds for which a finished generation can still be attached to
    :param flush_s: seconds for which output is batched before it is sent on
    :param heartbeat_s: seconds between two heartbeats to an agent
    :param dead_after_s: seconds without a message after which an agent counts as failed
    :param stream_buffer_tokens: tokens buffered for a caller that reads slowly
    :param drain_limit_s: seconds after which a planned stop abandons what is still in flight
    :param agents_limit: maximum number of agents that this entry works with; 0 for all
    """

    listen: str = attrs.field(validator=check_address)
    max_body_bytes: int = attrs.field(default=4 * MEBIBYTE, validator=check_positive)
    keep_s: float = attrs.field(default=60.0, validator=check_positive)
    flush_s: float = attrs.field(default=0.005, validator=check_not_negative)
    heartbeat_s: float = attrs.field(default=0.25, validator=check_positive)
    dead_after_s: float = attrs.field(default=1.5, validator=check_positive)
    stream_buffer_tokens: int = attrs.field(default=4096, validator=check_positive)
    drain_limit_s: float = attrs.field(default=30.0, validator=check_positive)
    agents_limit: int = attrs.field(default=0, validator=check_not_negative)

    def __attrs_post_init__(self) -> None:
        if self.dead_after_s <= self.heartbeat_s:
            raise ValueError("dead_after_s must be above heartbeat_s")


@attrs.frozen(kw_only=True)
class EndpointSettings:
    """Settings of one endpoint of an agent.

    :param name: name of the endpoint, unique in the fleet
    :param kind: model engine or plain service
    :param service: name of the model or of the plain service
    :param url: base URL of the endpoint, by IP number
    :param adapter: adapter that the engine has loaded; empty for none
    :param version: version of the model
    :param slots: requests that the endpoint can run at once
    :param checks_fence: whether the endpoint itself refuses a request with an old fencing number
    """

    name: str = attrs.field(validator=check_name)
    kind: Literal["engine", "service"]
    service: str = attrs.field(validator=check_name)
    url: str = attrs.field(validator=check_url)
    adapter: str = attrs.field(default="", validator=allow_empty(check_name))
    version: str = attrs.field(default="1", validator=check_name)
    slots: int = attrs.field(default=16, validator=check_positive)
    checks_fence: bool = False


def _check_endpoints(
    _instance: object,
    _field: attrs.Attribute[tuple[EndpointSettings, ...]],
    value: tuple[EndpointSettings, ...],
) -> None:
    if not value:
        raise ValueError("must name at least one endpoint")
    _check_duplicates("endpoint name", [endpoint.name for endpoint in value])
    _check_duplicates("url", [endpoint.url.rstrip("/") for endpoint in value])


def _check_duplicates(what: str, names: list[str]) -> None:
    duplicates = sorted(name for name, count in Counter(names).items() if count > 1)
    if duplicates:
        raise ValueError(f"{what} stands twice: {', '.join(duplicates)}")


@attrs.frozen(kw_only=True)
class AgentSettings:
    """Settings of the agent daemon.

    :param listen: ``ip:port`` for peers
    :param endpoints: the endpoints that this agent manages
    :param flush_s: seconds for which output is batched before it is sent on
    :param flush_tokens: tokens after which batched output is sent at once
    :param heartbeat_s: seconds between two heartbeats to an entry
    :param keep_s: seconds for which finished output is kept
    :param orphan_s: seconds for which a generation without a reader is kept running
    :param drain_limit_s: seconds after which a drain moves requests in flight to other endpoints
    """

    listen: str = attrs.field(validator=check_address)
    endpoints: tuple[EndpointSettings, ...] = attrs.field(validator=_check_endpoints)
    flush_s: float = attrs.field(default=0.005, validator=check_not_negative)
    flush_tokens: int = attrs.field(default=16, validator=check_positive)
    heartbeat_s: float = attrs.field(default=0.25, validator=check_positive)
    keep_s: float = attrs.field(default=60.0, validator=check_positive)
    orphan_s: float = attrs.field(default=30.0, validator=check_positive)
    drain_limit_s: float = attrs.field(default=30.0, validator=check_positive)


@attrs.frozen(kw_only=True)
class DaemonSettings:
    """Settings file of one daemon; it holds either ``entry`` or ``agent``.

    :param host: name of this host
    :param address: IP number of this host, as peers reach it
    :param region: region of this host
    :param data_centre: data centre of this host
    :param platform: base URL of the platform, by IP number; empty for none
    :param seeds: ``ip:port`` of agents known at start
    :param statsd: ``ip:port`` of the metrics server; empty for none
    :param log_level: lowest level that is logged
    :param entry: settings of an entry
    :param agent: settings of an agent
    """

    host: str = attrs.field(validator=check_name)
    address: str = attrs.field(validator=check_ip)
    region: str = attrs.field(validator=check_name)
    data_centre: str = attrs.field(validator=check_name)
    platform: str = attrs.field(default="", validator=allow_empty(check_url))
    seeds: tuple[str, ...] = attrs.field(
        default=(), validator=and_(deep_iterable(check_address), check_unique)
    )
    statsd: str = attrs.field(default="", validator=allow_empty(check_address))
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    entry: EntrySettings | None = None
    agent: AgentSettings | None = None

    def __attrs_post_init__(self) -> None:
        if (self.entry is None) == (self.agent is None):
            raise ValueError("must hold exactly one of entry and agent")


__all__ = ["AgentSettings", "DaemonSettings", "EndpointSettings", "EntrySettings"]
