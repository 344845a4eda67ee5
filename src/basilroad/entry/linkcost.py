"""What it costs an entry to send work to another region, and how much fits."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs

from basilroad.coordination.budget import TokenBucket
from basilroad.coordination.decay import DecayedSum

if TYPE_CHECKING:
    from collections.abc import Callable

    from basilroad.entry.link import EndpointView
    from basilroad.settings.view import SettingsView
    from basilroad.world.link import Link

BURST_S = 1.0
"""Seconds of the link's bandwidth that may pass at once."""

LEARN_S = 30.0
"""Time constant of what is learned about the size of a token."""

TOKEN_BYTES = 30.0
"""Bytes that one token takes on the link while too few were seen."""

TOKENS_SEEN_MIN = 200
"""Tokens that must have been seen lately to go by their measured size."""

TOKENS_PER_S = 20.0
"""Tokens a second of one generation while its endpoint has not told."""

START_BYTES = 400
"""Bytes of an order to an agent besides the prompt, its record in the directory included."""


@attrs.frozen
class LinkCost:
    """What one request costs on a link.

    :param seconds: delay, price and congestion, as seconds of waiting
    :param fits: whether the link has room for it
    :param size: bytes of the prompt and the answer
    """

    seconds: float
    fits: bool
    size: float


NO_COST = LinkCost(0.0, True, 0.0)
"""Cost within the own region."""


class RegionLink:
    """The link to one other region as this entry uses it.

    :param link: its settings
    :param entries: entries of the own region that share it
    :param clock: seconds that only grow
    """

    def __init__(self, link: Link, entries: int, clock: Callable[[], float]) -> None:
        self.link = link
        self.entries = entries
        self.rate = link.bytes_per_s / entries
        self.outward = TokenBucket(self.rate, self.rate * BURST_S, clock)
        self.inward = TokenBucket(self.rate, self.rate * BURST_S, clock)
        self.generations = 0
        self._tokens = DecayedSum(LEARN_S, clock)
        self._token_bytes = DecayedSum(LEARN_S, clock)

    @property
    def token_bytes(self) -> float:
        """:return: bytes that one token takes."""
        tokens = self._tokens.value
        return self._token_bytes.value / tokens if tokens >= TOKENS_SEEN_MIN else TOKEN_BYTES

    def learn(self, size: int, tokens: int) -> None:
        """Take the size of a frame that came.

        :param size: bytes
        :param tokens: tokens in it
        """
        self.inward.force(size)
        if tokens:
            self._tokens.add(tokens)
            self._token_bytes.add(size)

    def estimate(self, prompt_bytes: int, tokens: int, tokens_per_s: float) -> LinkCost:
        """Estimate the cost of one request.

        :param prompt_bytes: size of what is sent
        :param tokens: tokens of the answer
        :param tokens_per_s: speed of the answer
        :return: the cost
        """
        sent = prompt_bytes + START_BYTES
        size = sent + tokens * self.token_bytes
        wait_s = self.outward.delay(sent) + self.inward.delay(self.token_bytes)
        price_s = self.link.price_bytes(round(size)) / self.link.wait_price_per_s
        return LinkCost(
            seconds=2 * self.link.delay_s + sent / self.rate + wait_s + price_s,
            fits=not wait_s and self._has_room(tokens_per_s),
            size=size,
        )

    def _has_room(self, tokens_per_s: float) -> bool:
        streaming = (self.generations + 1) * tokens_per_s * self.token_bytes
        return streaming <= self.rate


class LinkCosts:
    """Knows the links from the own region to all others.

    The bandwidth is shared evenly by the entries of the region, of which the agents tell the
    number. Bytes are counted as they are sent and come, whatever they are for, so that
    control and answers leave less for new prompts.

    :param region: of this entry
    :param read_view: gives the settings in force
    :param clock: seconds that only grow
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
        """Count bytes that were sent.

        :param region: where to
        :param size: bytes
        """
        self._find(region).outward.force(size)

    def record_received(self, region: str, size: int, tokens: int) -> None:
        """Count bytes that came.

        :param region: where from
        :param size: bytes
        :param tokens: tokens among them
        """
        self._find(region).learn(size, tokens)

    def record_begun(self, region: str) -> None:
        """Count a generation that streams from a region.

        :param region: where it runs
        """
        if self.is_remote(region):
            self._find(region).generations += 1

    def record_ended(self, region: str) -> None:
        """Count the end of a generation that streamed from a region.

        :param region: where it ran
        """
        if self.is_remote(region):
            self._find(region).generations -= 1

    def record_entries(self, count: int) -> None:
        """Note how many entries share the links of the own region.

        :param count: as an agent counts them; 0 if it can't tell
        """
        self._entries = max(1, count)

    def is_remote(self, region: str) -> bool:
        """:return: whether a region is another one; an unknown one is."""
        return region != self.region

    def estimate(self, prompt: str, tokens: int, view: EndpointView) -> LinkCost:
        """Estimate what a request costs on the link to an endpoint.

        :param prompt: what is sent
        :param tokens: tokens of the answer
        :param view: the endpoint
        :return: the cost, none within the region
        """
        region = view.link.region
        if not self.is_remote(region):
            return NO_COST
        speed = view.state.tokens_per_second / max(1, view.state.running)
        return self._find(region).estimate(len(prompt), tokens, speed or TOKENS_PER_S)

    def _find(self, region: str) -> RegionLink:
        link = self._read_view().link(self.region, region)
        known = self._links.get(region)
        if known is not None and (known.link, known.entries) == (link, self._entries):
            return known
        renewed = RegionLink(link, self._entries, self._clock)
        if known is not None:
            renewed.generations = known.generations
        self._links[region] = renewed
        return renewed


__all__ = ["NO_COST", "LinkCost", "LinkCosts", "RegionLink"]
