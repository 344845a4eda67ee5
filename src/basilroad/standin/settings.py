"""Settings of the stand-ins."""

from __future__ import annotations

import attrs

from basilroad.backing.hosts import ListedHost


@attrs.frozen
class EngineStandinSettings:
    """Settings of one engine stand-in.

    :param name: name of the endpoint
    :param listen: ``ip:port`` to listen on; port 0 takes a free one
    :param model: model loaded at the start; empty for none
    :param adapter: adapter loaded at the start; empty for none
    :param version: model version loaded at the start
    :param role: role at the start
    :param slots: generations that run at once; further ones are queued
    :param token_interval_s: seconds between the tokens of one generation
    :param prefill_s_per_token: seconds for each prompt token that is not cached
    :param cache_tokens: capacity of the prefix cache in prompt tokens
    :param cache_event_delay_s: seconds from a change of the cache until its event can be read
    :param cache_event_loss: share of cache events that are never published, 0 to 1
    :param load_delay_s: seconds by which the load report lags
    :param model_load_s: seconds to load a model, in addition to pulling its weights
    :param checks_fence: whether a command with an older fencing number is rejected
    :param weights_url: base URL of the weight store; empty to load without pulling weights
    :param crash_on: crash after the prefill of a prompt that contains this text; empty for never
    :param seed: seed of the random number generators
    """

    name: str
    listen: str
    model: str
    adapter: str = ""
    version: str = "1"
    role: str = ""
    slots: int = 16
    token_interval_s: float = 0.01
    prefill_s_per_token: float = 0.0
    cache_tokens: int = 65_536
    cache_event_delay_s: float = 0.0
    cache_event_loss: float = 0.0
    load_delay_s: float = 0.0
    model_load_s: float = 0.0
    checks_fence: bool = True
    weights_url: str = ""
    crash_on: str = ""
    seed: int = 0


@attrs.frozen
class PlainStandinSettings:
    """Settings of one plain service stand-in.

    :param name: name of the endpoint
    :param listen: ``ip:port`` to listen on; port 0 takes a free one
    :param work_s: seconds that each call takes
    """

    name: str
    listen: str
    work_s: float = 0.0


@attrs.frozen
class PlatformStandinSettings:
    """Settings of the platform stand-in.

    :param listen: ``ip:port`` to listen on; port 0 takes a free one
    :param hosts: hosts listed at the start
    :param hosts_lag_s: seconds by which the host list lags
    :param reads_per_s: reads per second of table and objects; further ones are delayed
    :param writes_per_s: commits and object writes per second; further ones are delayed
    :param weight_pulls_per_s: pulls per second from the weight store; further ones are rejected
    :param weight_burst: pulls allowed at once
    :param weight_bytes: size of one pull in bytes
    """

    listen: str
    hosts: tuple[ListedHost, ...] = ()
    hosts_lag_s: float = 0.0
    reads_per_s: float = 2000.0
    writes_per_s: float = 400.0
    weight_pulls_per_s: float = 2.0
    weight_burst: int = 2
    weight_bytes: int = 4096


__all__ = ["EngineStandinSettings", "PlainStandinSettings", "PlatformStandinSettings"]
