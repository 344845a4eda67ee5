"""Cost and capacity of the links to other regions."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs

from basilroad.coordination.budget import TokenBucket
from basilroad.coordination.decay import DecayedSum

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilroad.entry.links.link import EndpointView
    from basilroad.settings.view import SettingsView
    from basilroad.world.link import Link

BURST_WINDOW_S = 1.0
"""Burst size of the link, in seconds of its bandwidth."""

TOKEN_SIZE_WINDOW_S = 30.0
"""Time constant of the average token size."""

TOKEN_BYTES_DEFAULT = 30.0
"""Size of a token on the link, used until enough tokens have been received."""

TOKEN_SAMPLE_MIN = 200
"""Number of recent tokens required to use the average token size."""

TOKENS_PER_S_DEFAULT = 20.0
"""Speed of one generation, used until its endpoint has reported one."""

START_OVERHEAD_BYTES = 400
"""Size of a start message without its prompt, including the directory record."""


@attrs.frozen
class LinkCost:
    """Cost of one request on a link.

    :param seconds: delay, price and congestion, expressed in seconds of waiting
    :param fits: whether the link has capacity for it
    :param size: bytes of the prompt and the answer
    """

    seconds: float
    fits: bool
    size: float


NO_COST = LinkCost(0.0, True, 0.0)
"""Cost within the local region."""


class RegionLink:
    """Use of the link to one other region by this entry.

    :param link: settings of the link
    :param entries: number of entries of the local region that share it
    :param clock: monotonic clock, in seconds
    """

    def __init__(self, link: Link, entries: int, clock: Callable[[], float]) -> None:
        self.link = link
        self.entries = entries
        self.rate = link.bytes_per_s / entries
        self.outbound = TokenBucket(self.rate, self.rate * BURST_WINDOW_S, clock)
        self.inbound = TokenBucket(self.rate, self.rate * BURST_WINDOW_S, clock)
        self.generations = 0
        self._tokens = DecayedSum(TOKEN_SIZE_WINDOW_S, clock)
        self._token_bytes = DecayedSum(TOKEN_SIZE_WINDOW_S, clock)

    @property
    def token_bytes(self) -> float:
        """:return: average size of a token in bytes."""
        tokens = self._tokens.value
        return (
            self._token_bytes.value / tokens if tokens >= TOKEN_SAMPLE_MIN else TOKEN_BYTES_DEFAULT
        )

    def record_frame(self, size: int, tokens: int) -> None:
        """Record the size of a received frame.

        :param size: bytes
        :param tokens: number of tokens in it
        """
        self.inbound.force(size)
        if tokens:
            self._tokens.add(tokens)
            self._token_bytes.add(size)

    def estimate(self, prompt_bytes: int, tokens: int, tokens_per_s: float) -> LinkCost:
        """Estimate the cost of one request.

        :param prompt_bytes: size of the prompt
        :param tokens: number of tokens of the answer
        :param tokens_per_s: speed of the answer
        :return: the cost
        """
        sent = prompt_bytes + START_OVERHEAD_BYTES
        size = sent + tokens * self.token_bytes
        wait_s = self.outbound.delay(sent) + self.inbound.delay(self.token_bytes)
        price_s = self.link.price_bytes(round(size)) / self.link.wait_price_per_s
        return LinkCost(
            seconds=2 * self.link.delay_s + sent / self.rate + wait_s + price_s,
            fits=not wait_s and self._has_capacity(tokens_per_s),
            size=size,
        )

    def _has_capacity(self, tokens_per_s: float) -> bool:
        streaming = (self.generations + 1) * tokens_per_s * self.token_bytes
        return streaming <= self.rate


class LinkCosts:
    """Costs of the links from the local region to all others.

    The entries of the region share the bandwidth evenly; the agents report their number. All
    sent and received bytes are counted, so that control messages and answers reduce the
    capacity for new prompts.

    :param region: region of this entry
    :param read_view: returns the current settings
    :param clock: monotonic clock, in seconds
    """

    def __init__(
        self,
        region: str,
        read_view: Callable[[], SettingsView],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.region = region
        self._read_view = read_view
        self._clock = clock
        self._entries = 1
        self._links: dict[str, RegionLink] = {}

    def record_sent(self, region: str, size: int) -> None:
        """Count sent bytes.

        :param region: destination region
        :param size: bytes
        """
        self._find(region).outbound.force(size)

    def record_received(self, region: str, size: int, tokens: int) -> None:
        """Count received bytes.

        :param region: source region
        :param size: bytes
        :param tokens: number of tokens among them
        """
        self._find(region).record_frame(size, tokens)

    def record_stream_start(self, region: str) -> None:
        """Count a generation that streams from a region.

        :param region: where it runs
        """
        if self.is_remote(region):
            self._find(region).generations += 1

    def record_stream_end(self, region: str) -> None:
        """Count the end of a generation that streamed from a region.

        :param region: where it ran
        """
        if self.is_remote(region):
            self._find(region).generations -= 1

    def set_entry_count(self, count: int) -> None:
        """Set the number of entries that share the links of the local region.

        :param count: number reported by an agent; 0 if unknown
        """
        self._entries = max(1, count)

    def is_remote(self, region: str) -> bool:
        """:return: whether a region is not the local one; true for an unknown region."""
        return region != self.region

    def estimate(self, prompt: str, tokens: int, view: EndpointView) -> LinkCost:
        """Estimate the cost of a request on the link to an endpoint.

        :param prompt: text of the prompt
        :param tokens: number of tokens of the answer
        :param view: the endpoint
        :return: the cost; zero within the local region
        """
        region = view.link.region
        if not self.is_remote(region):
            return NO_COST
        speed = view.state.tokens_per_second / max(1, view.state.running)
        return self._find(region).estimate(len(prompt), tokens, speed or TOKENS_PER_S_DEFAULT)

    def _find(self, region: str) -> RegionLink:
        link = self._read_view().link(self.region, region)
        current = self._links.get(region)
        if current is not None and (current.link, current.entries) == (link, self._entries):
            return current
        renewed = RegionLink(link, self._entries, self._clock)
        if current is not None:
            renewed.generations = current.generations
        self._links[region] = renewed
        return renewed


__all__ = ["NO_COST", "LinkCost", "LinkCosts", "RegionLink"]
