"""Metrics of the service, sent to statsd."""

from __future__ import annotations

import enum
import ipaddress
import time
from collections import Counter

from statsd import StatsClient

from basilroad.errors import ErrorKind
from basilroad.http.ends import EndCause

MAX_WORKSPACES = 512
FLUSH_INTERVAL_S = 1.0
TOKEN_INTERVAL_SAMPLE_RATE = 0.01

_OTHER_WORKSPACE = "other"
_MS_PER_S = 1000.0


class RecomputeCause(enum.Enum):
    """Why tokens were recomputed."""

    RESUME = "resume"
    RESTART = "restart"
    PREEMPT = "preempt"


class LinkCause(enum.Enum):
    """Purpose of bytes sent over the link between regions."""

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
    """Sends the metrics of one process; counters are aggregated before they are sent.

    :param address: "ip:port" of the statsd server; if empty, nothing is sent
    :param prefix: prefix of all metric names
    :raises ValueError: the address is not an IP address and a port
    """

    def __init__(self, address: str, prefix: str = "basilroad") -> None:
        self._client = _open_client(address, prefix)
        self._counters: Counter[str] = Counter()
        self._workspaces: set[str] = set()
        self._flushed_at = time.monotonic()

    def record_resume(self, rank: int, seconds: float) -> None:
        """Record how long output was interrupted by the failure of an endpoint.

        :param rank: rank of the work
        :param seconds: from the last token before the failure to the first token after it
        """
        self._time(f"resume.rank.{rank}", seconds)

    def count_recomputed(self, cause: RecomputeCause, tokens: int) -> None:
        """Count recomputed tokens.

        :param cause: why they were recomputed
        :param tokens: prompt and output tokens together
        """
        self._count(f"recomputed.{cause.value}", tokens)

    def count_link_bytes(self, source: str, target: str, cause: LinkCause, size: int) -> None:
        """Count bytes sent over the link between two regions.

        :param source: sending region
        :param target: receiving region
        :param cause: purpose of the bytes
        :param size: bytes
        """
        self._count(f"link.{_sanitize(source)}.{_sanitize(target)}.{cause.value}", size)

    def count_link_uncompressed(self, source: str, target: str, size: int) -> None:
        """Count the size before compression of data sent over the link between two regions.

        :param source: sending region
        :param target: receiving region
        :param size: bytes before compression
        """
        self._count(f"link_plain.{_sanitize(source)}.{_sanitize(target)}", size)

    def record_first_token(self, rank: int, seconds: float) -> None:
        """Record the time to the first token.

        :param rank: rank of the work
        :param seconds: from the arrival of the request
        """
        self._time(f"first_token.rank.{rank}", seconds)

    def record_token_interval(self, rank: int, seconds: float) -> None:
        """Record the time between two tokens; only a random sample is sent.

        :param rank: rank of the work
        :param seconds: between two tokens sent to the caller
        """
        self._time(f"gap.rank.{rank}", seconds, TOKEN_INTERVAL_SAMPLE_RATE)

    def record_wait(self, rank: int, seconds: float) -> None:
        """Record the queueing time of a request.

        :param rank: rank of the work
        :param seconds: from admission to the start at an endpoint
        """
        self._time(f"wait.rank.{rank}", seconds)

    def count_refusal(self, rank: int, kind: ErrorKind) -> None:
        """Count a refused request.

        :param rank: rank of the work
        :param kind: reason for the refusal
        """
        self._count(f"refused.rank.{rank}.{kind.value}", 1)

    def count_end(self, cause: EndCause) -> None:
        """Count a connection of a caller that ended without a whole answer.

        :param cause: why
        """
        self._count(f"connections_ended.{cause.value}", 1)

    def count_rank_tokens(self, rank: int, tokens: int) -> None:
        """Count tokens sent to callers, by rank.

        :param rank: rank of the work
        :param tokens: number of tokens
        """
        self._count(f"tokens.rank.{rank}", tokens)

    def count_workspace_tokens(self, workspace: str, tokens: int) -> None:
        """Count tokens sent to callers, by workspace.

        Workspaces beyond the first ``MAX_WORKSPACES`` are counted under one common name.

        :param workspace: name of the workspace
        :param tokens: number of tokens
        """
        self._count(f"tokens.workspace.{self._label_workspace(workspace)}", tokens)

    def flush(self) -> None:
        """Send the counters aggregated so far."""
        self._flushed_at = time.monotonic()
        if self._client is None or not self._counters:
            return
        counters, self._counters = self._counters, Counter()
        with self._client.pipeline() as pipeline:
            for name, value in counters.items():
                pipeline.incr(name, value)

    def close(self) -> None:
        """Send the remaining counters and close the socket."""
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
        label = _sanitize(workspace)
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
    # Resolving a host name would block the event loop.
    number = ipaddress.ip_address(host.strip("[]"))
    return StatsClient(str(number), int(port), prefix=prefix, ipv6=number.version == 6)


def _sanitize(name: str) -> str:
    return "".join(c if c.isalnum() or c in "-_" else "_" for c in name) or "none"


__all__ = [
    "FLUSH_INTERVAL_S",
    "MAX_WORKSPACES",
    "TOKEN_INTERVAL_SAMPLE_RATE",
    "LinkCause",
    "Metrics",
    "RecomputeCause",
]
