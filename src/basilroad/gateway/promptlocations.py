"""Where prompts were read lately: engines keep what they read for a while."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable, Iterable

import attrs

KEPT_S = 6.0
"""Seconds for which a prompt is taken to be in an engine's memory; callers whose host is lost come
back within two, and the fleets' sheets count on reuse within 4.7 or 8.1."""

RUNS_LIMIT = 4096
"""Prompts that are remembered: many times those of one host in that time."""

Told = tuple[str, str]
"""A prompt's key and the endpoint that read it, as gateways tell each other."""


@attrs.frozen
class PromptLocation:
    """One prompt at one endpoint.

    :param endpoint_id: endpoint that read it
    :param seen_at: monotonic seconds at which it was known to run there
    """

    endpoint_id: str
    seen_at: float


class PromptLocations:
    """Endpoints by the key of the prompt that they read last.

    :param clock: monotonic seconds
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._runs: OrderedDict[str, PromptLocation] = OrderedDict()
        self._own: OrderedDict[str, float] = OrderedDict()

    def note(self, key: str, endpoint_id: str) -> None:
        """Note that a prompt runs at an endpoint by this gateway's doing.

        :param key: names the prompt; empty changes nothing
        :param endpoint_id: the endpoint
        """
        if not key:
            return
        self._put(key, endpoint_id)
        self._own[key] = self._clock()
        self._own.move_to_end(key)

    def take_told(self, told: Iterable[Told]) -> None:
        """Take over what another gateway runs.

        :param told: its prompts and endpoints
        """
        for key, endpoint_id in told:
            self._put(key, endpoint_id)

    def find(self, key: str) -> PromptLocation | None:
        """Find where a prompt was read.

        :param key: names the prompt
        :return: the run, if there was one lately
        """
        run = self._runs.get(key)
        if run is None or self._clock() - run.seen_at > KEPT_S:
            return None
        return run

    def list_own(self, limit: int) -> list[Told]:
        """List what this gateway ran lately.

        :param limit: most entries, the newest first
        :return: prompts and endpoints
        """
        horizon = self._clock() - KEPT_S
        while self._own and next(iter(self._own.values())) < horizon:
            self._own.popitem(last=False)
        newest = list(reversed(self._own))[:limit]
        return [(key, self._runs[key].endpoint_id) for key in newest if key in self._runs]

    def _put(self, key: str, endpoint_id: str) -> None:
        self._runs[key] = PromptLocation(endpoint_id, self._clock())
        self._runs.move_to_end(key)
        if len(self._runs) > RUNS_LIMIT:
            self._runs.popitem(last=False)


__all__ = ["KEPT_S", "PromptLocation", "PromptLocations", "Told"]
