"""Interface through which a link delivers the messages of an attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from basilroad.peers.failreason import FailReason
    from basilroad.peers.wire import peer_pb2 as wire


class AttemptReceiver(Protocol):
    """Receives an agent's messages about one generation."""

    def receive_tokens(self, tokens: wire.Tokens) -> None:
        """Pass on tokens."""

    def end(self, end: wire.Finished | wire.Failed) -> None:
        """Record the end that the agent reported."""

    def fail_locally(self, reason: FailReason) -> None:
        """Fail the attempt without a message from the agent."""


__all__ = ["AttemptReceiver"]
