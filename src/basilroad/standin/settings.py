"""Settings of the stand-ins."""

from __future__ import annotations

import attrs

from basilroad.backing.hosts import ListedHost


@attrs.frozen
class EngineStandinSettings:
    """Settings of one engine stand-in.

    :param name: name of the endpoint
    :param listen: ``ip:port`` to listen on; port 0 takes a free one
    :param model: model that is loaded at the start; empty for none
    :param adapter: adapter that is loaded at the start; empty for none
    :param version: version that is loaded at the start
    :param role: role at the start
    :param slots: generations that run at once; more of them wait
    :param token_interval_s: seconds between the tokens of one generation
    :param prefill_s_per_token: seconds for each prompt token that is not cached
    :param cache_tokens: prompt tokens that the prefix cache holds
    :param cache_event_delay_s: seconds until a cache event can be read
    :param cache_event_loss: share of cache events that are never published, 0 to 1
    :param load_delay_s: seconds by which the load report lags
    :param model_load_s: seconds that loading a model takes, beside pulling its weights
    :param checks_fence: whether an order with an older fencing number is refused
    :param weights_url: base URL of the weight store; empty to load without it
    :param crash_on: a prompt that holds this text ends the engine after its prefill
    :param seed: seed of the random numbers
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
    :param hosts: hosts on the list at the start
    :param hosts_lag_s: seconds by which the host list lags
    :param reads_per_s: reads a second of table and objects; more of them wait
    :param writes_per_s: commits and object writes a second; more of them wait
    :param weight_pulls_per_s: pulls a second from the weight store; more are refused
    :param weight_burst: pulls that may come at once
    :param weight_bytes: size of one pull
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
