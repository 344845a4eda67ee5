"""Endpoints that recently processed a prompt and may still have it in their cache."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable, Iterable

import attrs

PROMPT_CACHE_S = 6.0
"""Time for which a prompt is assumed to be in an engine's cache; callers of a failed host reconnect
within 2 s, and reuse within 4.7 s or 8.1 s is specified for the fleets."""

MAX_PROMPTS = 4096
"""Maximum number of prompts kept, many times those of one host in that time."""

PromptReport = tuple[bytes, str]
"""Key of a prompt and id of the endpoint that processed it, as sent between gateways."""


@attrs.frozen
class PromptLocation:
    """Endpoint that processed a prompt.

    :param endpoint_id: id of the endpoint
    :param recorded_at: monotonic seconds of the record
    """

    endpoint_id: str
    recorded_at: float


class PromptLocations:
    """Last endpoint of each recent prompt by its key.

    :param clock: monotonic seconds
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._runs: OrderedDict[bytes, PromptLocation] = OrderedDict()
        self._local: OrderedDict[bytes, float] = OrderedDict()

    def record(self, key: bytes, endpoint_id: str) -> None:
        """Record that this gateway sent a prompt to an endpoint.

        :param key: key of the prompt; ignored if empty
        :param endpoint_id: id of the endpoint
        """
        if not key:
            return
        self._put(key, endpoint_id)
        self._local[key] = self._clock()
        self._local.move_to_end(key)

    def merge_reported(self, reports: Iterable[PromptReport]) -> None:
        """Apply the report of another gateway.

        :param reports: its prompts and endpoints
        """
        for key, endpoint_id in reports:
            self._put(key, endpoint_id)

    def find(self, key: bytes) -> PromptLocation | None:
        """Find the endpoint that processed a prompt.

        :param key: key of the prompt
        :return: its location, if it was recorded recently
        """
        run = self._runs.get(key)
        if run is None or self._clock() - run.recorded_at > PROMPT_CACHE_S:
            return None
        return run

    def list_local(self, limit: int) -> list[PromptReport]:
        """List the recent prompts of this gateway.

        :param limit: maximum number of entries; the newest are kept
        :return: prompts and endpoints
        """
        horizon = self._clock() - PROMPT_CACHE_S
        while self._local and next(iter(self._local.values())) < horizon:
            self._local.popitem(last=False)
        newest = list(reversed(self._local))[:limit]
        return [(key, self._runs[key].endpoint_id) for key in newest if key in self._runs]

    def _put(self, key: bytes, endpoint_id: str) -> None:
        self._runs[key] = PromptLocation(endpoint_id, self._clock())
        self._runs.move_to_end(key)
        if len(self._runs) > MAX_PROMPTS:
            self._runs.popitem(last=False)


__all__ = ["PROMPT_CACHE_S", "PromptLocation", "PromptLocations", "PromptReport"]
