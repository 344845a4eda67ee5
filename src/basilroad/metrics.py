"""Measures of the service, sent to statsd."""

from __future__ import annotations

import enum
import ipaddress
import time
from collections import Counter

from statsd import StatsClient

from basilroad.errors import ErrorKind

MAX_WORKSPACES = 512
FLUSH_INTERVAL_S = 1.0
GAP_SAMPLE_RATE = 0.01

_OTHER_WORKSPACE = "other"
_MS_PER_S = 1000.0


class RecomputeCause(enum.Enum):
    """Why tokens were computed a second time."""

    RESUME = "resume"
    RESTART = "restart"
    PREEMPT = "preempt"


class LinkCause(enum.Enum):
    """What bytes on the link between regions were sent for."""

    PROMPT = "prompt"
    TOKENS = "tokens"
    CALL = "call"
    RESUME = "resume"
    SETTINGS = "settings"
    DIRECTORY = "directory"
    HEARTBEAT = "heartbeat"
    CACHE = "cache"
    CONTROL = "control"
    FRAMING = "framing"


class Metrics:
    """Sends the measures of one process; counters are summed before they are sent.

    :param address: "ip:port" of the statsd server; empty sends nothing
    :param prefix: first part of every metric's name
    :raises ValueError: the address is not an IP number and a port
    """

    def __init__(self, address: str, prefix: str = "basilroad") -> None:
        self._client = _open_client(address, prefix)
        self._counters: Counter[str] = Counter()
        self._workspaces: set[str] = set()
        self._flushed_at = time.monotonic()

    def record_resume(self, rank: int, seconds: float) -> None:
        """Record how long output stood still after an endpoint died.

        :param rank: rank of the work
        :param seconds: from the last token before to the first token after
        """
        self._time(f"resume.rank.{rank}", seconds)

    def count_recomputed(self, cause: RecomputeCause, tokens: int) -> None:
        """Count tokens that were computed twice.

        :param cause: why they were
        :param tokens: prompt and output tokens together
        """
        self._count(f"recomputed.{cause.value}", tokens)

    def count_link_bytes(self, source: str, target: str, cause: LinkCause, size: int) -> None:
        """Count bytes sent over the link between two regions.

        :param source: region that sends
        :param target: region that receives
        :param cause: what the bytes are for
        :param size: bytes
        """
        self._count(f"link.{_clean(source)}.{_clean(target)}.{cause.value}", size)

    def count_link_uncompressed(self, source: str, target: str, size: int) -> None:
        """Count what was sent over the link between two regions before it was deflated.

        :param source: region that sends
        :param target: region that receives
        :param size: bytes
        """
        self._count(f"link_plain.{_clean(source)}.{_clean(target)}", size)

    def record_first_token(self, rank: int, seconds: float) -> None:
        """Record the time to the first token.

        :param rank: rank of the work
        :param seconds: from the arrival of the request
        """
        self._time(f"first_token.rank.{rank}", seconds)

    def record_token_interval(self, rank: int, seconds: float) -> None:
        """Record the time between two tokens; only a sample is sent.

        :param rank: rank of the work
        :param seconds: between two tokens given to the caller
        """
        self._time(f"gap.rank.{rank}", seconds, GAP_SAMPLE_RATE)

    def record_wait(self, rank: int, seconds: float) -> None:
        """Record how long a request was queued.

        :param rank: rank of the work
        :param seconds: from admission to the start at an endpoint
        """
        self._time(f"wait.rank.{rank}", seconds)

    def count_refusal(self, rank: int, kind: ErrorKind) -> None:
        """Count one refused request.

        :param rank: rank of the work
        :param kind: why it was refused
        """
        self._count(f"refused.rank.{rank}.{kind.value}", 1)

    def count_rank_tokens(self, rank: int, tokens: int) -> None:
        """Count tokens given to callers, by rank.

        :param rank: rank of the work
        :param tokens: number of tokens
        """
        self._count(f"tokens.rank.{rank}", tokens)

    def count_workspace_tokens(self, workspace: str, tokens: int) -> None:
        """Count tokens given to callers, by workspace; past a bound all share one name.

        :param workspace: name of the workspace
        :param tokens: number of tokens
        """
        self._count(f"tokens.workspace.{self._label_workspace(workspace)}", tokens)

    def flush(self) -> None:
        """Send the counters summed so far."""
        self._flushed_at = time.monotonic()
        if self._client is None or not self._counters:
            return
        counters, self._counters = self._counters, Counter()
        with self._client.pipeline() as pipeline:
            for name, value in counters.items():
                pipeline.incr(name, value)

    def close(self) -> None:
        """Send what is left and close the socket."""
        self.flush()
        if self._client is not None:
            self._client.close()
            self._client = None

    def _time(self, name: str, seconds: float, rate: float = 1.0) -> None:
        if self._client is not None:
            self._client.timing(name, seconds * _MS_PER_S, rate)

    def _count(self, name: str, value: int) -> None:
        if self._client is None:
            return
        self._counters[name] += value
        if time.monotonic() - self._flushed_at >= FLUSH_INTERVAL_S:
            self.flush()

    def _label_workspace(self, workspace: str) -> str:
        label = _clean(workspace)
        if label in self._workspaces:
            return label
        if len(self._workspaces) >= MAX_WORKSPACES:
            return _OTHER_WORKSPACE
        self._workspaces.add(label)
        return label


def _open_client(address: str, prefix: str) -> StatsClient | None:
    if not address:
        return None
    host, _, port = address.rpartition(":")
    # A name would be looked up by a call that blocks the event loop.
    number = ipaddress.ip_address(host.strip("[]"))
    return StatsClient(str(number), int(port), prefix=prefix, ipv6=number.version == 6)


def _clean(name: str) -> str:
    return "".join(c if c.isalnum() or c in "-_" else "_" for c in name) or "none"


__all__ = [
    "FLUSH_INTERVAL_S",
    "GAP_SAMPLE_RATE",
    "MAX_WORKSPACES",
    "LinkCause",
    "Metrics",
    "RecomputeCause",
]
