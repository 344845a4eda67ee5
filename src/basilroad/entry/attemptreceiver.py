"""What a stream to an agent knows of an attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from basilroad.peers.failreason import FailReason
    from basilroad.peers.wire import peer_pb2 as wire


class AttemptReceiver(Protocol):
    """Receives what an agent sends for one generation."""

    def receive_tokens(self, tokens: wire.Tokens) -> None:
        """Pass on tokens."""

    def end(self, end: wire.Finished | wire.Failed) -> None:
        """Note the end that the agent told."""

    def fail_locally(self, reason: FailReason) -> None:
        """End without the agent."""


__all__ = ["AttemptReceiver"]
